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

/// Reads a list of objects, an object with the list "objects", or one object.
Array::Ptr objectsIn(const std::string& path)
{
    Poco::Dynamic::Var value;
    try {
        Poco::JSON::Parser parser;
        value = parser.parse(withoutComments(readFile(path)));
    } catch (const Poco::Exception& e) {
        throw Error(ErrorKind::InvalidInput, path + ": not JSON: " + e.message(),
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

/// Waits until every entry instance has a revision; shows on standard error which ones haven't.
ExitCode waitUntilInForce(CliClient& client, std::uint64_t revision, Millis timeout)
{
    auto end = std::chrono::steady_clock::now() + timeout.toChrono();
    std::string shown;
    for (;;) {
        auto view = client.get("/v1/inforce?revision=" + std::to_string(revision));
        auto missing = view->getArray("notReached");
        auto total = view->getArray("entries")->size();
        std::string line = "revision " + std::to_string(revision) + " is in force on "
            + std::to_string(total - missing->size()) + " of " + std::to_string(total) + " entry instances";
        std::string names;
        for (const auto& name : *missing) {
            names += (names.empty() ? "; not reached: " : ", ") + name.toString();
        }
        line += names;
        if (line != shown) {
            std::cerr << line << '\n';
            shown = line;
        }
        if (missing->size() == 0) {
            return ExitCode::Done;
        }
        if (std::chrono::steady_clock::now() >= end) {
            std::cerr << "the change is accepted; the entry instances above take it over when they are "
                         "reached again\n";
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
        "input")("dry-run", "only print the difference")(
        "wait", "wait until every entry instance has the change")(
        "wait-timeout-ms", po::value<std::int64_t>()->default_value(30000), "how long --wait waits");
    addClientOptions(options);
    addChangeOptions(options);
    po::variables_map values;
    if (!parseCommandLine("celeryline apply -f FILE [--dry-run] [--wait]", options, {}, arguments, values)) {
        return ExitCode::Done;
    }
    bool asJson = wantsJson(values);
    auto client = clientFor(values);
    Object::Ptr body = new Object;
    body->set("objects", objectsIn(values["file"].as<std::string>()));
    if (values.count("base-revision") != 0) {
        body->set("baseRevision", values["base-revision"].as<std::uint64_t>());
    } else {
        body->set("baseRevision", client.get("/v1/status")->getValue<std::uint64_t>("revision"));
    }
    body->set("dryRun", values.count("dry-run") != 0);
    auto answer = client.change("POST", "/v1/apply", body);
    auto revision = answer->getValue<std::uint64_t>("revision");
    if (asJson) {
        printJson(std::cout, answer);
    } else {
        printDifference(std::cout, answer->getArray("difference"));
        std::cout << (values.count("dry-run") != 0 ? "dry run on revision " : "accepted at revision ")
                  << revision << '\n';
    }
    if (values.count("wait") == 0 || values.count("dry-run") != 0) {
        return ExitCode::Done;
    }
    return waitUntilInForce(client, revision, { values["wait-timeout-ms"].as<std::int64_t>() });
}

} // namespace celeryline
