#include "celeryline/cli/CliClient.h"
#include "celeryline/cli/CliCommands.h"
#include "celeryline/cli/CliOutput.h"
#include "celeryline/cli/CommandLine.h"

#include <iostream>

namespace celeryline {

namespace po = boost::program_options;
using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

/// Parses the options and the positional arguments "kind" and "name".
bool parseArguments(
    const std::string& usage, const std::vector<std::string>& arguments, po::variables_map& values)
{
    po::options_description options("options");
    options.add_options()("kind", po::value<std::string>()->required(),
        "pools, services, instances, workers, jobs, waves, quotas or permits")(
        "name", po::value<std::string>()->default_value(""), "name of a single object");
    addClientOptions(options);
    po::positional_options_description positional;
    positional.add("kind", 1).add("name", 1);
    return parseCommandLine(usage, options, positional, arguments, values);
}

std::string objectPath(const std::string& collection, const std::string& name)
{
    return "/v1/" + collection + (name.empty() ? "" : "/" + escapePathSegment(name));
}

bool hasExplanation(const std::string& kind) { return kind == "instance" || kind == "job" || kind == "wave"; }

Object::Ptr fetchExplanation(CliClient& client, const std::string& kind, const std::string& name)
{
    return client.get("/v1/explain/" + kind + "/" + escapePathSegment(name));
}

} // namespace

ExitCode runGet(const std::vector<std::string>& arguments)
{
    po::variables_map values;
    if (!parseArguments("celeryline get KIND [NAME]", arguments, values)) {
        return ExitCode::Success;
    }
    auto collection = resolveCollection(values["kind"].as<std::string>());
    auto name = values["name"].as<std::string>();
    bool asJson = isJsonOutput(values);
    auto response = createClient(values).get(objectPath(collection, name));
    if (asJson) {
        printJson(std::cout, response);
        return ExitCode::Success;
    }
    Array::Ptr items = name.empty() ? response->getArray("items") : Array::Ptr(new Array);
    if (!name.empty()) {
        items->add(response);
    }
    printCollection(std::cout, collection, items);
    return ExitCode::Success;
}

ExitCode runDescribe(const std::vector<std::string>& arguments)
{
    po::variables_map values;
    if (!parseArguments("celeryline describe KIND NAME", arguments, values)) {
        return ExitCode::Success;
    }
    auto collection = resolveCollection(values["kind"].as<std::string>());
    auto name = values["name"].as<std::string>();
    if (name.empty()) {
        throw UsageError("the name is missing", "write it as: celeryline describe " + collection + " NAME");
    }
    bool asJson = isJsonOutput(values);
    auto client = createClient(values);
    auto object = client.get(objectPath(collection, name));
    auto kind = collection == "workers" ? "instance" : collection.substr(0, collection.size() - 1);
    if (hasExplanation(kind)) {
        object->set("explanation", formatField(fetchExplanation(client, kind, name), "explanation"));
    }
    if (asJson) {
        printJson(std::cout, object);
    } else {
        printFields(std::cout, object);
    }
    return ExitCode::Success;
}

ExitCode runExplain(const std::vector<std::string>& arguments)
{
    po::variables_map values;
    if (!parseArguments("celeryline explain instance|job|wave NAME", arguments, values)) {
        return ExitCode::Success;
    }
    auto collection = resolveCollection(values["kind"].as<std::string>());
    auto kind = collection == "workers" ? "instance" : collection.substr(0, collection.size() - 1);
    auto name = values["name"].as<std::string>();
    if (!hasExplanation(kind) || name.empty()) {
        throw UsageError("a kind (instance, job or wave) and a name are required",
            "write it as: celeryline explain wave NAME");
    }
    bool asJson = isJsonOutput(values);
    auto client = createClient(values);
    auto response = fetchExplanation(client, kind, name);
    if (asJson) {
        printJson(std::cout, response);
    } else {
        std::cout << formatField(response, "explanation") << '\n';
    }
    return ExitCode::Success;
}

} // namespace celeryline
