#include "celeryline/cli/CliChanges.h"
#include "celeryline/cli/CliCommands.h"
#include "celeryline/cli/CliOutput.h"
#include "celeryline/cli/CommandLine.h"

#include <iostream>

namespace celeryline {

namespace po = boost::program_options;
using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

using JobIds = std::vector<std::string>;

ExitCode submitJob(const po::variables_map& values, const std::string& id)
{
    Object::Ptr declared = new Object;
    declared->set("cpuMilli", values["cpu-milli"].as<std::int64_t>());
    declared->set("memoryMb", values["memory-mb"].as<std::int64_t>());
    declared->set("accelerators", values["accelerators"].as<std::int64_t>());
    Object::Ptr job = new Object;
    job->set("id", id);
    for (const auto* key : { "team", "kind", "pool", "selector" }) {
        job->set(key, values[key].as<std::string>());
    }
    job->set("urgent", values.count("urgent") != 0);
    job->set("repeatable", values.count("not-repeatable") == 0);
    job->set("declared", declared);
    Object::Ptr body = new Object;
    body->set("job", job);
    return sendChange(values, "POST", "/v1/jobs", body);
}

ExitCode showJobs(const po::variables_map& values, const JobIds& ids)
{
    bool asJson = isJsonOutput(values);
    auto client = createClient(values);
    if (ids.empty()) {
        auto response = client.get("/v1/jobs");
        if (asJson) {
            printJson(std::cout, response);
        } else {
            printCollection(std::cout, "jobs", response->getArray("items"));
        }
        return ExitCode::Success;
    }
    for (const auto& id : ids) {
        auto path = escapePathSegment(id);
        if (asJson) {
            printJson(std::cout, client.get("/v1/jobs/" + path));
        } else {
            std::cout << formatField(client.get("/v1/explain/job/" + path), "explanation") << '\n';
        }
    }
    return ExitCode::Success;
}

ExitCode cancelJobs(const po::variables_map& values, const JobIds& ids)
{
    Array::Ptr list = new Array;
    for (const auto& id : ids) {
        list->add(id);
    }
    Object::Ptr body = new Object;
    body->set("jobs", list);
    return sendChange(values, "POST", "/v1/jobs/cancel", body);
}

} // namespace

ExitCode runJob(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    auto text = [] { return po::value<std::string>()->default_value(""); };
    auto number = [] { return po::value<std::int64_t>()->default_value(0); };
    options.add_options()("action", po::value<std::string>()->required(), "submit, status or cancel")("ids",
        po::value<JobIds>()->default_value({}, ""),
        "ids of the jobs")("team", text(), "submit: team whose quota is used")(
        "kind", text(), "submit: kind of the job; jobs of the same kind have similar sizes")("pool", text(),
        "submit: pool to run in")("selector", text(), "submit: label selector for the worker")(
        "cpu-milli", number(), "submit: required CPU in thousandths of a core")("memory-mb", number(),
        "submit: required memory in MB")("accelerators", number(), "submit: required number of accelerators")(
        "urgent", "submit: schedule before batch jobs")("not-repeatable", "submit: start at most once");
    addClientOptions(options);
    addChangeOptions(options);
    po::positional_options_description positional;
    positional.add("action", 1).add("ids", -1);
    po::variables_map values;
    if (!parseCommandLine("celeryline job submit ID --team TEAM --pool POOL | status [ID...] | cancel ID...",
            options, positional, arguments, values)) {
        return ExitCode::Success;
    }
    auto action = values["action"].as<std::string>();
    auto ids = values["ids"].as<JobIds>();
    if (action == "status") {
        return showJobs(values, ids);
    }
    if (ids.empty() || (action == "submit" && ids.size() != 1)) {
        throw UsageError("the job id is missing", "write it as: celeryline job " + action + " ID");
    }
    if (action == "submit") {
        return submitJob(values, ids.front());
    }
    if (action != "cancel") {
        throw UsageError("\"" + action + "\" is not a job action", "use submit, status or cancel");
    }
    return cancelJobs(values, ids);
}

} // namespace celeryline
