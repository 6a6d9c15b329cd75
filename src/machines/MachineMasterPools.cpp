// MachineMaster: the balance of the pools and moves between them.
#include "celeryline/machines/MachineMaster.h"

#include "celeryline/settings/EventLog.h"

#include <algorithm>
#include <utility>

namespace celeryline {
namespace {

constexpr Millis balanceLogInterval { 1000 };

/// A task that fits no runner for this time gets one more machine for its pool.
constexpr Millis maxWaitForCapacity { 2000 };
/// Time from the end of a move until waiting tasks have started there and the wait report reflects it.
constexpr Millis arrivalSettleTime { 3500 };

bool lacksCapacity(const PoolWait& wait)
{
    // A runner that fits one member of a gang may not fit all of them.
    return wait.waited >= maxWaitForCapacity && (wait.isGang || wait.runners.count(WaitReason::HasRoom) == 0);
}

/// Adds the demand of the steps of one occurrence.
void addStepDemand(
    const std::vector<StepSpec>& specs, const std::vector<StepState>& steps, bool isLate, PoolDemand& demand)
{
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const auto& spec = specs[i];
        const auto& step = steps[i];
        auto milliCores = reservedBy(spec).cpuMilli;
        auto count = static_cast<std::int64_t>(step.tasks.size());
        if (spec.isLongRunning) {
            demand.longRunning += count * milliCores;
            demand.recallsAtOnce += std::max<std::uint32_t>(1, spec.maxUnavailable);
            auto tasksPerMachine = std::max<std::uint32_t>(1, spec.maxPerRunner);
            auto machinesNeeded = (spec.count + tasksPerMachine - 1) / tasksPerMachine;
            if (spec.maxPerRunner != 0)
                demand.minMachines = std::max(demand.minMachines, machinesNeeded);
            continue;
        }
        auto waiting = (count - step.done - step.active) * milliCores * spec.estimate.count / 1000;
        if (isLate) {
            demand.lateBacklog += waiting;
        } else {
            demand.inUse += step.active * milliCores;
            demand.backlog += waiting;
            demand.dependentBacklog += isStepReady(specs, steps, i) ? 0 : waiting;
        }
    }
}

} // namespace

std::vector<PoolDemand> MachineMaster::poolDemands()
{
    std::map<std::string, PoolDemand> byPool;
    for (const auto& queue : m_store.configuration().queues) {
        auto& demand = byPool[queue.service];
        demand.pool = queue.service;
        demand.arrivalRate = m_arrivalRate.rateOf(queue.service);
    }
    auto wallNow = m_clock().wall;
    for (const auto& id : m_store.openJobs()) {
        const auto& job = *m_store.findJob(id);
        const auto* queue = findQueue(m_store.configuration(), job.spec.queue);
        if (queue == nullptr || job.occurrences.empty())
            continue;
        noteNamed(job.spec);
        auto& demand = byPool[queue->service];
        demand.minMachines = std::max<std::uint32_t>(1, demand.minMachines);
        auto lateness = latenessOf(job, wallNow);
        if (lateness == JobLateness::Expired)
            continue; // It runs on leftover capacity only, on one machine or more.
        for (const auto& [occurrence, steps] : job.occurrences)
            addStepDemand(job.spec.steps, steps, lateness == JobLateness::Late, demand);
    }
    for (const auto& wait : m_jobs.waits()) {
        auto found = byPool.find(wait.pool);
        if (found != byPool.end())
            found->second.needsMachine = lacksCapacity(wait) && !isMachineArriving(wait.pool);
    }
    std::vector<PoolDemand> demands;
    for (auto& [pool, demand] : byPool)
        demands.push_back(std::move(demand));
    return demands;
}

bool MachineMaster::isMachineArriving(const std::string& pool) const
{
    bool isMoving = std::any_of(m_operations.begin(), m_operations.end(),
        [&](const auto& entry) { return entry.second.wave == 0 && entry.second.pool == pool; });
    auto now = m_clock().steady;
    return isMoving || std::any_of(m_machines.begin(), m_machines.end(), [&](const auto& entry) {
        const auto& known = entry.second;
        return known.info.pool == pool && now < known.inPoolSince + arrivalSettleTime;
    });
}

bool MachineMaster::isStandbyPool(const std::string& pool) const
{
    const auto& pools = m_store.configuration().pools;
    return std::any_of(pools.begin(), pools.end(),
        [&](const PoolSettings& settings) { return settings.service == pool && settings.isStandby; });
}

bool MachineMaster::isAvailable(const MachineInfo& info) const
{
    // Only the runner tells what runs on a machine. Standby machines have no runner and run nothing.
    return info.state == MachineState::Up && (!info.runner.empty() || isStandbyPool(info.pool));
}

std::vector<PoolMachine> MachineMaster::poolMachines() const
{
    std::vector<PoolMachine> machines;
    auto now = m_clock().steady;
    for (const auto& [name, known] : m_machines) {
        if (!isAvailable(known.info))
            continue;
        auto use = useOf(name);
        PoolMachine machine;
        machine.machine = name;
        machine.pool = known.info.pool;
        machine.milliCores = known.info.capacity.cpuMilli;
        machine.isStandby = isStandbyPool(known.info.pool);
        machine.isPinned = !use.longRunning.empty() || isPinned(name);
        machine.isNewInPool = !machine.isStandby && now < known.inPoolSince + m_options.minPoolStay;
        machine.inUse = use.reserved.cpuMilli;
        machine.isEmpty = use.isEmpty;
        machines.push_back(std::move(machine));
    }
    return machines;
}

void MachineMaster::logPoolBalance(
    const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines)
{
    auto now = m_clock().steady;
    if (now < m_nextBalanceLogAt)
        return;
    m_nextBalanceLogAt = now + balanceLogInterval;
    for (const auto& demand : demands) {
        int all = 0;
        int pinned = 0;
        std::int64_t inUse = 0;
        for (const auto& machine : machines) {
            if (machine.pool != demand.pool)
                continue;
            ++all;
            pinned += machine.isPinned ? 1 : 0;
            inUse += machine.inUse;
        }
        Event("pool-balance")
            .with("pool", demand.pool)
            .with("wantedMilliCores", wantedMilliCores(demand, m_options.poolPlan))
            .with("machines", all)
            .with("pinned", pinned)
            .with("inUseMilliCores", inUse)
            .with("backlogCoreMs", demand.backlog)
            .with("lateCoreMs", demand.lateBacklog)
            .with("arrivingMilliCores", demand.arrivalRate)
            .writeAlways();
    }
}

void MachineMaster::planMoves(
    const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines)
{
    auto nearDeadline = machinesNearDeadline();
    std::vector<PoolMachine> free;
    for (const auto& machine : machines) {
        if (m_operations.count(machine.machine) != 0)
            continue;
        free.push_back(machine);
        free.back().isPinned = machine.isPinned || nearDeadline.count(machine.machine) != 0;
    }
    // Machines being moved count for their target pool. Machines in upkeep don't count, so that their pool
    // gets replacement capacity.
    for (const auto& [name, operation] : m_operations) {
        auto known = m_machines.find(name);
        if (known == m_machines.end() || operation.wave != 0)
            continue;
        auto milliCores = known->second.info.capacity.cpuMilli;
        free.push_back({ name, operation.pool, milliCores, isStandbyPool(operation.pool), true, true, 0 });
    }
    auto options = m_options.poolPlan;
    // Once idle machines are sent to standby, switching some on for steps that reuse cores would bring back
    // what was idle.
    bool maySend = usesStandbyPool() && m_demandHistory.isComplete(m_clock().steady);
    options.usesStandbyForDependents = options.usesStandbyForDependents && !maySend;
    for (const auto& move : planPoolMoves(demands, free, options))
        m_operations[move.machine] = { 0, move.pool, Stage::Draining, m_clock().steady };
}

} // namespace celeryline
