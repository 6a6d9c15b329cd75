// Room on the runners, plans, and answers that wait for a plan or a start.
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"
#include "celeryline/jobs/StartPlan.h"

#include <algorithm>
#include <utility>

namespace celeryline {
namespace {

/// A pool without another runner waits at most so long for those in quarantine; later ones last longer.
constexpr Millis longestExclusion { 2500 };

} // namespace

Resources JobMaster::reservedOn(const RunnerLife& life) const
{
    const auto* held = m_store.findHolding(life);
    return held == nullptr ? Resources {} : held->reserved;
}

bool JobMaster::isSilent(const RunnerState& state) const
{
    return m_clock().steady >= state.heardAt + m_options.silentAfter + m_lag;
}

WaitReason JobMaster::refusalOf(const std::string& runner, const RunnerState& state) const
{
    const auto& report = state.report;
    // What is ordered on a runner that is gone would wait for its lease to end.
    if (report.isDraining || state.hasLeft)
        return WaitReason::Leaving;
    if (isSilent(state))
        return WaitReason::Silent;
    if (m_reserved.count(runner) != 0)
        return WaitReason::Reserved;
    auto trust = m_trust.trust(report.life);
    if (trust == WorkerTrust::Quarantined)
        return WaitReason::Quarantine;
    const auto* held = m_store.findHolding(report.life);
    // A long-running task may stay for ever, so it doesn't count as the one task of a trial.
    bool isTried = trust == WorkerTrust::Probation && held != nullptr && held->runs.size() > held->lasting;
    return isTried ? WaitReason::Probation : WaitReason::HasRoom;
}

RunnerRoom JobMaster::roomOf(const RunnerState& state) const
{
    const auto& report = state.report;
    const auto* held = m_store.findHolding(report.life);
    RunnerRoom room;
    room.takesOneTask = m_trust.trust(report.life) == WorkerTrust::Probation;
    room.failuresInARow = m_trust.failuresInARow(report.life);
    room.rack = report.rack;
    room.life = report.life;
    room.service = report.service;
    room.labels = report.labels;
    room.free = report.capacity;
    if (held != nullptr) {
        room.free -= held->reserved;
        room.lasting = held->lasting;
    }
    return room;
}

void JobMaster::refreshRooms()
{
    auto refresh = [this](const std::string& runner, const RunnerState& state) {
        if (refusalOf(runner, state) == WaitReason::HasRoom) {
            m_rooms.set(roomOf(state));
        } else {
            m_rooms.remove(runner);
        }
    };
    if (m_mustRefreshRooms) {
        m_rooms.clear();
        for (const auto& [runner, state] : m_runners.runners())
            refresh(runner, state);
        tryQuarantinedPools();
    } else {
        for (const auto& runner : m_changedRunners) {
            auto found = m_runners.runners().find(runner);
            if (found != m_runners.runners().end()) {
                refresh(runner, found->second);
            } else {
                m_rooms.remove(runner);
            }
        }
    }
    m_mustRefreshRooms = false;
    m_changedRunners.clear();
}

void JobMaster::tryQuarantinedPools()
{
    std::vector<RunnerRoom> rooms;
    auto now = m_clock().steady;
    for (const auto& [runner, state] : m_runners.runners()) {
        const auto* held = m_store.findHolding(state.report.life);
        bool isTrying = held != nullptr && held->runs.size() > held->lasting;
        bool isOnlyChoice = m_rooms.pool(state.report.service).empty();
        bool isDue = now >= m_trust.since(state.report.life) + longestExclusion;
        if (isOnlyChoice && isDue && !isTrying && refusalOf(runner, state) == WaitReason::Quarantine)
            rooms.push_back(roomOf(state));
    }
    for (auto& room : rooms) {
        room.takesOneTask = true;
        m_rooms.set(std::move(room));
    }
}

AdviceCheck JobMaster::adviceCheck(Millis now) const
{
    return [this, now](const TaskName& step, const std::string& runner) {
        return m_advice.ticket(step, runner, now) != nullptr;
    };
}

void JobMaster::setReserved(std::set<std::string> runners)
{
    if (runners == m_reserved)
        return;
    m_reserved = std::move(runners);
    m_mustRefreshRooms = true;
    m_mustPlan = true;
}

void JobMaster::plan()
{
    m_mustPlan = true;
    if (m_isPlanning || !m_log.isLeading())
        return;
    m_mustPlan = false;
    refreshRooms();
    askForAdvice();
    auto now = m_clock();
    m_hints.now = now.steady;
    auto starts = planStarts(m_store, m_rooms, now.wall, m_hints, adviceCheck(now.steady));
    checkWaits(starts);
    if (starts.empty())
        return;
    m_isPlanning = true;
    for (const auto& start : starts)
        m_startingOn.insert(start.life.runner);
    m_log.propose({ starts.begin(), starts.end() }, [this, starts](bool isCommitted) {
        m_isPlanning = false;
        auto startedOn = std::exchange(m_startingOn, {});
        m_changedRunners.insert(startedOn.begin(), startedOn.end());
        for (const auto& start : starts) {
            describeRun("start", start.run)
                .with("runner", start.life.runner)
                .with("outcome", isCommitted ? "committed" : "unknown")
                .write(EventKind::Task);
        }
        answerWaiting();
        for (const auto& runner : startedOn)
            answerIdle(runner);
    });
}

void JobMaster::answerAfterPlan(const std::shared_ptr<PendingReport>& pending)
{
    if (m_isPlanning) {
        m_waiting.push_back(pending);
    } else {
        answerOrWait(pending);
    }
}

void JobMaster::answerWaiting()
{
    if (m_isPlanning)
        return;
    for (const auto& pending : std::exchange(m_waiting, {}))
        answerOrWait(pending);
}

bool JobMaster::isIdle(const PendingReport& pending) const
{
    const auto* state = m_runners.find(pending.life);
    return state != nullptr && state->report.sequence == pending.sequence && !state->report.isDraining
        && state->report.running.empty() && state->report.ended.empty()
        && m_store.findHolding(pending.life) == nullptr;
}

void JobMaster::answerOrWait(const std::shared_ptr<PendingReport>& pending)
{
    answerIdle(pending->life.runner); // Its runner has given up waiting for the earlier answer.
    if (m_options.longestWait == Millis {} || !m_log.isLeading() || !isIdle(*pending)) {
        answer(*pending);
        return;
    }
    // What comes from a late process arrives later than it is sent.
    pending->answerBy = m_clock().steady + std::max(Millis {}, m_options.longestWait - m_lag);
    m_idle[pending->life.runner] = pending;
    m_idleByTime.push_back(pending);
}

void JobMaster::answerIdle(const std::string& runner)
{
    auto found = m_idle.find(runner);
    if (found == m_idle.end())
        return;
    auto pending = found->second;
    m_idle.erase(found);
    answer(*pending);
}

void JobMaster::answerOverdueIdle()
{
    auto now = m_clock().steady;
    bool isLeading = m_log.isLeading();
    while (!m_idleByTime.empty()) {
        auto pending = m_idleByTime.front().lock();
        if (pending != nullptr && isLeading && now < pending->answerBy)
            return;
        m_idleByTime.pop_front();
        if (pending != nullptr)
            answerIdle(pending->life.runner);
    }
}

} // namespace celeryline
