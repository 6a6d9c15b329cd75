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

void printSection(const Array::Ptr& items, const std::vector<std::string>& columns)
{
    if (items.isNull() || items->size() == 0) {
        return;
    }
    std::vector<std::vector<std::string>> rows;
    for (std::size_t i = 0; i < items->size(); ++i) {
        std::vector<std::string> row;
        for (const auto& column : columns) {
            row.push_back(formatField(items->getObject(static_cast<unsigned>(i)), column));
        }
        rows.push_back(row);
    }
    std::cout << '\n';
    printTable(std::cout, columns, rows);
}

} // namespace

ExitCode runStatus(const std::vector<std::string>& arguments)
{
    po::options_description options("options");
    addClientOptions(options);
    po::variables_map values;
    if (!parseCommandLine("celeryline status", options, {}, arguments, values)) {
        return ExitCode::Success;
    }
    bool asJson = isJsonOutput(values);
    auto client = createClient(values);
    auto status = client.get("/v1/status");
    auto inForce = client.get("/v1/inforce?revision=" + formatField(status, "revision"));
    if (asJson) {
        status->set("entryInstances", inForce->getArray("entries"));
        printJson(std::cout, status);
        return ExitCode::Success;
    }
    std::cout << "entry instance " << formatField(status, "name") << " in "
              << formatField(status, "dataCentre") << ": " << formatField(status, "role") << ", leader "
              << formatField(status, "leader") << ", "
              << (status->getValue<bool>("hasQuorum") ? "has a quorum" : "has no quorum: changes are refused")
              << ", revision " << formatField(status, "revision") << '\n'
              << formatField(status, "instances") << " instances in " << formatField(status, "pools")
              << " pools, " << formatField(status, "liveUpstreams") << " live upstreams here, "
              << formatField(status, "queuedJobs") << " queued jobs\n";
    printSection(status->getArray("services"), { "name", "instances", "down", "allowedDown" });
    printSection(status->getArray("waves"), { "name", "state", "pending", "completed", "abandoned" });
    printSection(
        inForce->getArray("entries"), { "name", "dataCentre", "appliedRevision", "reachable", "inForce" });
    return ExitCode::Success;
}

} // namespace celeryline
