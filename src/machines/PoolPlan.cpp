#include "celeryline/machines/PoolPlan.h"

#include <algorithm>
#include <tuple>

namespace celeryline {
namespace {

/// @return thousandths of a core that work off a backlog within the horizon.
std::int64_t coresFor(std::int64_t backlog, const PoolPlanOptions& options)
{
    return backlog * 1000 / std::max<std::int64_t>(1, options.horizon.count);
}

/// What a pool has and wants, in thousandths of a core.
struct Balance {
    std::int64_t has = 0;
    std::int64_t wants = 0;
    std::uint32_t machines = 0;
    std::uint32_t fewestMachines = 0;
    bool needsMachine = false; ///< One more, whatever it wants.

    std::int64_t lacks() const { return wants - has; }

    void add(const PoolMachine& machine)
    {
        has += machine.cores;
        ++machines;
        needsMachine = false;
    }

    /// @return whether the pool can do without a machine.
    bool canGive(const PoolMachine& machine) const
    {
        return lacks() + machine.cores <= 0 && machines > fewestMachines && !needsMachine;
    }

    void remove(const PoolMachine& machine)
    {
        has -= machine.cores;
        --machines;
    }

    /// @return what the pool lacks, counting machines that are needed to keep tasks apart as wholes.
    std::int64_t lacksFor(std::int64_t coresOfMachine) const
    {
        std::int64_t wholes = machines >= fewestMachines ? 0 : fewestMachines - machines;
        if (needsMachine)
            wholes = std::max<std::int64_t>(wholes, 1);
        return wholes == 0 ? lacks() : std::max(lacks(), wholes * coresOfMachine);
    }
};

using Balances = std::map<std::string, Balance>;

Balances balancesOf(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines,
    const PoolPlanOptions& options)
{
    Balances balances;
    for (const auto& demand : demands) {
        balances[demand.pool].wants = wantedCores(demand, options);
        balances[demand.pool].fewestMachines = demand.fewestMachines;
    }
    for (const auto& machine : machines) {
        if (!machine.isStandby)
            balances[machine.pool].add(machine);
    }
    return balances;
}

/// Machines that can be given away, those whose loss costs least first.
std::vector<const PoolMachine*> donorsOf(const std::vector<PoolMachine>& machines)
{
    std::vector<const PoolMachine*> donors;
    for (const auto& machine : machines) {
        if (!machine.isPinned && !machine.isFresh)
            donors.push_back(&machine);
    }
    std::sort(donors.begin(), donors.end(), [](const PoolMachine* a, const PoolMachine* b) {
        // A machine that is off has to be paid for once it is on, so idle ones of other pools come first.
        return std::make_tuple(a->inUse, a->isStandby, a->machine)
            < std::make_tuple(b->inUse, b->isStandby, b->machine);
    });
    return donors;
}

/// Gives machines to the pools that lack most; those that were given are removed from the donors.
void giveMachines(std::vector<const PoolMachine*>& donors, Balances& balances, const PoolPlanOptions& options,
    std::vector<MachineMove>& moves)
{
    std::vector<const PoolMachine*> kept;
    for (const auto* donor : donors) {
        auto cores = donor->cores;
        auto neediest
            = std::max_element(balances.begin(), balances.end(), [cores](const auto& a, const auto& b) {
                  return a.second.lacksFor(cores) < b.second.lacksFor(cores);
              });
        // Half a machine is the point from which a move brings more than it costs.
        bool isNeeded = neediest != balances.end() && neediest->second.lacksFor(cores) >= cores / 2
            && neediest->first != donor->pool;
        bool canGive = donor->isStandby ? options.usesStandby : balances[donor->pool].canGive(*donor);
        if (!isNeeded || !canGive) {
            kept.push_back(donor);
            continue;
        }
        if (!donor->isStandby)
            balances[donor->pool].remove(*donor);
        neediest->second.add(*donor);
        moves.push_back({ donor->machine, neediest->first });
    }
    donors = std::move(kept);
}

bool hasMoveTo(const std::vector<MachineMove>& moves, const std::string& pool)
{
    return std::any_of(
        moves.begin(), moves.end(), [&](const MachineMove& move) { return move.pool == pool; });
}

/// @return what wantedCores() gives without the steps that wait for other steps.
std::int64_t wantedAtOnce(PoolDemand demand, const PoolPlanOptions& options)
{
    demand.backlog -= demand.followingBacklog;
    return wantedCores(demand, options);
}

} // namespace

std::int64_t wantedCores(const PoolDemand& demand, const PoolPlanOptions& options)
{
    auto working = std::max(demand.inUse, demand.arrivals) + coresFor(demand.backlog, options);
    return static_cast<std::int64_t>(static_cast<double>(working + demand.lasting) / options.usableShare);
}

std::vector<MachineMove> planPoolMoves(const std::vector<PoolDemand>& demands,
    const std::vector<PoolMachine>& machines, const PoolPlanOptions& options)
{
    auto balances = balancesOf(demands, machines, options);
    auto donors = donorsOf(machines);
    std::vector<MachineMove> moves;
    giveMachines(donors, balances, options, moves);
    for (const auto& demand : demands)
        balances[demand.pool].wants = wantedAtOnce(demand, options);
    giveMachines(donors, balances, options, moves);
    for (const auto& demand : demands) {
        balances[demand.pool].wants = wantedCores(demand, options);
        balances[demand.pool].needsMachine = demand.needsMachine && !hasMoveTo(moves, demand.pool);
    }
    giveMachines(donors, balances, options, moves);
    for (const auto& demand : demands)
        balances[demand.pool].wants += coresFor(demand.lateBacklog, options);
    donors.erase(std::remove_if(donors.begin(), donors.end(),
                     [](const PoolMachine* donor) { return donor->inUse > 0 || donor->isStandby; }),
        donors.end());
    giveMachines(donors, balances, options, moves);
    return moves;
}

} // namespace celeryline
