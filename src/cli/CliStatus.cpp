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

void printList(const Array::Ptr& items, const std::vector<std::string>& columns)
{
    if (items.isNull() || items->size() == 0) {
        return;
    }
    std::vector<std::vector<std::string>> rows;
    for (std::size_t i = 0; i < items->size(); ++i) {
        std::vector<std::string> row;
        for (const auto& column : columns) {
            row.push_back(cellOf(items->getObject(static_cast<unsigned>(i)), column));
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
        return ExitCode::Done;
    }
    bool asJson = wantsJson(values);
    auto client = clientFor(values);
    auto status = client.get("/v1/status");
    auto inForce = client.get("/v1/inforce?revision=" + cellOf(status, "revision"));
    if (asJson) {
        status->set("entryInstances", inForce->getArray("entries"));
        printJson(std::cout, status);
        return ExitCode::Done;
    }
    std::cout << "entry instance " << cellOf(status, "name") << " in " << cellOf(status, "dataCentre") << ": "
              << cellOf(status, "role") << ", leader " << cellOf(status, "leader") << ", "
              << (status->getValue<bool>("hasQuorum") ? "has a quorum" : "has no quorum: changes are refused")
              << ", revision " << cellOf(status, "revision") << '\n'
              << cellOf(status, "instances") << " instances in " << cellOf(status, "pools") << " pools, "
              << cellOf(status, "liveUpstreams") << " live upstreams here, " << cellOf(status, "queuedJobs")
              << " queued jobs\n";
    printList(status->getArray("services"), { "name", "instances", "down", "allowedDown" });
    printList(status->getArray("waves"), { "name", "state", "pending", "completed", "abandoned" });
    printList(
        inForce->getArray("entries"), { "name", "dataCentre", "appliedRevision", "reachable", "inForce" });
    return ExitCode::Done;
}

} // namespace celeryline
