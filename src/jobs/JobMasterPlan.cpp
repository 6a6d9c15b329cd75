// JobMaster: placement candidates, plans and delayed answers.
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"
#include "celeryline/jobs/StartPlan.h"

#include <algorithm>
#include <utility>

namespace celeryline {
namespace {

/// Limit on how long a pool whose only runners are quarantined gets no tasks; repeated quarantines last
/// longer than this.
constexpr Millis maxPoolExclusion { 2500 };

} // namespace

Resources JobMaster::reservedOn(const RunnerIncarnation& incarnation) const
{
    const auto* allocation = m_store.findAllocation(incarnation);
    return allocation == nullptr ? Resources {} : allocation->reserved;
}

bool JobMaster::isSilent(const RunnerState& state) const
{
    return m_clock().steady >= state.lastReportAt + m_options.silenceTimeout + m_lag;
}

WaitReason JobMaster::refusalOf(const std::string& runner, const RunnerState& state) const
{
    const auto& report = state.report;
    // Runs ordered on a runner that is gone would be stuck until its lease expires.
    if (report.isDraining || state.hasLeft)
        return WaitReason::Leaving;
    if (isSilent(state))
        return WaitReason::Silent;
    if (m_reserved.count(runner) != 0)
        return WaitReason::Reserved;
    auto trust = m_trust.trust(report.incarnation);
    if (trust == WorkerTrust::Quarantined)
        return WaitReason::Quarantine;
    const auto* allocation = m_store.findAllocation(report.incarnation);
    // Long-running tasks may never end, so they don't count as the one task of a probation.
    bool isBeingProbed = trust == WorkerTrust::Probation && allocation != nullptr
        && allocation->runs.size() > allocation->longRunning;
    return isBeingProbed ? WaitReason::Probation : WaitReason::HasRoom;
}

PlacementCandidate JobMaster::candidateOf(const RunnerState& state) const
{
    const auto& report = state.report;
    const auto* allocation = m_store.findAllocation(report.incarnation);
    PlacementCandidate candidate;
    candidate.takesOneTask = m_trust.trust(report.incarnation) == WorkerTrust::Probation;
    candidate.failuresInARow = m_trust.failuresInARow(report.incarnation);
    candidate.rack = report.rack;
    candidate.dataCentre = report.dataCentre;
    candidate.incarnation = report.incarnation;
    candidate.service = report.service;
    candidate.labels = report.labels;
    candidate.free = report.capacity;
    if (allocation != nullptr) {
        candidate.free -= allocation->reserved;
        candidate.longRunning = allocation->longRunning;
    }
    return candidate;
}

void JobMaster::refreshCandidates()
{
    auto refresh = [this](const std::string& runner, const RunnerState& state) {
        if (refusalOf(runner, state) == WaitReason::HasRoom) {
            m_candidates.set(candidateOf(state));
        } else {
            m_candidates.remove(runner);
        }
    };
    if (m_mustRefreshCandidates) {
        m_candidates.clear();
        for (const auto& [runner, state] : m_runners.runners())
            refresh(runner, state);
        probeQuarantinedPools();
    } else {
        for (const auto& runner : m_changedRunners) {
            auto found = m_runners.runners().find(runner);
            if (found != m_runners.runners().end()) {
                refresh(runner, found->second);
            } else {
                m_candidates.remove(runner);
            }
        }
    }
    m_mustRefreshCandidates = false;
    m_changedRunners.clear();
}

void JobMaster::probeQuarantinedPools()
{
    std::vector<PlacementCandidate> candidates;
    auto now = m_clock().steady;
    for (const auto& [runner, state] : m_runners.runners()) {
        const auto* allocation = m_store.findAllocation(state.report.incarnation);
        bool isProbing = allocation != nullptr && allocation->runs.size() > allocation->longRunning;
        bool isOnlyChoice = m_candidates.pool(state.report.service).empty();
        bool isDue = now >= m_trust.since(state.report.incarnation) + maxPoolExclusion;
        if (isOnlyChoice && isDue && !isProbing && refusalOf(runner, state) == WaitReason::Quarantine)
            candidates.push_back(candidateOf(state));
    }
    for (auto& candidate : candidates) {
        candidate.takesOneTask = true;
        m_candidates.set(std::move(candidate));
    }
}

AdviceCheck JobMaster::adviceCheck(Millis now) const
{
    AdviceCheck check;
    check.hasTicket = [this, now](const TaskName& step) { return m_adviceCache.hasTicket(step, now); };
    check.isAdvised = [this, now](const TaskName& step, const std::string& runner) {
        return m_adviceCache.ticket(step, runner, now) != nullptr;
    };
    return check;
}

void JobMaster::setReserved(std::set<std::string> runners)
{
    if (runners == m_reserved)
        return;
    m_reserved = std::move(runners);
    m_mustRefreshCandidates = true;
    m_mustPlan = true;
}

void JobMaster::plan()
{
    m_mustPlan = true;
    if (m_isPlanning || !m_log.isLeading())
        return;
    m_mustPlan = false;
    refreshCandidates();
    askForAdvice();
    auto now = m_clock();
    m_hints.now = now.steady;
    auto starts = planStarts(m_store, m_candidates, now.wall, m_hints, adviceCheck(now.steady));
    checkWaits(starts);
    if (starts.empty())
        return;
    m_isPlanning = true;
    for (const auto& start : starts)
        m_startingOn.insert(start.incarnation.runner);
    m_log.propose({ starts.begin(), starts.end() }, [this, starts](bool isCommitted) {
        m_isPlanning = false;
        auto startedOn = std::exchange(m_startingOn, {});
        m_changedRunners.insert(startedOn.begin(), startedOn.end());
        for (const auto& start : starts) {
            describeRun("start", start.run)
                .with("runner", start.incarnation.runner)
                .with("outcome", isCommitted ? "committed" : "unknown")
                .write(EventKind::Task);
        }
        answerAwaitingPlan();
        for (const auto& runner : startedOn)
            answerDelayed(runner);
    });
}

void JobMaster::answerAfterPlan(const std::shared_ptr<PendingReport>& pending)
{
    if (m_isPlanning) {
        m_awaitingPlan.push_back(pending);
    } else {
        answerOrDelay(pending);
    }
}

void JobMaster::answerAwaitingPlan()
{
    if (m_isPlanning)
        return;
    for (const auto& pending : std::exchange(m_awaitingPlan, {}))
        answerOrDelay(pending);
}

bool JobMaster::isIdle(const PendingReport& pending) const
{
    const auto* state = m_runners.find(pending.incarnation);
    return state != nullptr && state->report.sequence == pending.sequence && !state->report.isDraining
        && state->report.running.empty() && state->report.ended.empty()
        && m_store.findAllocation(pending.incarnation) == nullptr;
}

void JobMaster::answerOrDelay(const std::shared_ptr<PendingReport>& pending)
{
    answerDelayed(pending->incarnation.runner); // The runner no longer waits for the earlier answer.
    if (m_options.maxAnswerDelay == Millis {} || !m_log.isLeading() || !isIdle(*pending)) {
        answer(*pending);
        return;
    }
    // The lag delays the answer further.
    pending->answerDeadline = m_clock().steady + std::max(Millis {}, m_options.maxAnswerDelay - m_lag);
    m_delayedAnswers[pending->incarnation.runner] = pending;
    m_delayedByDeadline.push_back(pending);
}

void JobMaster::answerDelayed(const std::string& runner)
{
    auto found = m_delayedAnswers.find(runner);
    if (found == m_delayedAnswers.end())
        return;
    auto pending = found->second;
    m_delayedAnswers.erase(found);
    answer(*pending);
}

void JobMaster::answerExpired()
{
    auto now = m_clock().steady;
    bool isLeading = m_log.isLeading();
    while (!m_delayedByDeadline.empty()) {
        auto pending = m_delayedByDeadline.front().lock();
        if (pending != nullptr && isLeading && now < pending->answerDeadline)
            return;
        m_delayedByDeadline.pop_front();
        if (pending != nullptr)
            answerDelayed(pending->incarnation.runner);
    }
}

} // namespace celeryline
