#include "celeryline/cli/CliChanges.h"

#include "celeryline/cli/CliCommands.h"
#include "celeryline/cli/CliOutput.h"
#include "celeryline/cli/CommandLine.h"

#include <iostream>

namespace celeryline {

namespace po = boost::program_options;
using Poco::JSON::Array;
using Poco::JSON::Object;

ExitCode sendChange(
    const po::variables_map& values, const std::string& method, const std::string& path, Object::Ptr body)
{
    bool asJson = isJsonOutput(values);
    if (values.count("base-revision") != 0) {
        body->set("baseRevision", values["base-revision"].as<std::uint64_t>());
    }
    auto response = createClient(values).change(method, path, body);
    if (asJson) {
        printJson(std::cout, response);
        return ExitCode::Success;
    }
    auto difference = response->getArray("difference");
    if (!difference.isNull() && difference->size() != 0) {
        printDifference(std::cout, difference);
    }
    std::cout << "accepted at revision " << formatField(response, "revision") << '\n';
    return ExitCode::Success;
}

namespace {

/// Parses a command line that changes one instance; adds the options common to these subcommands.
bool parseInstanceCommand(const std::string& usage, po::options_description& options,
    const po::positional_options_description& positional, const std::vector<std::string>& arguments,
    po::variables_map& values)
{
    options.add_options()("name", po::value<std::string>()->required(), "the instance");
    addClientOptions(options);
    addChangeOptions(options);
    return parseCommandLine(usage, options, positional, arguments, values);
}

std::string instancePath(const po::variables_map& values, const std::string& action)
{
    return "/v1/instances/" + escapePathSegment(values["name"].as<std::string>()) + "/" + action;
}

Object::Ptr parseLabelChanges(const std::vector<std::string>& texts)
{
    Object::Ptr labels = new Object;
    Array::Ptr removed = new Array;
    for (const auto& text : texts) {
        auto equals = text.find('=');
        if (equals != std::string::npos && equals != 0) {
            labels->set(text.substr(0, equals), text.substr(equals + 1));
        } else if (text.size() > 1 && text.back() == '-') {
            removed->add(text.substr(0, text.size() - 1));
        } else {
            throw UsageError(
                "\"" + text + "\" is not a valid label", "write LABEL=VALUE, or LABEL- to remove it");
        }
    }
    Object::Ptr body = new Object;
    body->set("labels", labels);
    body->set("removedLabels", removed);
    return body;
}

ExitCode runInstanceAction(const std::string& action, const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    if (action == "drain") {
        options.add_options()("force", "drain even if the budget of the service does not allow it");
    }
    po::positional_options_description positional;
    positional.add("name", 1);
    po::variables_map values;
    if (!parseInstanceCommand("celeryline " + action + " INSTANCE", options, positional, arguments, values)) {
        return ExitCode::Success;
    }
    Object::Ptr body = new Object;
    if (values.count("force") != 0) {
        body->set("force", true);
    }
    return sendChange(values, "POST", instancePath(values, action), body);
}

} // namespace

ExitCode runDrain(const std::vector<std::string>& arguments) { return runInstanceAction("drain", arguments); }

ExitCode runUndrain(const std::vector<std::string>& arguments)
{
    return runInstanceAction("undrain", arguments);
}

ExitCode runLabel(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    options.add_options()(
        "labels", po::value<std::vector<std::string>>()->required(), "LABEL=VALUE, or LABEL- to remove it");
    po::positional_options_description positional;
    positional.add("name", 1).add("labels", -1);
    po::variables_map values;
    if (!parseInstanceCommand(
            "celeryline label INSTANCE LABEL=VALUE... LABEL-...", options, positional, arguments, values)) {
        return ExitCode::Success;
    }
    auto body = parseLabelChanges(values["labels"].as<std::vector<std::string>>());
    return sendChange(values, "POST", instancePath(values, "label"), body);
}

ExitCode runMove(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    options.add_options()("pool", po::value<std::string>()->required(), "the new pool");
    po::positional_options_description positional;
    positional.add("name", 1).add("pool", 1);
    po::variables_map values;
    if (!parseInstanceCommand("celeryline move INSTANCE POOL", options, positional, arguments, values)) {
        return ExitCode::Success;
    }
    Object::Ptr body = new Object;
    body->set("pool", values["pool"].as<std::string>());
    return sendChange(values, "POST", instancePath(values, "move"), body);
}

} // namespace celeryline
