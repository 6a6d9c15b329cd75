#include "celeryline/machines/MachineMaster.h"

#include "celeryline/settings/EventLog.h"

#include <algorithm>
#include <utility>

namespace celeryline {

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
    m_termStartedAt = m_clock().steady;
    m_machineLostAt.reset();
    m_returnedAt.reset();
    m_silentMachines.clear();
    m_kindsRefusedStandby.clear();
    m_standbyPlan = {};
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
    if (!m_log.isLeading() || m_term != m_log.term()) {
        followDemand();
        return;
    }
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
    noteLostMachines(known);
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

void MachineMaster::plan()
{
    auto wanted = poolDemands();
    auto machines = poolMachines();
    logPoolBalance(wanted, machines);
    observeDemand(wanted);
    if (isProviderUnavailable()) {
        logProviderLost();
    } else {
        planWaves(wanted, machines);
        planMoves(wanted, machines);
    }
    planStandby(wanted, machines);
    forecastCapacity(wanted, machines);
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
