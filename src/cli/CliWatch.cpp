#include "celeryline/cli/CliClient.h"
#include "celeryline/cli/CliCommands.h"
#include "celeryline/cli/CliOutput.h"
#include "celeryline/cli/CommandLine.h"

#include <algorithm>
#include <iostream>

namespace celeryline {

namespace po = boost::program_options;
using Poco::JSON::Object;

namespace {

void printChange(const Object::Ptr& change, bool asJson)
{
    if (asJson) {
        printJson(std::cout, change);
        return;
    }
    std::cout << formatField(change, "revision") << "  " << formatField(change, "kind") << "/"
              << formatField(change, "name");
    auto object = change->getObject("object");
    if (object.isNull()) {
        std::cout << "  deleted";
    } else {
        for (const auto* key : { "phase", "state", "pool", "nextPool", "worker" }) {
            if (auto cell = formatField(object, key); cell != "-") {
                std::cout << "  " << key << "=" << cell;
            }
        }
    }
    std::cout << std::endl;
}

} // namespace

ExitCode runWatch(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    options.add_options()(
        "since", po::value<std::uint64_t>(), "print changes after this revision (default: the current one)")(
        "once", "exit after the first changes")("timeout-ms", po::value<std::int64_t>()->default_value(30000),
        "timeout of a single poll; with --once, also of the command");
    addClientOptions(options);
    po::variables_map values;
    if (!parseCommandLine("celeryline watch [--since REVISION]", options, {}, arguments, values)) {
        return ExitCode::Success;
    }
    bool asJson = isJsonOutput(values);
    auto client = createClient(values);
    auto since = values.count("since") != 0 ? values["since"].as<std::uint64_t>()
                                            : client.get("/v1/status")->getValue<std::uint64_t>("revision");
    Millis timeout { values["timeout-ms"].as<std::int64_t>() };
    for (;;) {
        auto response = client.get(
            "/v1/watch?since=" + std::to_string(since) + "&timeoutMs=" + std::to_string(timeout.count),
            timeout + Millis { 10000 });
        auto changes = response->getArray("changes");
        for (std::size_t i = 0; i < changes->size(); ++i) {
            printChange(changes->getObject(static_cast<unsigned>(i)), asJson);
        }
        // The response may come from an entry instance with an older revision than the previous one.
        since = std::max(since, response->getValue<std::uint64_t>("revision"));
        if (values.count("once") != 0) {
            return changes->size() != 0 ? ExitCode::Success : ExitCode::TimedOut;
        }
    }
}

} // namespace celeryline
