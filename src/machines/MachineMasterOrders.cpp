// Operations on single machines: draining, orders and their outcomes.
#include "celeryline/machines/MachineMaster.h"
#include "celeryline/settings/EventLog.h"

#include <algorithm>
#include <utility>

namespace celeryline {
namespace {

/// The move of a machine that can't be drained in this time is cancelled.
constexpr Millis maxMoveDrainTime { 3000 };
/// Limit on the time between two task ends on a machine that is drained for upkeep.
constexpr Millis maxWaitForTaskEnd { 6000 };
/// The same limit for a machine with long-running tasks only, each of which must be recalled.
constexpr Millis maxWaitForRecall { 2000 };
/// Tasks that have waited for less are ignored, because the next plan may start them.
constexpr Millis minTaskWait { 1000 };
/// Time after which an order without an answer is sent again.
constexpr Millis orderRetryInterval { 700 };
/// Time until a refused move is tried again. A pool of machines of another type refuses it every time.
constexpr Millis refusalBackoff { 10000 };
/// Time for which a machine accepts tasks after a failed drain. The cause usually persists, and waiting tasks
/// can use its capacity meanwhile.
constexpr Millis pauseAfterFailedDrain { 5000 };
/// Time until a busy machine is ordered again; machines are down or leaving for several seconds.
constexpr Millis busyBackoff { 1000 };
/// Minimum time between pausing two machines in waves.
constexpr Millis minPauseInterval { 500 };

const char* outcomeName(MachineOutcome outcome)
{
    switch (outcome) {
    case MachineOutcome::Done:
        return "done";
    case MachineOutcome::Busy:
        return "busy";
    case MachineOutcome::Refused:
        return "refused";
    case MachineOutcome::Throttled:
        return "throttled";
    case MachineOutcome::Unknown:
        return "unknown";
    }
    return "";
}

} // namespace

void MachineMaster::advanceOperations()
{
    std::vector<std::string> names;
    for (const auto& [name, operation] : m_operations)
        names.push_back(name);
    // Oldest stage first, so that each machine gets its turn to release its capacity.
    std::stable_sort(names.begin(), names.end(), [this](const std::string& a, const std::string& b) {
        return m_operations.at(a).since < m_operations.at(b).since;
    });
    for (const auto& name : names) {
        auto found = m_operations.find(name);
        if (found != m_operations.end())
            advanceOperation(name, found->second);
    }
    recallLongRunning();
}

void MachineMaster::advanceOperation(const std::string& machine, Operation& operation)
{
    auto now = m_clock().steady;
    auto known = m_machines.find(machine);
    if (known == m_machines.end()) {
        if (checkAbsence(operation.wave, machine))
            m_operations.erase(machine);
        return;
    }
    if (operation.stage == Stage::Draining) {
        drain(machine, operation);
    } else if (operation.stage == Stage::Ordered && isProviderUnavailable()) {
        // The provider may still carry out the last order until the call has timed out.
        if (now >= operation.since + m_options.orderTimeout)
            pause(machine, operation);
    } else if (operation.stage == Stage::Ordered && now >= operation.since + orderRetryInterval) {
        proposeOrder(machine);
    } else if (operation.stage == Stage::Down) {
        auto needed = operation.wave != 0 ? m_options.upkeepDuration : m_options.moveDuration;
        if (now >= operation.since + needed + m_options.firstReportMargin) {
            m_operations.erase(machine);
            updateReservedRunners();
        }
    }
}

std::vector<std::string> MachineMaster::runnersOn(const std::string& machine) const
{
    std::vector<std::string> runners;
    const auto& listed = m_machines.at(machine).info.runner;
    if (!listed.empty())
        runners.push_back(listed);
    const auto* reporting = m_jobs.runners().findOnMachine(machine);
    if (reporting != nullptr && reporting->report.incarnation.runner != listed)
        runners.push_back(reporting->report.incarnation.runner);
    return runners;
}

RunnerUse MachineMaster::useOf(const std::string& machine) const
{
    RunnerUse use;
    for (const auto& runner : runnersOn(machine))
        use += m_jobs.useOf(runner);
    return use;
}

void MachineMaster::drain(const std::string& machine, Operation& operation)
{
    if (isPaused(machine))
        return;
    if (isProviderUnavailable()) {
        pause(machine, operation);
        return;
    }
    auto use = useOf(machine);
    if (use.isEmpty) {
        if (!isOrderBlocked(machine))
            proposeOrder(machine);
    } else if (shouldPause(machine, operation, use)) {
        pause(machine, operation);
    } else {
        m_drained.push_back(std::move(use));
    }
}

bool MachineMaster::shouldPause(const std::string& machine, Operation& operation, const RunnerUse& use)
{
    auto now = m_clock().steady;
    // Tasks leave a machine that is drained for upkeep one at a time, so each end restarts the time limit.
    if (operation.wave != 0 && use.runs != operation.runCount) {
        operation.runCount = use.runs;
        operation.since = now;
    }
    if (operation.wave == 0)
        return now >= operation.since + maxMoveDrainTime;
    bool waitsForEnd = use.runs > use.longRunning.size();
    if (now < operation.since + (waitsForEnd ? maxWaitForTaskEnd : maxWaitForRecall))
        return false;
    // Near the deadline a pause makes the machine late: it takes new tasks, which must end in turn.
    bool mayWaitLonger = !waitsForEnd || isPauseTooLong(operation.wave);
    if (mayWaitLonger && !isCapacityNeeded(machine, use))
        return false;
    // The capacity that one machine releases may suffice for the tasks of the others.
    if (now < m_nextPauseAt)
        return false;
    m_nextPauseAt = now + minPauseInterval;
    return true;
}

bool MachineMaster::isPauseTooLong(std::uint64_t wave) const
{
    auto found = m_store.waves().find(wave);
    if (found == m_store.waves().end())
        return false;
    auto deadline = found->second.order.startedAt + found->second.order.deadline;
    auto needed = pauseAfterFailedDrain + maxWaitForTaskEnd + m_options.upkeepDuration;
    auto now = m_clock().wall;
    return now <= deadline && now + needed > deadline;
}

bool MachineMaster::isCapacityNeeded(const std::string& machine, const RunnerUse& use) const
{
    // Long-running tasks of one step are recalled one at a time; that wait is no lack of capacity.
    bool lacksCapacity = std::any_of(use.longRunning.begin(), use.longRunning.end(),
        [this](const RunName& run) { return m_jobs.lacksCapacityElsewhere(run); });
    const auto& pool = m_machines.at(machine).info.pool;
    const auto& waits = m_jobs.waits();
    return lacksCapacity || std::any_of(waits.begin(), waits.end(), [&](const PoolWait& wait) {
        bool canStart = !wait.isGang && wait.runners.count(WaitReason::HasRoom) != 0;
        return wait.pool == pool && wait.waited >= minTaskWait && !canStart;
    });
}

bool MachineMaster::isPaused(const std::string& machine) const
{
    auto paused = m_pausedUntil.find(machine);
    return paused != m_pausedUntil.end() && m_clock().steady < paused->second;
}

void MachineMaster::pause(const std::string& machine, Operation& operation)
{
    auto now = m_clock().steady;
    m_pausedUntil[machine] = now + pauseAfterFailedDrain;
    Event("machine-paused")
        .with("machine", machine)
        .with("wave", operation.wave)
        .with("pool", operation.pool)
        .with("wasOrdered", operation.stage == Stage::Ordered)
        .writeAlways();
    endOrRestart(machine, operation);
}

bool MachineMaster::hasUpkeepBegun(const std::string& machine, const Operation& operation) const
{
    auto wave = m_store.waves().find(operation.wave);
    return wave != m_store.waves().end() && wave->second.begun.count(machine) != 0;
}

void MachineMaster::endOrRestart(const std::string& machine, Operation& operation)
{
    if (hasUpkeepBegun(machine, operation)) {
        // The upkeep may already have started, so the machine counts as down until its state is known.
        operation.stage = Stage::Draining;
        operation.since = std::max(m_clock().steady, m_pausedUntil[machine]);
    } else {
        m_operations.erase(machine);
    }
    updateReservedRunners();
}

void MachineMaster::recallLongRunning()
{
    auto drained = std::exchange(m_drained, {});
    std::stable_sort(drained.begin(), drained.end(),
        [](const RunnerUse& a, const RunnerUse& b) { return a.runs < b.runs; });
    for (const auto& use : drained) {
        for (const auto& run : use.longRunning)
            m_jobs.recall(run);
    }
}

void MachineMaster::proposeOrder(const std::string& machine)
{
    auto& operation = m_operations[machine];
    operation.stage = Stage::Committing;
    operation.since = m_clock().steady;
    JobCommand note = NoteMove { machine, operation.pool, nextOrder() };
    if (operation.wave != 0)
        note = NoteUpkeep { operation.wave, machine, false, nextOrder() };
    m_log.propose({ note }, [this, machine](bool isCommitted) {
        auto found = m_operations.find(machine);
        if (found == m_operations.end())
            return;
        // The process may have been frozen and its lease lapsed; another instance may give orders then. If
        // this instance regains the lease, the operation starts again with draining.
        if (isCommitted && m_log.isLeading()) {
            sendOrder(machine, found->second);
        } else {
            found->second.stage = Stage::Draining;
        }
    });
}

void MachineMaster::sendOrder(const std::string& machine, Operation& operation)
{
    operation.stage = Stage::Ordered;
    operation.since = m_clock().steady;
    auto done = [this, machine, term = m_term](MachineOutcome outcome) {
        if (term == m_log.term() && m_log.isLeading())
            handleOutcome(machine, outcome);
    };
    if (operation.wave != 0) {
        m_provider.beginUpkeep(machine, operation.wave, lease(), done);
    } else {
        m_provider.move(machine, operation.pool, lease(), done);
    }
}

void MachineMaster::handleOutcome(const std::string& machine, MachineOutcome outcome)
{
    auto found = m_operations.find(machine);
    if (found == m_operations.end() || found->second.stage != Stage::Ordered)
        return;
    auto& operation = found->second;
    auto known = m_machines.find(machine);
    Event("machine-ordered")
        .with("machine", machine)
        .with("wave", operation.wave)
        .with("pool", operation.pool)
        .with("fence", m_term)
        .with("outcome", outcomeName(outcome))
        .with("afterMs", m_clock().steady - operation.since)
        .writeAlways();
    if (outcome == MachineOutcome::Throttled || outcome == MachineOutcome::Unknown)
        return; // The order is sent again after orderRetryInterval.
    onProviderAnswer();
    bool isOver = outcome == MachineOutcome::Done || outcome == MachineOutcome::Refused;
    if (operation.wave != 0 && isOver)
        m_log.propose({ NoteUpkeep { operation.wave, machine, true, {} } }, [](bool) {});
    bool isRefusedMove = outcome == MachineOutcome::Refused && operation.wave == 0;
    if (isRefusedMove && isStandbyPool(operation.pool)) {
        // The machine stays available to other pools.
        if (known != m_machines.end())
            m_kindsRefusedStandby.insert({ known->second.info.capacity, known->second.info.labels });
    } else if (isRefusedMove) {
        m_refusedUntil[machine] = m_clock().steady + refusalBackoff;
    }
    if (outcome == MachineOutcome::Busy)
        m_pausedUntil[machine] = m_clock().steady + busyBackoff;
    if (outcome == MachineOutcome::Busy) {
        endOrRestart(machine, operation);
        return;
    }
    if (outcome != MachineOutcome::Done) {
        m_operations.erase(found);
        updateReservedRunners();
        return;
    }
    operation.stage = Stage::Down;
    operation.since = m_clock().steady;
    if (known == m_machines.end())
        return;
    m_jobs.noteMachineDown(known->second.info.runner);
    known->second.info.runner.clear(); // The next list has the new one.
    known->second.info.state = operation.wave != 0 ? MachineState::Upkeep : MachineState::Moving;
    if (operation.wave == 0) {
        known->second.info.pool = operation.pool;
        known->second.inPoolSince = operation.since;
    }
}

} // namespace celeryline
