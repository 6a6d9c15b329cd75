#include "celeryline/machines/PoolPlan.h"

#include <algorithm>
#include <tuple>

namespace celeryline {
namespace {

/// What a pool has and wants, in thousandths of a core.
struct Balance {
    std::int64_t has = 0;
    std::int64_t wants = 0;

    std::int64_t lacks() const { return wants - has; }
};

using Balances = std::map<std::string, Balance>;

Balances balancesOf(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines,
    const PoolPlanOptions& options)
{
    Balances balances;
    for (const auto& demand : demands)
        balances[demand.pool].wants = wantedCores(demand, options);
    for (const auto& machine : machines) {
        if (!machine.isStandby)
            balances[machine.pool].has += machine.cores;
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

} // namespace

std::int64_t wantedCores(const PoolDemand& demand, const PoolPlanOptions& options)
{
    auto perHorizon = demand.backlog * 1000 / std::max<std::int64_t>(1, options.horizon.count);
    auto working = std::max(demand.inUse, demand.arrivals) + perHorizon;
    return static_cast<std::int64_t>(static_cast<double>(working + demand.lasting) / options.usableShare);
}

std::vector<PoolMove> planPoolMoves(const std::vector<PoolDemand>& demands,
    const std::vector<PoolMachine>& machines, const PoolPlanOptions& options)
{
    auto balances = balancesOf(demands, machines, options);
    std::vector<PoolMove> moves;
    for (const auto* donor : donorsOf(machines)) {
        auto neediest = std::max_element(balances.begin(), balances.end(),
            [](const auto& a, const auto& b) { return a.second.lacks() < b.second.lacks(); });
        // Half a machine is the point from which a move brings more than it costs.
        if (neediest == balances.end() || neediest->second.lacks() < donor->cores / 2)
            break;
        if (neediest->first == donor->pool || (donor->isStandby && !options.usesStandby))
            continue;
        auto& giver = balances[donor->pool];
        bool hasSurplus = donor->isStandby || giver.lacks() + donor->cores <= 0;
        if (!hasSurplus)
            continue;
        if (!donor->isStandby)
            giver.has -= donor->cores;
        neediest->second.has += donor->cores;
        moves.push_back({ donor->machine, neediest->first });
    }
    return moves;
}

std::vector<PoolMove> planSwitchOff(const std::vector<PoolDemand>& demands,
    const std::vector<PoolMachine>& machines, const std::string& standbyPool, const PoolPlanOptions& options)
{
    auto balances = balancesOf(demands, machines, options);
    std::vector<PoolMove> moves;
    for (const auto* donor : donorsOf(machines)) {
        auto& giver = balances[donor->pool];
        if (donor->isStandby || donor->inUse > 0 || giver.lacks() + donor->cores > 0)
            continue;
        giver.has -= donor->cores;
        moves.push_back({ donor->machine, standbyPool });
    }
    return moves;
}

} // namespace celeryline
