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

using Names = std::vector<std::string>;

ExitCode submit(const po::variables_map& values, const std::string& id)
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

ExitCode show(const po::variables_map& values, const Names& ids)
{
    bool asJson = wantsJson(values);
    auto client = clientFor(values);
    if (ids.empty()) {
        auto answer = client.get("/v1/jobs");
        if (asJson) {
            printJson(std::cout, answer);
        } else {
            printCollection(std::cout, "jobs", answer->getArray("items"));
        }
        return ExitCode::Done;
    }
    for (const auto& id : ids) {
        auto path = escapedSegment(id);
        if (asJson) {
            printJson(std::cout, client.get("/v1/jobs/" + path));
        } else {
            std::cout << cellOf(client.get("/v1/explain/job/" + path), "explanation") << '\n';
        }
    }
    return ExitCode::Done;
}

ExitCode cancel(const po::variables_map& values, const Names& ids)
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
        po::value<Names>()->default_value({}, ""),
        "the jobs")("team", text(), "submit: team with the quota")("kind", text(),
        "submit: jobs of one kind have about the same size")("pool", text(), "submit: the pool")("selector",
        text(), "submit: further conditions on the worker")("cpu-milli", number(), "submit: size")(
        "memory-mb", number(), "submit: size")("accelerators", number(), "submit: size")(
        "urgent", "submit: before batch jobs")("not-repeatable", "submit: never start it twice");
    addClientOptions(options);
    addChangeOptions(options);
    po::positional_options_description positional;
    positional.add("action", 1).add("ids", -1);
    po::variables_map values;
    if (!parseCommandLine("celeryline job submit ID --team TEAM --pool POOL | status [ID...] | cancel ID...",
            options, positional, arguments, values)) {
        return ExitCode::Done;
    }
    auto action = values["action"].as<std::string>();
    auto ids = values["ids"].as<Names>();
    if (action == "status") {
        return show(values, ids);
    }
    if (ids.empty() || (action == "submit" && ids.size() != 1)) {
        throw UsageError("give the id of the job", "write it as: celeryline job " + action + " ID");
    }
    if (action == "submit") {
        return submit(values, ids.front());
    }
    if (action != "cancel") {
        throw UsageError("\"" + action + "\" is no action on jobs", "use submit, status or cancel");
    }
    return cancel(values, ids);
}

} // namespace celeryline
