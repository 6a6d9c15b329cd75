#include "celeryline/machines/PoolPlan.h"

#include <algorithm>
#include <tuple>

namespace celeryline {
namespace {

/// @return thousandths of a core that process a backlog within the horizon.
std::int64_t milliCoresFor(std::int64_t backlog, const PoolPlanOptions& options)
{
    return backlog * 1000 / std::max<std::int64_t>(1, options.horizon.count);
}

/// Capacity and demand of a pool in thousandths of a core.
struct Balance {
    std::int64_t owned = 0;
    std::int64_t wanted = 0;
    std::uint32_t machines = 0;
    std::uint32_t minMachines = 0;
    bool needsMachine = false; ///< One machine is needed regardless of the demand.

    std::int64_t shortage() const { return wanted - owned; }

    void add(const PoolMachine& machine)
    {
        owned += machine.milliCores;
        ++machines;
        needsMachine = false;
    }

    /// @return whether the pool has no need for a machine.
    bool canGive(const PoolMachine& machine) const
    {
        return shortage() + machine.milliCores <= 0 && machines > minMachines && !needsMachine;
    }

    void remove(const PoolMachine& machine)
    {
        owned -= machine.milliCores;
        --machines;
    }

    /// @return the shortage; machines required by minMachines or by a waiting task count in full.
    std::int64_t effectiveShortage(std::int64_t milliCoresPerMachine) const
    {
        std::int64_t missingMachines = machines >= minMachines ? 0 : minMachines - machines;
        if (needsMachine)
            missingMachines = std::max<std::int64_t>(missingMachines, 1);
        return missingMachines == 0 ? shortage()
                                    : std::max(shortage(), missingMachines * milliCoresPerMachine);
    }
};

using Balances = std::map<std::string, Balance>;

Balances balancesOf(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines,
    const PoolPlanOptions& options)
{
    Balances balances;
    for (const auto& demand : demands) {
        balances[demand.pool].wanted = wantedMilliCores(demand, options);
        balances[demand.pool].minMachines = demand.minMachines;
    }
    for (const auto& machine : machines) {
        if (!machine.isStandby)
            balances[machine.pool].add(machine);
    }
    return balances;
}

/// @return machines that can be moved, in ascending order of the cost of losing them.
std::vector<const PoolMachine*> donorsOf(const std::vector<PoolMachine>& machines)
{
    std::vector<const PoolMachine*> donors;
    for (const auto& machine : machines) {
        if (!machine.isPinned && !machine.isNewInPool)
            donors.push_back(&machine);
    }
    std::sort(donors.begin(), donors.end(), [](const PoolMachine* a, const PoolMachine* b) {
        // A standby machine costs money once it is on, so idle machines of other pools come first.
        return std::make_tuple(a->inUse, a->isStandby, a->machine)
            < std::make_tuple(b->inUse, b->isStandby, b->machine);
    });
    return donors;
}

/// Assigns machines to the pools with the largest shortage and removes them from the donors.
void assignMachines(std::vector<const PoolMachine*>& donors, Balances& balances,
    const PoolPlanOptions& options, std::vector<MachineMove>& moves)
{
    std::vector<const PoolMachine*> remaining;
    for (const auto* donor : donors) {
        auto milliCores = donor->milliCores;
        auto recipient
            = std::max_element(balances.begin(), balances.end(), [milliCores](const auto& a, const auto& b) {
                  return a.second.effectiveShortage(milliCores) < b.second.effectiveShortage(milliCores);
              });
        // For a shortage below half a machine a move costs more than it gains.
        bool isNeeded = recipient != balances.end()
            && recipient->second.effectiveShortage(milliCores) >= milliCores / 2
            && recipient->first != donor->pool;
        bool canGive = donor->isStandby ? options.usesStandby : balances[donor->pool].canGive(*donor);
        if (!isNeeded || !canGive) {
            remaining.push_back(donor);
            continue;
        }
        if (!donor->isStandby)
            balances[donor->pool].remove(*donor);
        recipient->second.add(*donor);
        moves.push_back({ donor->machine, recipient->first });
    }
    donors = std::move(remaining);
}

bool hasMoveTo(const std::vector<MachineMove>& moves, const std::string& pool)
{
    return std::any_of(
        moves.begin(), moves.end(), [&](const MachineMove& move) { return move.pool == pool; });
}

/// Removes the standby machines from the donors.
/// @return the standby machines.
std::vector<const PoolMachine*> takeStandby(std::vector<const PoolMachine*>& donors)
{
    auto firstStandby = std::stable_partition(
        donors.begin(), donors.end(), [](const PoolMachine* donor) { return !donor->isStandby; });
    std::vector<const PoolMachine*> standby(firstStandby, donors.end());
    donors.erase(firstStandby, donors.end());
    return standby;
}

} // namespace

std::int64_t wantedMilliCores(const PoolDemand& demand, const PoolPlanOptions& options)
{
    auto active = std::max(demand.inUse, demand.arrivalRate) + milliCoresFor(demand.backlog, options);
    return static_cast<std::int64_t>(
        static_cast<double>(active + demand.longRunning) / options.usableFraction);
}

std::int64_t wantedWithoutDependents(PoolDemand demand, const PoolPlanOptions& options)
{
    demand.backlog -= demand.dependentBacklog;
    return wantedMilliCores(demand, options);
}

std::vector<MachineMove> planPoolMoves(const std::vector<PoolDemand>& demands,
    const std::vector<PoolMachine>& machines, const PoolPlanOptions& options)
{
    auto balances = balancesOf(demands, machines, options);
    auto donors = donorsOf(machines);
    std::vector<MachineMove> moves;
    std::vector<const PoolMachine*> standby;
    if (!options.usesStandbyForDependents)
        standby = takeStandby(donors);
    assignMachines(donors, balances, options, moves);
    donors.insert(donors.end(), standby.begin(), standby.end());
    for (const auto& demand : demands)
        balances[demand.pool].wanted = wantedWithoutDependents(demand, options);
    assignMachines(donors, balances, options, moves);
    for (const auto& demand : demands) {
        balances[demand.pool].wanted = options.usesStandbyForDependents
            ? wantedMilliCores(demand, options)
            : wantedWithoutDependents(demand, options);
        balances[demand.pool].needsMachine = demand.needsMachine && !hasMoveTo(moves, demand.pool);
    }
    assignMachines(donors, balances, options, moves);
    for (const auto& demand : demands)
        balances[demand.pool].wanted += milliCoresFor(demand.lateBacklog, options);
    donors.erase(std::remove_if(donors.begin(), donors.end(),
                     [](const PoolMachine* donor) { return donor->inUse > 0 || donor->isStandby; }),
        donors.end());
    assignMachines(donors, balances, options, moves);
    return moves;
}

} // namespace celeryline
