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

ExitCode showWaves(const po::variables_map& values, const std::string& name)
{
    bool asJson = isJsonOutput(values);
    auto client = createClient(values);
    auto response = client.get(name.empty() ? "/v1/waves" : "/v1/waves/" + escapePathSegment(name));
    if (asJson) {
        printJson(std::cout, response);
        return ExitCode::Success;
    }
    if (name.empty()) {
        printCollection(std::cout, "waves", response->getArray("items"));
        return ExitCode::Success;
    }
    std::cout << formatField(client.get("/v1/explain/wave/" + escapePathSegment(name)), "explanation")
              << '\n';
    return ExitCode::Success;
}

} // namespace

ExitCode runWave(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    options.add_options()("action", po::value<std::string>()->required(), "start, pause, resume or status")(
        "name", po::value<std::string>()->default_value(""), "name of the wave")("selector",
        po::value<std::string>()->default_value(""),
        "start: label selector of the instances to maintain, such as rack=r1");
    addClientOptions(options);
    addChangeOptions(options);
    po::positional_options_description positional;
    positional.add("action", 1).add("name", 1);
    po::variables_map values;
    if (!parseCommandLine("celeryline wave start NAME --selector SELECTOR | pause NAME | resume NAME | "
                          "status [NAME]",
            options, positional, arguments, values)) {
        return ExitCode::Success;
    }
    auto action = values["action"].as<std::string>();
    auto name = values["name"].as<std::string>();
    if (action == "status") {
        return showWaves(values, name);
    }
    if (name.empty()) {
        throw UsageError(
            "the name of the wave is missing", "write it as: celeryline wave " + action + " NAME");
    }
    Object::Ptr body = new Object;
    if (action == "start") {
        auto selector = values["selector"].as<std::string>();
        if (selector.empty()) {
            throw UsageError("--selector is missing", "select the instances to maintain by their labels");
        }
        body->set("name", name);
        body->set("selector", selector);
        return sendChange(values, "POST", "/v1/waves", body);
    }
    if (action != "pause" && action != "resume") {
        throw UsageError("\"" + action + "\" is not a wave action", "use start, pause, resume or status");
    }
    return sendChange(values, "POST", "/v1/waves/" + escapePathSegment(name) + "/" + action, body);
}

} // namespace celeryline
