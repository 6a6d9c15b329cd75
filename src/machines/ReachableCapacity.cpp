#include "celeryline/machines/ReachableCapacity.h"

#include "celeryline/machines/MachineMaster.h"

#include <algorithm>
#include <set>
#include <utility>

namespace celeryline {
namespace {

/// Part of the time of a move in which a machine's tasks end before it. Machines without tasks go first.
constexpr Millis drainAllowance { 500 };

/// Capacity of a pool in thousandths of a core.
struct PoolBalance {
    std::int64_t owned = 0;
    std::int64_t movable = 0;
    std::int64_t wanted = 0;
};

/// Sums over all pools.
struct SiteBalance {
    std::int64_t total = 0;
    std::int64_t movable = 0;
    std::int64_t wanted = 0;
};

void addMachines(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines,
    const PoolPlanOptions& options, std::map<std::string, PoolBalance>& pools, SiteBalance& site)
{
    std::map<std::string, std::int64_t> kept; // Machines that a pool doesn't give away.
    for (const auto& demand : demands)
        kept[demand.pool] = demand.minMachines;
    for (const auto& machine : machines) {
        if (machine.isStandby && (!options.usesStandby || machine.isPinned))
            continue;
        auto& pool = pools[machine.pool];
        bool isKept = !machine.isStandby && kept[machine.pool]-- > 0;
        auto movable = machine.isPinned || isKept ? 0 : machine.milliCores;
        site.total += machine.milliCores;
        site.movable += movable;
        pool.movable += movable;
        pool.owned += machine.isStandby ? 0 : machine.milliCores;
    }
}

std::int64_t reachableBy(const PoolBalance& pool, const SiteBalance& site)
{
    auto others = site.wanted - pool.wanted;
    auto part = pool.wanted == 0 ? 0
                                 : static_cast<std::int64_t>(static_cast<double>(site.total)
                                     * static_cast<double>(pool.wanted) / static_cast<double>(site.wanted));
    auto most = std::max<std::int64_t>(0, site.movable - pool.movable);
    return std::clamp<std::int64_t>(std::max(site.total - others, part) - pool.owned, 0, most);
}

} // namespace

std::map<std::string, std::int64_t> reachableMilliCores(const std::vector<PoolDemand>& demands,
    const std::vector<PoolMachine>& machines, const PoolPlanOptions& options)
{
    std::map<std::string, PoolBalance> pools;
    SiteBalance site;
    addMachines(demands, machines, options, pools, site);
    for (const auto& demand : demands)
        site.wanted += pools[demand.pool].wanted = wantedMilliCores(demand, options);
    std::map<std::string, std::int64_t> reachable;
    for (const auto& demand : demands) {
        const auto& pool = pools[demand.pool];
        reachable[demand.pool] = reachableBy(pool, site);
    }
    return reachable;
}

void MachineMaster::forecastCapacity(
    const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines)
{
    if (m_store.configuration().customers.empty())
        return;
    auto now = m_clock().steady;
    auto moveTime = m_options.moveDuration + m_options.firstReportMargin;
    std::map<std::string, PoolForecast> reachable;
    std::set<std::string> moving;
    for (const auto& [name, operation] : m_operations) {
        moving.insert(name);
        auto known = m_machines.find(name);
        if (operation.wave != 0 || known == m_machines.end() || isStandbyPool(operation.pool))
            continue;
        bool isOrdered = operation.stage == Stage::Ordered || operation.stage == Stage::Down;
        auto startsAt = isOrdered ? operation.since : now + drainAllowance;
        reachable[operation.pool].push_back({ startsAt + moveTime, known->second.info.capacity });
    }
    Resources total;
    for (const auto& [name, known] : m_machines)
        total += known.info.capacity;
    std::vector<PoolMachine> others;
    std::copy_if(machines.begin(), machines.end(), std::back_inserter(others),
        [&](const PoolMachine& machine) { return moving.count(machine.machine) == 0; });
    if (!isProviderUnavailable() && total.cpuMilli > 0) {
        auto reachableAt = now + drainAllowance + moveTime;
        for (const auto& [pool, milliCores] : reachableMilliCores(demands, others, m_options.poolPlan)) {
            // Memory and accelerators as on the site's average machine.
            Resources added { milliCores, total.memoryMb * milliCores / total.cpuMilli,
                total.accelerators * milliCores / total.cpuMilli };
            reachable[pool].push_back({ reachableAt, added });
        }
    }
    for (auto& [pool, forecast] : reachable) {
        std::sort(forecast.begin(), forecast.end(),
            [](const CapacityStep& a, const CapacityStep& b) { return a.after < b.after; });
    }
    m_jobs.setReachableCapacity(std::move(reachable));
}

} // namespace celeryline
