// What is done to single machines: emptying, orders, their outcomes.
#include "celeryline/machines/MachineMaster.h"
#include "celeryline/settings/EventLog.h"

#include <algorithm>

namespace celeryline {
namespace {

/// A machine that can't be emptied in this time stays where it is.
constexpr Millis longestEmptying { 3000 };
/// A machine that is due for upkeep waits so long for the next end of a task that ends by itself.
constexpr Millis longestWaitForEnd { 6000 };
/// A machine that is due for upkeep and holds only long-running tasks waits so long until one may leave.
constexpr Millis longestWaitForRecall { 2000 };
/// A task that has waited for less may start with the next plan.
constexpr Millis shortestWait { 1000 };
/// Until an order without an answer is sent again.
constexpr Millis orderRetry { 700 };
/// A pool of other machines refuses it again, so it is asked rarely.
constexpr Millis refusalKept { 10000 };
/// What keeps a machine from being emptied mostly lasts; its room serves the tasks that wait meanwhile.
constexpr Millis pauseAfterEmptying { 5000 };
/// A machine that isn't up, or leaves, stays so for some seconds.
constexpr Millis pauseWhileBusy { 1000 };
/// Between two machines of a wave that are given up.
constexpr Millis pauseInterval { 500 };
/// Until the new runner has reported.
constexpr Millis arrivalMargin { 300 };

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

void MachineMaster::advanceTasks()
{
    std::vector<std::string> names;
    for (const auto& [name, task] : m_tasks)
        names.push_back(name);
    // Those first that have waited longest, so that each of them gives its room back in turn.
    std::stable_sort(names.begin(), names.end(), [this](const std::string& a, const std::string& b) {
        return m_tasks.at(a).since < m_tasks.at(b).since;
    });
    for (const auto& name : names) {
        auto found = m_tasks.find(name);
        if (found != m_tasks.end())
            advance(name, found->second);
    }
}

void MachineMaster::advance(const std::string& machine, Task& task)
{
    auto now = m_clock().steady;
    auto known = m_machines.find(machine);
    if (known == m_machines.end()) {
        if (noteAbsent(task.wave, machine))
            m_tasks.erase(machine);
        return;
    }
    auto runner = known->second.info.runner;
    if (task.stage == Stage::Emptying) {
        empty(machine, runner, task);
    } else if (task.stage == Stage::Ordered && isProviderAway()) {
        // The last order may still be carried out until the time of a call has passed.
        if (now >= task.since + m_options.orderTime)
            giveUp(machine, task);
    } else if (task.stage == Stage::Ordered && now >= task.since + orderRetry) {
        record(machine);
    } else if (task.stage == Stage::Away) {
        auto needed = task.wave != 0 ? m_options.upkeepTime : m_options.moveTime;
        if (now >= task.since + needed + arrivalMargin) {
            m_tasks.erase(machine);
            publishReserved();
        }
    }
}

void MachineMaster::empty(const std::string& machine, const std::string& runner, Task& task)
{
    if (isPaused(machine))
        return;
    if (isProviderAway()) {
        giveUp(machine, task);
        return;
    }
    auto use = m_jobs.useOf(runner);
    if (use.isEmpty) {
        if (!isQuiet(machine))
            record(machine);
    } else if (mustGiveUp(machine, task, use)) {
        giveUp(machine, task);
    } else {
        recallLasting(runner);
    }
}

bool MachineMaster::mustGiveUp(const std::string& machine, Task& task, const RunnerUse& use)
{
    auto now = m_clock().steady;
    // The tasks of an upkeep's machine end or leave one after the other.
    if (task.wave != 0 && use.runs != task.held) {
        task.held = use.runs;
        task.since = now;
    }
    if (task.wave == 0)
        return now >= task.since + longestEmptying;
    bool waitsForEnd = use.runs > use.longRunning.size();
    if (now < task.since + (waitsForEnd ? longestWaitForEnd : longestWaitForRecall))
        return false;
    if (!waitsForEnd && !isRoomWanted(machine, use))
        return false;
    // The room of one machine may be all that the tasks of the others lack.
    if (now < m_nextPause)
        return false;
    m_nextPause = now + pauseInterval;
    return true;
}

bool MachineMaster::isRoomWanted(const std::string& machine, const RunnerUse& use) const
{
    // The long-running tasks of a step leave in turn; that alone needs no room.
    bool lacksRoom = std::any_of(use.longRunning.begin(), use.longRunning.end(),
        [this](const RunName& run) { return m_jobs.lacksCapacityElsewhere(run); });
    const auto& pool = m_machines.at(machine).info.pool;
    const auto& waits = m_jobs.waits();
    return lacksRoom || std::any_of(waits.begin(), waits.end(), [&](const PoolWait& wait) {
        bool findsRoom = !wait.isGang && wait.runners.count(WaitReason::HasRoom) != 0;
        return wait.pool == pool && wait.waited >= shortestWait && !findsRoom;
    });
}

bool MachineMaster::isPaused(const std::string& machine) const
{
    auto paused = m_pausedUntil.find(machine);
    return paused != m_pausedUntil.end() && m_clock().steady < paused->second;
}

void MachineMaster::giveUp(const std::string& machine, Task& task)
{
    auto now = m_clock().steady;
    m_pausedUntil[machine] = now + pauseAfterEmptying;
    Event("machine-paused")
        .with("machine", machine)
        .with("wave", task.wave)
        .with("pool", task.pool)
        .with("wasOrdered", task.stage == Stage::Ordered)
        .writeAlways();
    release(machine, task);
}

bool MachineMaster::isBegun(const std::string& machine, const Task& task) const
{
    auto wave = m_store.waves().find(task.wave);
    return wave != m_store.waves().end() && wave->second.begun.count(machine) != 0;
}

void MachineMaster::release(const std::string& machine, Task& task)
{
    if (isBegun(machine, task)) {
        // It may be down for its upkeep, and counts as such until that is known.
        task.stage = Stage::Emptying;
        task.since = std::max(m_clock().steady, m_pausedUntil[machine]);
    } else {
        m_tasks.erase(machine);
    }
    publishReserved();
}

void MachineMaster::recallLasting(const std::string& runner)
{
    for (const auto& run : m_jobs.useOf(runner).longRunning)
        m_jobs.recall(run);
}

void MachineMaster::record(const std::string& machine)
{
    auto& task = m_tasks[machine];
    task.stage = Stage::Recording;
    task.since = m_clock().steady;
    JobCommand note = NoteMove { machine, task.pool, nextOrder() };
    if (task.wave != 0)
        note = NoteUpkeep { task.wave, machine, false, nextOrder() };
    m_log.propose({ note }, [this, machine](bool isCommitted) {
        auto found = m_tasks.find(machine);
        if (found == m_tasks.end())
            return;
        // The process may have been frozen; without its lease another instance may give orders. If it gets
        // the lease back, the machine is looked at anew.
        if (isCommitted && m_log.isLeading()) {
            order(machine, found->second);
        } else {
            found->second.stage = Stage::Emptying;
        }
    });
}

void MachineMaster::order(const std::string& machine, Task& task)
{
    task.stage = Stage::Ordered;
    task.since = m_clock().steady;
    auto done = [this, machine, term = m_term](MachineOutcome outcome) {
        if (term == m_log.term() && m_log.isLeading())
            finishOrder(machine, outcome);
    };
    if (task.wave != 0) {
        m_provider.beginUpkeep(machine, task.wave, lease(), done);
    } else {
        m_provider.move(machine, task.pool, lease(), done);
    }
}

void MachineMaster::finishOrder(const std::string& machine, MachineOutcome outcome)
{
    auto found = m_tasks.find(machine);
    if (found == m_tasks.end() || found->second.stage != Stage::Ordered)
        return;
    auto& task = found->second;
    auto known = m_machines.find(machine);
    Event("machine-ordered")
        .with("machine", machine)
        .with("wave", task.wave)
        .with("pool", task.pool)
        .with("fence", m_term)
        .with("outcome", outcomeName(outcome))
        .with("afterMs", m_clock().steady - task.since)
        .writeAlways();
    if (outcome == MachineOutcome::Throttled || outcome == MachineOutcome::Unknown)
        return; // It is sent again.
    noteAnswer();
    bool isOver = outcome == MachineOutcome::Done || outcome == MachineOutcome::Refused;
    if (task.wave != 0 && isOver)
        m_log.propose({ NoteUpkeep { task.wave, machine, true, {} } }, [](bool) {});
    if (outcome == MachineOutcome::Refused && task.wave == 0)
        m_refusedUntil[machine] = m_clock().steady + refusalKept;
    if (outcome == MachineOutcome::Busy)
        m_pausedUntil[machine] = m_clock().steady + pauseWhileBusy;
    if (outcome == MachineOutcome::Busy) {
        release(machine, task);
        return;
    }
    if (outcome != MachineOutcome::Done) {
        m_tasks.erase(found);
        publishReserved();
        return;
    }
    task.stage = Stage::Away;
    task.since = m_clock().steady;
    if (known == m_machines.end())
        return;
    m_jobs.endRunner(known->second.info.runner);
    known->second.info.runner.clear(); // The next list names the new one.
    known->second.info.state = task.wave != 0 ? MachineState::Upkeep : MachineState::Moving;
    if (task.wave == 0) {
        known->second.info.pool = task.pool;
        known->second.inPoolSince = task.since;
    }
}

} // namespace celeryline
