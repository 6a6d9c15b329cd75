// Runners that fail tasks, runs that hardly go on, and what replaces them.
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"

#include <algorithm>

namespace celeryline {
namespace {

const char* causeName(OverdueCause cause)
{
    return cause == OverdueCause::StandsStill ? "stands still" : "slow runner";
}

bool isHeld(const JobStore& store, const RunName& run)
{
    const auto* task = store.findTask(run.task);
    return task != nullptr && std::any_of(task->runs.begin(), task->runs.end(), [&](const TaskRun& known) {
        return known.number == run.run;
    });
}

} // namespace

void JobMaster::noteEnds(const std::vector<JobCommand>& commands, const RunnerLife& life)
{
    const auto* state = m_runners.find(life);
    for (const auto& command : commands) {
        const auto* end = std::get_if<EndRun>(&command);
        if (end == nullptr)
            continue;
        const auto* step = m_store.findStep(end->run.task);
        // A long-running task may fail at any time; that says nothing about its runner.
        if (step != nullptr && step->isLongRunning)
            continue;
        if (end->how == RunEnd::Done && state != nullptr)
            m_trust.note(life, state->report.service, end->run.task, false, m_clock().steady);
        if (end->how == RunEnd::Failed)
            noteFailure(end->run, life);
    }
}

void JobMaster::noteFailure(const RunName& run, const RunnerLife& life)
{
    const auto* state = m_runners.find(life);
    if (state == nullptr)
        return;
    m_trust.note(life, state->report.service, run.task, true, m_clock().steady);
    m_changedRunners.insert(life.runner);
    const auto* step = m_store.findStep(run.task);
    if (step != nullptr && !step->isLongRunning)
        m_hints.failedOn[run.task][life.runner] = m_clock().steady;
}

std::vector<ObservedRun> JobMaster::observedRuns() const
{
    std::vector<ObservedRun> runs;
    for (const auto& [id, state] : m_runners.runners()) {
        for (const auto& [run, progress] : state.progress) {
            const auto* step = m_store.findStep(run.task);
            if (step == nullptr || !mustRun(run, state.report.life))
                continue;
            // A task that fills may be paced down to nothing. A long-running one shows no progress, and a
            // stop that comes as it begins to work would take it away from its users.
            if (step->fills || step->isLongRunning)
                continue;
            runs.push_back({ run, state.report.life, state.report.service, step->estimate, progress });
        }
    }
    return runs;
}

void JobMaster::replaceOverdueRuns()
{
    for (const auto& overdue : findOverdueRuns(observedRuns(), m_options.overdue)) {
        if (m_overdue.count(overdue.run) != 0 || m_recalled.count(overdue.run) != 0)
            continue;
        if (!replaceOverdueRun(overdue))
            continue;
        m_overdue.insert(overdue.run);
        noteFailure(overdue.run, overdue.life);
        describeRun("run-overdue", overdue.run)
            .with("runner", overdue.life.runner)
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
    // A copy needs a ticket of its own, which nobody asks for while the step has no task that waits.
    if (spec.isSpeculative && !queue->needsAdvice) {
        m_hints.copies.insert(task);
        return true;
    }
    const auto& step = job.occurrences.at(task.occurrence)[task.step];
    // A slow run still comes to its end, so it is given up only for a runner that is free.
    if (overdue.cause == OverdueCause::SlowRunner && !hasRoomFor(m_rooms, spec, step, queue->service))
        return false;
    m_recalled.insert(overdue.run);
    return true;
}

void JobMaster::dropOldNotes()
{
    auto dropEnded = [this](std::set<RunName>& runs) {
        for (auto it = runs.begin(); it != runs.end();)
            it = isHeld(m_store, *it) ? std::next(it) : runs.erase(it);
    };
    dropEnded(m_recalled);
    dropEnded(m_overdue);
    auto isOver = [this](const TaskName& name) {
        const auto* task = m_store.findTask(name);
        return task == nullptr || task->isDone;
    };
    m_advice.forgetEnded([this](const TaskName& name) {
        const auto* job = m_store.findJob(name.job);
        return job == nullptr || job->occurrences.count(name.occurrence) == 0;
    });
    for (auto it = m_hints.copies.begin(); it != m_hints.copies.end();)
        it = isOver(*it) ? m_hints.copies.erase(it) : std::next(it);
    for (auto it = m_hints.failedOn.begin(); it != m_hints.failedOn.end();)
        it = isOver(it->first) ? m_hints.failedOn.erase(it) : std::next(it);
}

} // namespace celeryline
