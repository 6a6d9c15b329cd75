#include "celeryline/jobs/DurationRatios.h"

#include <algorithm>

namespace celeryline {
namespace {

/// Part of the average that a new task leaves. The last 50 tasks or so count, which a queue at its peak
/// starts within a second or two.
constexpr double keptPart = 0.98;
/// The callers' estimates count as much as this many tasks until tasks have ended.
constexpr double priorTasks = 5;
/// A task counts with at most this ratio and at least its inverse, so that a single stalled run can't
/// dominate.
constexpr double maxTaskRatio = 8;
/// Callers' estimates are off by less than a factor of two; the rest is for the delay of starts and reports,
/// which counts most for short tasks.
constexpr double maxRatio = 4;
constexpr double minRatio = 0.25;

} // namespace

void DurationRatios::onCommitted(const JobCommand& command, const JobStore& store, Millis now)
{
    if (const auto* start = std::get_if<StartRun>(&command)) {
        const auto* task = store.findTask(start->run.task);
        const auto* step = store.findStep(start->run.task);
        if (task == nullptr || step == nullptr || step->isLongRunning || step->isBestEffort)
            return;
        if (task->lastRun == 0)
            m_startedAt.emplace(start->run, now);
    } else if (const auto* end = std::get_if<EndRun>(&command)) {
        onEnd(*end, store, now);
    }
}

void DurationRatios::onEnd(const EndRun& end, const JobStore& store, Millis now)
{
    auto found = m_startedAt.find(end.run);
    if (found == m_startedAt.end())
        return;
    auto startedAt = found->second;
    m_startedAt.erase(found);
    const auto* job = store.findJob(end.run.task.job);
    const auto* task = store.findTask(end.run.task);
    const auto* step = store.findStep(end.run.task);
    if (end.outcome != RunOutcome::Done || job == nullptr || task == nullptr || step == nullptr)
        return;
    // The end of the first run of a pair may have been late because its runner is slow.
    if (task->lastRun != end.run.run || task->isDone || step->estimate <= Millis {})
        return;
    add(job->spec.queue, static_cast<double>(step->estimate.count),
        static_cast<double>((now - startedAt).count));
}

void DurationRatios::add(const std::string& queue, double estimated, double real)
{
    if (real < estimated / maxTaskRatio)
        return;
    auto& average = m_averages[queue];
    if (average.estimated <= 0)
        average.estimated = average.real = priorTasks * estimated;
    average.estimated = keptPart * average.estimated + estimated;
    average.real = keptPart * average.real + std::min(real, estimated * maxTaskRatio);
}

double DurationRatios::ratioOf(const std::string& queue) const
{
    auto found = m_averages.find(queue);
    if (found == m_averages.end())
        return 1;
    return std::clamp(found->second.real / found->second.estimated, minRatio, maxRatio);
}

void DurationRatios::prune(const QueueConfiguration& configuration)
{
    if (m_averages.size() <= configuration.queues.size())
        return;
    for (auto it = m_averages.begin(); it != m_averages.end();)
        it = findQueue(configuration, it->first) != nullptr ? std::next(it) : m_averages.erase(it);
}

} // namespace celeryline
