#include "celeryline/machines/MachineMaster.h"

#include "celeryline/settings/EventLog.h"

#include <algorithm>
#include <utility>

namespace celeryline {
namespace {

constexpr Millis balanceLogInterval { 1000 };

/// A task that waits so long without room on any runner gets one more machine for its pool.
constexpr Millis longestWaitForRoom { 2000 };
/// From a move's end until tasks that wait have started on the machine and the next report of waits says so.
constexpr Millis arrivalTime { 3500 };

bool lacksRoom(const PoolWait& wait)
{
    // Room for one member of a gang may not be room for all.
    return wait.waited >= longestWaitForRoom && (wait.isGang || wait.runners.count(WaitReason::HasRoom) == 0);
}

/// Adds what the steps of one occurrence ask for.
void addSteps(
    const std::vector<StepSpec>& specs, const std::vector<StepState>& steps, bool isLate, PoolDemand& demand)
{
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const auto& spec = specs[i];
        const auto& step = steps[i];
        auto cores = reservedBy(spec).cpuMilli;
        auto count = static_cast<std::int64_t>(step.tasks.size());
        if (spec.isLongRunning) {
            demand.lasting += count * cores;
            auto perMachine = std::max<std::uint32_t>(1, spec.maxPerRunner);
            auto apart = (spec.count + perMachine - 1) / perMachine;
            if (spec.maxPerRunner != 0)
                demand.fewestMachines = std::max(demand.fewestMachines, apart);
            continue;
        }
        auto waiting = (count - step.done - step.active) * cores * spec.estimate.count / 1000;
        if (isLate) {
            demand.lateBacklog += waiting;
        } else {
            demand.inUse += step.active * cores;
            demand.backlog += waiting;
            demand.followingBacklog += isStepReady(specs, steps, i) ? 0 : waiting;
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
    m_answeredAt = m_clock().steady;
    m_wasAway = false;
    m_machines.clear();
    m_kinds.clear();
    m_tasks.clear();
    m_absentSince.clear();
    m_refusedUntil.clear();
    m_pausedUntil.clear();
    noteEarlierOrders();
    for (const auto& [number, wave] : m_store.waves()) {
        for (const auto& machine : wave.begun) {
            // The earlier leader may have ordered it; the same order again does no harm.
            if (wave.done.count(machine) == 0)
                m_tasks[machine] = { number, "", Stage::Emptying, m_clock().steady };
        }
    }
}

void MachineMaster::tick()
{
    if (!m_log.isLeading() || m_term != m_log.term())
        return;
    auto now = m_clock().steady;
    if (now >= m_nextList && !m_isListing)
        refreshList();
    if (now >= m_nextPlan) {
        m_nextPlan = now + m_options.planInterval;
        m_arrivals.update(m_store, now);
        if (!m_machines.empty())
            planAll();
    }
    advanceTasks();
}

void MachineMaster::noteCommitted(const JobCommand& command)
{
    auto now = m_clock().steady;
    if (const auto* move = std::get_if<NoteMove>(&command))
        m_appliedAt[move->machine] = now;
    const auto* upkeep = std::get_if<NoteUpkeep>(&command);
    if (upkeep != nullptr && !upkeep->isDone)
        m_appliedAt[upkeep->machine] = now;
}

void MachineMaster::noteSnapshot()
{
    m_snapshotAt = m_clock().steady;
    m_appliedAt.clear();
}

Millis MachineMaster::appliedAt(const std::string& machine) const
{
    auto found = m_appliedAt.find(machine);
    return found == m_appliedAt.end() ? m_snapshotAt : found->second;
}

void MachineMaster::noteEarlierOrders()
{
    m_quietUntil.clear();
    m_awayUntil.clear();
    auto now = m_clock().steady;
    const auto& orders = m_store.machineOrders();
    std::map<std::uint64_t, std::string> newest; // The machine with the newest order, by fence.
    for (const auto& [machine, order] : orders) {
        auto& best = newest.emplace(order.fence, machine).first->second;
        if (orders.at(best).at < order.at)
            best = machine;
    }
    for (const auto& [machine, order] : orders) {
        // A replica that has just restarted applied all orders a moment ago. How long they lie before the
        // newest one of the same leader is known by that leader's own clock.
        const auto& last = newest.at(order.fence);
        auto givenBefore = std::min(appliedAt(machine), appliedAt(last) - (orders.at(last).at - order.at));
        auto quietTime = order.holder == m_options.holder ? m_options.orderTime : m_options.quietTime;
        if (now < givenBefore + quietTime)
            m_quietUntil[machine] = givenBefore + quietTime;
        if (now < givenBefore + m_options.quietTime)
            m_awayUntil[machine] = givenBefore + m_options.quietTime;
    }
}

bool MachineMaster::isQuiet(const std::string& machine) const
{
    auto found = m_quietUntil.find(machine);
    return found != m_quietUntil.end() && m_clock().steady < found->second;
}

bool MachineMaster::mayBeAway(const std::string& machine) const
{
    auto found = m_awayUntil.find(machine);
    return found != m_awayUntil.end() && m_clock().steady < found->second;
}

void MachineMaster::refreshList()
{
    m_isListing = true;
    m_nextList = m_clock().steady + m_options.listInterval;
    m_provider.list([this, term = m_term](std::optional<std::vector<MachineInfo>> machines) {
        m_isListing = false;
        if (!machines || term != m_log.term())
            return;
        noteAnswer();
        takeList(*machines);
    });
}

void MachineMaster::takeList(const std::vector<MachineInfo>& machines)
{
    std::map<std::string, Machine> known;
    // The first list of a term doesn't tell since when a machine has been in its pool; most came long ago,
    // and those that an earlier leader has just moved are left alone for other reasons.
    auto firstSeen = m_machines.empty() ? m_clock().steady - m_options.freshTime : m_clock().steady;
    for (const auto& info : machines) {
        auto found = m_machines.find(info.machine);
        // After an order the list may be older than what was ordered.
        auto task = m_tasks.find(info.machine);
        bool isInWork
            = task != m_tasks.end() && task->second.stage != Stage::Emptying && found != m_machines.end();
        Machine machine;
        machine.info = isInWork ? found->second.info : info;
        bool isSamePool = found != m_machines.end() && found->second.info.pool == machine.info.pool;
        machine.inPoolSince = isSamePool ? found->second.inPoolSince : firstSeen;
        known[info.machine] = std::move(machine);
    }
    m_machines = std::move(known);
    for (const auto& info : machines) {
        m_absentSince.erase(info.machine);
        m_kinds.insert({ info.capacity, info.labels });
    }
}

bool MachineMaster::couldHold(const JobSpec& job) const
{
    return m_kinds.empty() || celeryline::couldHold(m_kinds, job);
}

std::vector<PoolDemand> MachineMaster::demands()
{
    std::map<std::string, PoolDemand> byPool;
    for (const auto& queue : m_store.configuration().queues) {
        auto& demand = byPool[queue.service];
        demand.pool = queue.service;
        demand.arrivals = m_arrivals.of(queue.service);
    }
    auto wallNow = m_clock().wall;
    for (const auto& id : m_store.openJobs()) {
        const auto& job = *m_store.findJob(id);
        const auto* queue = findQueue(m_store.configuration(), job.spec.queue);
        if (queue == nullptr || job.occurrences.empty())
            continue;
        auto& demand = byPool[queue->service];
        demand.fewestMachines = std::max<std::uint32_t>(1, demand.fewestMachines);
        auto lateness = latenessOf(job, wallNow);
        if (lateness == JobLateness::Expired)
            continue; // It gets what others leave, on a machine at least.
        for (const auto& [occurrence, steps] : job.occurrences)
            addSteps(job.spec.steps, steps, lateness == JobLateness::Late, demand);
    }
    for (const auto& wait : m_jobs.waits()) {
        auto found = byPool.find(wait.pool);
        if (found != byPool.end())
            found->second.needsMachine = lacksRoom(wait) && !isMachineComing(wait.pool);
    }
    std::vector<PoolDemand> demands;
    for (auto& [pool, demand] : byPool)
        demands.push_back(std::move(demand));
    return demands;
}

bool MachineMaster::isMachineComing(const std::string& pool) const
{
    bool isOnItsWay = std::any_of(m_tasks.begin(), m_tasks.end(),
        [&](const auto& entry) { return entry.second.wave == 0 && entry.second.pool == pool; });
    auto now = m_clock().steady;
    return isOnItsWay || std::any_of(m_machines.begin(), m_machines.end(), [&](const auto& entry) {
        const auto& known = entry.second;
        return known.info.pool == pool && now < known.inPoolSince + arrivalTime;
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
    // What runs on a machine is known by its runner only; standby machines have none.
    return info.state == MachineState::Up && (!info.runner.empty() || isStandbyPool(info.pool));
}

std::vector<PoolMachine> MachineMaster::poolMachines() const
{
    std::vector<PoolMachine> machines;
    auto now = m_clock().steady;
    for (const auto& [name, known] : m_machines) {
        if (!isAvailable(known.info))
            continue;
        auto use = m_jobs.useOf(known.info.runner);
        PoolMachine machine;
        machine.machine = name;
        machine.pool = known.info.pool;
        machine.cores = known.info.capacity.cpuMilli;
        machine.isStandby = isStandbyPool(known.info.pool);
        machine.isPinned = !use.longRunning.empty() || isPinned(name);
        machine.isFresh = !machine.isStandby && now < known.inPoolSince + m_options.freshTime;
        machine.inUse = use.reserved.cpuMilli;
        machines.push_back(std::move(machine));
    }
    return machines;
}

void MachineMaster::planAll()
{
    auto wanted = demands();
    auto machines = poolMachines();
    logBalance(wanted, machines);
    if (isProviderAway()) {
        noteAway();
    } else {
        planWaves(wanted, machines);
        planMoves(wanted, machines);
    }
    publishReserved();
}

void MachineMaster::noteAnswer()
{
    m_answeredAt = m_clock().steady;
    if (!std::exchange(m_wasAway, false))
        return;
    Event("provider-found").writeAlways();
    m_pausedUntil.clear();
}

void MachineMaster::noteAway()
{
    if (!std::exchange(m_wasAway, true))
        Event("provider-lost").with("silentMs", m_clock().steady - m_answeredAt).writeAlways();
}

void MachineMaster::logBalance(
    const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines)
{
    auto now = m_clock().steady;
    if (now < m_nextBalanceLog)
        return;
    m_nextBalanceLog = now + balanceLogInterval;
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
            .with("wantedMilliCores", wantedCores(demand, m_options.pools))
            .with("machines", all)
            .with("pinned", pinned)
            .with("inUseMilliCores", inUse)
            .with("backlogCoreMs", demand.backlog)
            .with("lateCoreMs", demand.lateBacklog)
            .with("arrivingMilliCores", demand.arrivals)
            .writeAlways();
    }
}

void MachineMaster::planMoves(
    const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines)
{
    std::vector<PoolMachine> free;
    for (const auto& machine : machines) {
        if (m_tasks.count(machine.machine) == 0)
            free.push_back(machine);
    }
    // Machines on their way already count for the pool that they go to; those that have their upkeep don't
    // count, so that their pool gets room for what they held.
    for (const auto& [name, task] : m_tasks) {
        auto known = m_machines.find(name);
        if (known == m_machines.end() || task.wave != 0)
            continue;
        auto cores = known->second.info.capacity.cpuMilli;
        free.push_back({ name, task.pool, cores, isStandbyPool(task.pool), true, true, 0 });
    }
    for (const auto& move : planPoolMoves(demands, free, m_options.pools))
        m_tasks[move.machine] = { 0, move.pool, Stage::Emptying, m_clock().steady };
}

bool MachineMaster::isPinned(const std::string& machine) const
{
    auto refused = m_refusedUntil.find(machine);
    bool isRefused = refused != m_refusedUntil.end() && m_clock().steady < refused->second;
    return isRefused || isPaused(machine) || isQuiet(machine) || m_tasks.count(machine) != 0;
}

void MachineMaster::publishReserved()
{
    std::set<std::string> runners;
    for (const auto& [name, task] : m_tasks) {
        if (isPaused(name))
            continue;
        auto known = m_machines.find(name);
        if (known != m_machines.end() && !known->second.info.runner.empty())
            runners.insert(known->second.info.runner);
    }
    m_jobs.setReserved(std::move(runners));
}

} // namespace celeryline
