/// @file
/// Builders of fleet commands and a replicated state for tests.
#pragma once

#include "celeryline/fleet/FleetApply.h"
#include "celeryline/fleet/FleetCommand.h"
#include "celeryline/fleet/ReplicatedState.h"

#include <string>

namespace celeryline::test {

/// A ledger whose state is the number of applied commands.
class CountingLedger final : public LedgerStateMachine {
public:
    CommandResult apply(std::uint64_t, Millis, const Command&) override
    {
        ++count;
        return { true, ErrorKind::InvalidInput, "{}", 0 };
    }
    std::string takeSnapshot() const override { return std::to_string(count); }
    void restoreSnapshot(const std::string& bytes) override { count = std::stoi(bytes); }

    int count = 0;
};

inline FleetCommand command(FleetOperation operation, const std::string& name = "")
{
    FleetCommand result;
    result.operation = operation;
    result.name = name;
    return result;
}

inline Service makeService(const std::string& name, int maxUnavailablePercent = 50)
{
    Service service;
    service.name = name;
    service.selector = parseSelector("service=" + name);
    service.maxUnavailablePercent = maxUnavailablePercent;
    return service;
}

inline Pool makePool(const std::string& name)
{
    Pool pool;
    pool.name = name;
    pool.selector = parseSelector("pool=" + name);
    pool.service = name;
    return pool;
}

inline FleetCommand applyCommand(
    const std::vector<std::string>& names, std::optional<std::uint64_t> base = {})
{
    auto result = command(FleetOperation::Apply);
    result.baseRevision = base;
    for (const auto& name : names) {
        result.services.push_back(makeService(name));
        result.pools.push_back(makePool(name));
    }
    return result;
}

inline FleetCommand registerCommand(const std::string& name, const std::string& pool,
    const std::string& dataCentre = "dc1", const std::string& rack = "r1")
{
    auto result = command(FleetOperation::RegisterInstance, name);
    result.instance.name = name;
    result.instance.dataCentre = dataCentre;
    result.instance.rack = rack;
    result.instance.labels = { { "pool", pool }, { "service", pool } };
    result.instance.bootEpoch = 1;
    result.bootEpoch = 1;
    return result;
}

inline FleetCommand labelCommand(const std::string& name, const std::string& pool)
{
    auto result = command(FleetOperation::Label, name);
    result.labels = { { "pool", pool } };
    return result;
}

inline FleetCommand returnedCommand(const std::string& name, std::uint64_t bootEpoch)
{
    auto result = command(FleetOperation::InstanceReturned, name);
    result.bootEpoch = bootEpoch;
    return result;
}

inline FleetCommand commandWithEpoch(
    FleetOperation operation, const std::string& name, std::uint64_t bootEpoch = 1)
{
    auto result = command(operation, name);
    result.bootEpoch = bootEpoch;
    return result;
}

inline FleetCommand startWaveCommand(const std::string& name, const std::string& selector)
{
    auto result = command(FleetOperation::StartWave, name);
    result.selector = parseSelector(selector);
    return result;
}

inline FleetCommand grantCommand(
    const std::string& wave, const std::vector<std::string>& instances, std::uint64_t revision)
{
    auto result = command(FleetOperation::GrantPermits);
    for (const auto& instance : instances) {
        result.permits.push_back({ instance, wave, revision, Millis { 30000 } });
    }
    return result;
}

/// A replicated state that assigns log indexes, entry times and command ids.
struct StateFixture {
    CommandResult run(const FleetCommand& fleetCommand, const std::string& id = "")
    {
        ++index;
        return state.apply(index, Millis { static_cast<std::int64_t>(index) },
            encodeFleetCommand(id.empty() ? "c" + std::to_string(index) : id, fleetCommand));
    }
    const Instance& instance(const std::string& name) const { return state.fleet()->instances->at(name); }

    CountingLedger ledger;
    ReplicatedState state { ledger };
    std::uint64_t index = 0;
};

} // namespace celeryline::test
