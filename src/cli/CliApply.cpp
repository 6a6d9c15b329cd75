#include "celeryline/base/JsonComments.h"
#include "celeryline/cli/CliClient.h"
#include "celeryline/cli/CliCommands.h"
#include "celeryline/cli/CliOutput.h"
#include "celeryline/cli/CommandLine.h"
#include "celeryline/labels/JsonFields.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace celeryline {

namespace po = boost::program_options;
using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

std::string readFile(const std::string& path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        throw Error(ErrorKind::InvalidInput, path + ": the file can't be opened", "check the path");
    }
    text << file.rdbuf();
    return text.str();
}

/// Reads a file that contains a list of objects, an object with the list "objects", or a single object.
Array::Ptr readObjects(const std::string& path)
{
    Poco::Dynamic::Var value;
    try {
        Poco::JSON::Parser parser;
        value = parser.parse(stripJsonComments(readFile(path)));
    } catch (const Poco::Exception& e) {
        throw Error(ErrorKind::InvalidInput, path + ": invalid JSON: " + e.message(),
            "check brackets, quotes and commas");
    }
    if (value.type() == typeid(Array::Ptr)) {
        return value.extract<Array::Ptr>();
    }
    auto object = value.type() == typeid(Object::Ptr) ? value.extract<Object::Ptr>() : Object::Ptr();
    if (object.isNull()) {
        throw Error(ErrorKind::InvalidInput, path + ": neither a list nor an object",
            "write it as [ { \"kind\": \"Pool\", ... }, ... ]");
    }
    auto list = object->getArray("objects");
    if (list.isNull()) {
        list = new Array;
        list->add(object);
    }
    return list;
}

/// Waits until a revision is in force on all entry instances; reports progress on standard error.
ExitCode waitForRevision(CliClient& client, std::uint64_t revision, Millis timeout)
{
    auto deadline = std::chrono::steady_clock::now() + timeout.toChrono();
    std::string lastLine;
    for (;;) {
        auto progress = client.get("/v1/inforce?revision=" + std::to_string(revision));
        auto missing = progress->getArray("notReached");
        auto total = progress->getArray("entries")->size();
        std::string line = "revision " + std::to_string(revision) + " is in force on "
            + std::to_string(total - missing->size()) + " of " + std::to_string(total) + " entry instances";
        std::string names;
        for (const auto& name : *missing) {
            names += (names.empty() ? "; not reached: " : ", ") + name.toString();
        }
        line += names;
        if (line != lastLine) {
            std::cerr << line << '\n';
            lastLine = line;
        }
        if (missing->size() == 0) {
            return ExitCode::Success;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            std::cerr << "the change is accepted; the entry instances above apply it when they are "
                         "reachable again\n";
            return ExitCode::TimedOut;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
}

} // namespace

ExitCode runApply(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    options.add_options()("file,f", po::value<std::string>()->required(),
        "JSON file with comments: a list of objects with \"kind\" Service, Pool or Quota; - reads standard "
        "input")("dry-run", "only print the difference, without applying it")(
        "wait", "wait until the change is in force on all entry instances")(
        "wait-timeout-ms", po::value<std::int64_t>()->default_value(30000), "timeout of --wait");
    addClientOptions(options);
    addChangeOptions(options);
    po::variables_map values;
    if (!parseCommandLine("celeryline apply -f FILE [--dry-run] [--wait]", options, {}, arguments, values)) {
        return ExitCode::Success;
    }
    bool asJson = isJsonOutput(values);
    auto client = createClient(values);
    Object::Ptr body = new Object;
    body->set("objects", readObjects(values["file"].as<std::string>()));
    if (values.count("base-revision") != 0) {
        body->set("baseRevision", values["base-revision"].as<std::uint64_t>());
    } else {
        body->set("baseRevision", client.get("/v1/status")->getValue<std::uint64_t>("revision"));
    }
    body->set("dryRun", values.count("dry-run") != 0);
    auto response = client.change("POST", "/v1/apply", body);
    auto revision = response->getValue<std::uint64_t>("revision");
    if (asJson) {
        printJson(std::cout, response);
    } else {
        printDifference(std::cout, response->getArray("difference"));
        std::cout << (values.count("dry-run") != 0 ? "dry run on revision " : "accepted at revision ")
                  << revision << '\n';
    }
    if (values.count("wait") == 0 || values.count("dry-run") != 0) {
        return ExitCode::Success;
    }
    return waitForRevision(client, revision, { values["wait-timeout-ms"].as<std::int64_t>() });
}

} // namespace celeryline
