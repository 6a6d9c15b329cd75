// JobMaster: assessment of runners, and replacement of stalled and slow runs.
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"

#include <algorithm>

namespace celeryline {
namespace {

const char* causeName(OverdueCause cause)
{
    return cause == OverdueCause::Stalled ? "stands still" : "slow runner";
}

} // namespace

void JobMaster::recordOutcomes(const std::vector<JobCommand>& commands, const RunnerIncarnation& incarnation)
{
    const auto* state = m_runners.find(incarnation);
    for (const auto& command : commands) {
        const auto* end = std::get_if<EndRun>(&command);
        if (end == nullptr)
            continue;
        if (end->outcome == RunOutcome::Refused)
            m_adviceCache.refuseTicket(end->run.task, incarnation.runner, m_clock().steady);
        const auto* step = m_store.findStep(end->run.task);
        // Failures of long-running tasks say nothing about the runner; they may happen at any time.
        if (step != nullptr && step->isLongRunning)
            continue;
        if (end->outcome == RunOutcome::Done && state != nullptr)
            m_trust.recordResult(incarnation, state->report.service, end->run.task, false, m_clock().steady);
        if (end->outcome == RunOutcome::Failed)
            recordFailure(end->run, incarnation);
    }
}

void JobMaster::recordFailure(const RunName& run, const RunnerIncarnation& incarnation)
{
    const auto* state = m_runners.find(incarnation);
    if (state == nullptr)
        return;
    m_trust.recordResult(incarnation, state->report.service, run.task, true, m_clock().steady);
    m_changedRunners.insert(incarnation.runner);
}

void JobMaster::avoidFailedRunner(const EndRun& end)
{
    const auto* task = m_store.findTask(end.run.task);
    const auto* step = m_store.findStep(end.run.task);
    if (task == nullptr || step == nullptr || step->isLongRunning)
        return;
    for (const auto& run : task->runs) {
        if (run.number == end.run.run)
            m_hints.failedOn[end.run.task][run.incarnation.runner] = m_clock().steady;
    }
}

std::vector<ObservedRun> JobMaster::observedRuns() const
{
    std::vector<ObservedRun> runs;
    for (const auto& [id, state] : m_runners.runners()) {
        for (const auto& [run, progress] : state.progress) {
            const auto* step = m_store.findStep(run.task);
            if (step == nullptr || !mustRun(run, state.report.incarnation))
                continue;
            // Best-effort tasks may be throttled to a standstill. Long-running tasks don't report progress,
            // and a stop shortly before one begins to serve would make it unavailable to its clients.
            if (step->isBestEffort || step->isLongRunning)
                continue;
            runs.push_back({ run, state.report.incarnation, state.report.service, step->estimate, progress });
        }
    }
    return runs;
}

void JobMaster::replaceOverdueRuns()
{
    for (const auto& overdue : findOverdueRuns(observedRuns(), m_options.overdue)) {
        if (m_overdue.count(overdue.run) != 0 || m_replaced.count(overdue.run) != 0)
            continue;
        if (!replaceOverdueRun(overdue))
            continue;
        m_overdue.insert(overdue.run);
        recordFailure(overdue.run, overdue.incarnation);
        m_hints.failedOn[overdue.run.task][overdue.incarnation.runner] = m_clock().steady;
        describeRun("run-overdue", overdue.run)
            .with("runner", overdue.incarnation.runner)
            .with("cause", causeName(overdue.cause))
            .writeAlways();
    }
}

bool JobMaster::replaceOverdueRun(const OverdueRun& overdue)
{
    const auto& task = overdue.run.task;
    const auto& job = *m_store.findJob(task.job);
    const auto& spec = *m_store.findStep(task);
    const auto* queue = findQueue(m_store.configuration(), job.spec.queue);
    if (queue == nullptr)
        return false;
    // A second run needs its own ticket, and advice is requested only for steps with waiting tasks.
    if (spec.isSpeculative && !queue->needsAdvice) {
        m_hints.speculativeTasks.insert(task);
        // A task has two runs at most. One that stands still would keep the place of the next one for good.
        if (overdue.cause == OverdueCause::Stalled && m_store.findTask(task)->runs.size() > 1)
            m_replaced.insert(overdue.run);
        return true;
    }
    const auto& step = job.occurrences.at(task.occurrence)[task.step];
    // A slow run still completes, so it is stopped only if another runner has capacity.
    if (overdue.cause == OverdueCause::SlowRunner && !canPlace(m_candidates, spec, step, queue->service))
        return false;
    m_replaced.insert(overdue.run);
    return true;
}

void JobMaster::pruneStaleState()
{
    auto dropEnded = [this](std::set<RunName>& runs) {
        for (auto it = runs.begin(); it != runs.end();)
            it = m_store.isActive(*it) ? std::next(it) : runs.erase(it);
    };
    dropEnded(m_replaced);
    dropEnded(m_overdue);
    m_admission.durations().prune(m_store.configuration());
    auto isOver = [this](const TaskName& name) {
        const auto* task = m_store.findTask(name);
        return task == nullptr || task->isDone;
    };
    m_adviceCache.removeEnded([this](const TaskName& name) {
        const auto* job = m_store.findJob(name.job);
        return job == nullptr || job->phase != JobPhase::Open || job->occurrences.count(name.occurrence) == 0;
    });
    for (auto it = m_hints.speculativeTasks.begin(); it != m_hints.speculativeTasks.end();)
        it = isOver(*it) ? m_hints.speculativeTasks.erase(it) : std::next(it);
    for (auto it = m_hints.failedOn.begin(); it != m_hints.failedOn.end();)
        it = isOver(it->first) ? m_hints.failedOn.erase(it) : std::next(it);
}

} // namespace celeryline
