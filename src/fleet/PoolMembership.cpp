#include "celeryline/fleet/PoolMembership.h"

#include "celeryline/base/Error.h"

#include <algorithm>

namespace celeryline {

namespace {

bool selects(const Pool& pool, const Instance& instance)
{
    const auto& centres = pool.dataCentres;
    bool matchesDataCentre
        = centres.empty() || std::find(centres.begin(), centres.end(), instance.dataCentre) != centres.end();
    return matchesDataCentre && matches(pool.selector, instance.labels);
}

[[noreturn]] void throwInvariantViolation(const Instance& instance, const std::string& what)
{
    throw Error(ErrorKind::Corrupt, "invariant broken: instance \"" + instance.name + "\" " + what,
        "stop this process and report the last log entry; its state is inconsistent");
}

/// @return whether selectors and data centres of all pools are the same in both maps.
bool selectSameInstances(const ObjectMap<Pool>& before, const ObjectMap<Pool>& after)
{
    bool isSame = true;
    after->forEachDifference(*before, [&](const std::string&, const Pool* from, const Pool* to) {
        isSame
            = isSame && from && to && from->selector == to->selector && from->dataCentres == to->dataCentres;
    });
    return isSame;
}

void checkInstance(const FleetState& fleet, const Instance& instance)
{
    const auto& pools = *fleet.pools;
    std::string target;
    try {
        target = poolFor(pools, instance);
    } catch (const Error& e) {
        throwInvariantViolation(instance, std::string("is selected by two pools: ") + e.what());
    }
    if (!instance.pool.empty() && pools.count(instance.pool) == 0) {
        throwInvariantViolation(instance, "is in pool \"" + instance.pool + "\", which does not exist");
    }
    bool isStable = instance.phase == InstancePhase::Serving || instance.phase == InstancePhase::Failed;
    const auto& next = isStable || instance.nextPool.empty() ? instance.pool : instance.nextPool;
    bool leavesAllPools = !isStable && target.empty();
    if (next != target && !leavesAllPools) {
        throwInvariantViolation(
            instance, "must be in pool \"" + target + "\" but is in pool \"" + next + "\"");
    }
    if (instance.phase == InstancePhase::Moving && instance.pool == target) {
        throwInvariantViolation(instance, "is moving but is already in pool \"" + target + "\"");
    }
}

} // namespace

std::string poolFor(const NamedMap<Pool>& pools, const Instance& instance)
{
    const std::string* found = nullptr;
    for (const auto& [name, pool] : pools) {
        if (!selects(pool, instance)) {
            continue;
        }
        if (found) {
            throw Error(ErrorKind::InvalidInput,
                "the selectors of pools \"" + *found + "\" and \"" + name + "\" both match instance \""
                    + instance.name + "\"",
                "narrow one of the selectors or change the instance's labels");
        }
        found = &name;
    }
    return found ? *found : "";
}

void checkOwnership(const FleetState& fleet, const FleetState* before)
{
    bool samePools = before && selectSameInstances(before->pools, fleet.pools);
    if (samePools && before->instances == fleet.instances) {
        return;
    }
    if (samePools) {
        fleet.instances->forEachDifference(
            *before->instances, [&](const std::string&, const Instance*, const Instance* instance) {
                if (instance) {
                    checkInstance(fleet, *instance);
                }
            });
        return;
    }
    for (const auto& [name, instance] : *fleet.instances) {
        checkInstance(fleet, instance);
    }
}

bool isDown(const Instance& instance, bool hasPermit)
{
    switch (instance.phase) {
    case InstancePhase::Serving:
        return false;
    case InstancePhase::Moving:
        return hasPermit;
    case InstancePhase::Draining:
    case InstancePhase::Rebooting:
    case InstancePhase::Failed:
        return true;
    }
    return true;
}

ServiceBudget budgetOf(const NamedMap<Pool>& pools, const NamedMap<Instance>& instances,
    const NamedMap<Permit>& permits, const Service& service)
{
    ServiceBudget budget;
    for (const auto& [name, instance] : instances) {
        auto pool = pools.find(instance.pool);
        if (pool != pools.end() && pool->second.service == service.name && pool->second.guarded) {
            ++budget.total;
            budget.down += isDown(instance, permits.count(name) != 0) ? 1 : 0;
        }
    }
    budget.allowedDown = std::max(
        0, std::min(budget.total * service.maxUnavailablePercent / 100, budget.total - service.minAvailable));
    return budget;
}

} // namespace celeryline
