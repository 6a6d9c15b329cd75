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

MachineMaster::MachineMaster(MachineMasterOptions options, JobMaster& jobs, const JobStore& store,
    CommandLog& log, MachineProvider& provider, std::function<Moment()> clock)
    : m_options(std::move(options))
    , m_jobs(jobs)
    , m_store(store)
    , m_log(log)
    , m_provider(provider)
    , m_clock(std::move(clock))
{
}

void MachineMaster::startTerm()
{
    m_term = m_log.term();
    m_isListing = false;
    m_lastAnswerAt = m_clock().steady;
    m_isProviderLost = false;
    m_machines.clear();
    m_kinds.clear();
    m_operations.clear();
    m_listedAt.reset();
    m_absentSince.clear();
    m_nextAdvanceAt = {};
    m_refusedUntil.clear();
    m_pausedUntil.clear();
    restoreEarlierOrders();
    for (const auto& [number, wave] : m_store.waves()) {
        for (const auto& machine : wave.begun) {
            // The earlier leader may have ordered this upkeep; repeating the order is idempotent.
            if (wave.done.count(machine) == 0)
                m_operations[machine] = { number, "", Stage::Draining, m_clock().steady };
        }
    }
}

void MachineMaster::tick()
{
    if (!m_log.isLeading() || m_term != m_log.term())
        return;
    auto now = m_clock().steady;
    bool isOverdue = now >= m_listRequestedAt + m_options.listTimeout;
    if (now >= m_nextListAt && (!m_isListing || isOverdue))
        requestList();
    if (now >= m_nextPlanAt) {
        m_nextPlanAt = now + m_options.planInterval;
        m_arrivalRate.update(m_store, now);
        if (!m_machines.empty())
            plan();
    }
    if (now >= m_nextAdvanceAt) {
        m_nextAdvanceAt = now + m_options.advanceInterval;
        advanceOperations();
    }
}

void MachineMaster::onCommitted(const JobCommand& command)
{
    auto now = m_clock().steady;
    if (const auto* move = std::get_if<NoteMove>(&command))
        m_orderAppliedAt[move->machine] = now;
    const auto* upkeep = std::get_if<NoteUpkeep>(&command);
    if (upkeep != nullptr && !upkeep->isDone)
        m_orderAppliedAt[upkeep->machine] = now;
}

void MachineMaster::onSnapshot()
{
    m_snapshotAppliedAt = m_clock().steady;
    m_orderAppliedAt.clear();
}

Millis MachineMaster::orderAppliedAt(const std::string& machine) const
{
    auto found = m_orderAppliedAt.find(machine);
    return found == m_orderAppliedAt.end() ? m_snapshotAppliedAt : found->second;
}

void MachineMaster::restoreEarlierOrders()
{
    m_orderBlockedUntil.clear();
    m_maybeDownUntil.clear();
    auto now = m_clock().steady;
    const auto& orders = m_store.machineOrders();
    std::map<std::uint64_t, std::string> newest; // By fence: the machine with the newest order.
    for (const auto& [machine, order] : orders) {
        auto& best = newest.emplace(order.fence, machine).first->second;
        if (orders.at(best).at < order.at)
            best = machine;
    }
    for (const auto& [machine, order] : orders) {
        // After a restart, a replica applies all orders at almost the same time, so their apply times don't
        // show their age. The leader's own clock gives the time between an order and its newest one. Clocks
        // of different leaders aren't comparable.
        const auto& last = newest.at(order.fence);
        auto givenBefore
            = std::min(orderAppliedAt(machine), orderAppliedAt(last) - (orders.at(last).at - order.at));
        auto blockedTime
            = order.holder == m_options.holder ? m_options.orderTimeout : m_options.takeoverDelay;
        if (now < givenBefore + blockedTime)
            m_orderBlockedUntil[machine] = givenBefore + blockedTime;
        // The order may have arrived as late as a call may take.
        auto downTime = std::max(m_options.takeoverDelay,
            m_options.orderTimeout + m_options.upkeepDuration + m_options.firstReportMargin);
        if (now < givenBefore + downTime)
            m_maybeDownUntil[machine] = givenBefore + downTime;
    }
}

bool MachineMaster::isOrderBlocked(const std::string& machine) const
{
    auto found = m_orderBlockedUntil.find(machine);
    return found != m_orderBlockedUntil.end() && m_clock().steady < found->second;
}

bool MachineMaster::mayBeDown(const std::string& machine) const
{
    auto found = m_maybeDownUntil.find(machine);
    return found != m_maybeDownUntil.end() && m_clock().steady < found->second;
}

void MachineMaster::requestList()
{
    m_isListing = true;
    m_listRequestedAt = m_clock().steady;
    m_nextListAt = m_listRequestedAt + m_options.listInterval;
    m_provider.list(
        [this, request = ++m_listRequests, term = m_term](std::optional<std::vector<MachineInfo>> machines) {
            if (request == m_listRequests)
                m_isListing = false;
            // A call that was repeated may still be the first one to end.
            if (!machines || term != m_log.term() || request < m_newestList)
                return;
            m_newestList = request;
            onProviderAnswer();
            updateMachines(*machines);
        });
}

void MachineMaster::updateMachines(const std::vector<MachineInfo>& machines)
{
    std::map<std::string, Machine> known;
    // The first list of a term doesn't show when machines arrived in their pools. Most arrived long ago;
    // orders for machines that an earlier leader has just moved are blocked separately.
    auto firstSeen = m_machines.empty() ? m_clock().steady - m_options.minPoolStay : m_clock().steady;
    for (const auto& info : machines) {
        auto found = m_machines.find(info.machine);
        // The list may have been produced before a pending order was carried out.
        auto operation = m_operations.find(info.machine);
        bool isOrderPending = operation != m_operations.end() && operation->second.stage != Stage::Draining
            && found != m_machines.end();
        Machine machine;
        machine.info = isOrderPending ? found->second.info : info;
        bool isSamePool = found != m_machines.end() && found->second.info.pool == machine.info.pool;
        machine.inPoolSince = isSamePool ? found->second.inPoolSince : firstSeen;
        known[info.machine] = std::move(machine);
    }
    m_machines = std::move(known);
    m_listedAt = m_clock().steady;
    for (const auto& info : machines) {
        m_absentSince.erase(info.machine);
        m_kinds.insert({ info.capacity, info.labels });
    }
}

bool MachineMaster::couldEverFit(const JobSpec& job) const
{
    return m_kinds.empty() || celeryline::couldEverFit(m_kinds, job);
}

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
        machines.push_back(std::move(machine));
    }
    return machines;
}

void MachineMaster::plan()
{
    auto wanted = poolDemands();
    auto machines = poolMachines();
    logPoolBalance(wanted, machines);
    if (isProviderUnavailable()) {
        logProviderLost();
    } else {
        planWaves(wanted, machines);
        planMoves(wanted, machines);
    }
    updateReservedRunners();
}

void MachineMaster::onProviderAnswer()
{
    m_lastAnswerAt = m_clock().steady;
    if (!std::exchange(m_isProviderLost, false))
        return;
    Event("provider-found").writeAlways();
    m_pausedUntil.clear();
}

void MachineMaster::logProviderLost()
{
    if (!std::exchange(m_isProviderLost, true))
        Event("provider-lost").with("silentMs", m_clock().steady - m_lastAnswerAt).writeAlways();
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
    std::vector<PoolMachine> free;
    for (const auto& machine : machines) {
        if (m_operations.count(machine.machine) == 0)
            free.push_back(machine);
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
    for (const auto& move : planPoolMoves(demands, free, m_options.poolPlan))
        m_operations[move.machine] = { 0, move.pool, Stage::Draining, m_clock().steady };
}

bool MachineMaster::isPinned(const std::string& machine) const
{
    auto refused = m_refusedUntil.find(machine);
    bool isRefused = refused != m_refusedUntil.end() && m_clock().steady < refused->second;
    return isRefused || isPaused(machine) || isOrderBlocked(machine) || m_operations.count(machine) != 0;
}

void MachineMaster::updateReservedRunners()
{
    std::set<std::string> runners;
    for (const auto& [name, operation] : m_operations) {
        if (isPaused(name))
            continue;
        auto known = m_machines.find(name);
        if (known == m_machines.end())
            continue;
        for (auto& runner : runnersOn(name))
            runners.insert(std::move(runner));
    }
    m_jobs.setReserved(std::move(runners));
}

} // namespace celeryline
