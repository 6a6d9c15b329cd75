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

/// Parses options and the positional arguments "kind" and "name".
bool parse(const std::string& usage, const std::vector<std::string>& arguments, po::variables_map& values)
{
    po::options_description options("options");
    options.add_options()("kind", po::value<std::string>()->required(),
        "pools, services, instances, workers, jobs, waves, quotas or permits")(
        "name", po::value<std::string>()->default_value(""), "one object");
    addClientOptions(options);
    po::positional_options_description positional;
    positional.add("kind", 1).add("name", 1);
    return parseCommandLine(usage, options, positional, arguments, values);
}

std::string pathOf(const std::string& collection, const std::string& name)
{
    return "/v1/" + collection + (name.empty() ? "" : "/" + escapedSegment(name));
}

bool isExplained(const std::string& kind) { return kind == "instance" || kind == "job" || kind == "wave"; }

Object::Ptr explanationOf(CliClient& client, const std::string& kind, const std::string& name)
{
    return client.get("/v1/explain/" + kind + "/" + escapedSegment(name));
}

} // namespace

ExitCode runGet(const std::vector<std::string>& arguments)
{
    po::variables_map values;
    if (!parse("celeryline get KIND [NAME]", arguments, values)) {
        return ExitCode::Done;
    }
    auto collection = collectionOf(values["kind"].as<std::string>());
    auto name = values["name"].as<std::string>();
    bool asJson = wantsJson(values);
    auto answer = clientFor(values).get(pathOf(collection, name));
    if (asJson) {
        printJson(std::cout, answer);
        return ExitCode::Done;
    }
    Array::Ptr items = name.empty() ? answer->getArray("items") : Array::Ptr(new Array);
    if (!name.empty()) {
        items->add(answer);
    }
    printCollection(std::cout, collection, items);
    return ExitCode::Done;
}

ExitCode runDescribe(const std::vector<std::string>& arguments)
{
    po::variables_map values;
    if (!parse("celeryline describe KIND NAME", arguments, values)) {
        return ExitCode::Done;
    }
    auto collection = collectionOf(values["kind"].as<std::string>());
    auto name = values["name"].as<std::string>();
    if (name.empty()) {
        throw UsageError("the name is missing", "write it as: celeryline describe " + collection + " NAME");
    }
    bool asJson = wantsJson(values);
    auto client = clientFor(values);
    auto object = client.get(pathOf(collection, name));
    auto kind = collection == "workers" ? "instance" : collection.substr(0, collection.size() - 1);
    if (isExplained(kind)) {
        object->set("explanation", cellOf(explanationOf(client, kind, name), "explanation"));
    }
    if (asJson) {
        printJson(std::cout, object);
    } else {
        printFields(std::cout, object);
    }
    return ExitCode::Done;
}

ExitCode runExplain(const std::vector<std::string>& arguments)
{
    po::variables_map values;
    if (!parse("celeryline explain instance|job|wave NAME", arguments, values)) {
        return ExitCode::Done;
    }
    auto collection = collectionOf(values["kind"].as<std::string>());
    auto kind = collection == "workers" ? "instance" : collection.substr(0, collection.size() - 1);
    auto name = values["name"].as<std::string>();
    if (!isExplained(kind) || name.empty()) {
        throw UsageError(
            "give instance, job or wave and a name", "write it as: celeryline explain wave NAME");
    }
    bool asJson = wantsJson(values);
    auto client = clientFor(values);
    auto answer = explanationOf(client, kind, name);
    if (asJson) {
        printJson(std::cout, answer);
    } else {
        std::cout << cellOf(answer, "explanation") << '\n';
    }
    return ExitCode::Done;
}

} // namespace celeryline
