// JobMaster: admission of submitted jobs.
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"

#include <algorithm>
#include <utility>

namespace celeryline {
namespace {

/// Time after the start of a term in which all runners report: idle ones do so every 1.5 s, and an answer or
/// report may be lost.
constexpr Millis firstReportsTimeout { 2500 };

/// @return the part of a forecast that is available now.
Resources& capacityNow(PoolForecast& forecast)
{
    if (forecast.empty())
        forecast.push_back({});
    return forecast.front().added;
}

} // namespace

void JobMaster::setReachableCapacity(std::map<std::string, PoolForecast> reachable)
{
    m_reachableCapacity = std::move(reachable);
}

PoolCapacities JobMaster::poolCapacities() const
{
    auto now = m_clock().steady;
    PoolCapacities capacities;
    capacities.isComplete = now >= m_runners.resetAt() + firstReportsTimeout;
    for (const auto& [runner, state] : m_runners.runners()) {
        auto& capacity = capacityNow(capacities.byPool[state.report.service]);
        auto reason = refusalOf(runner, state);
        if (reason != WaitReason::HasRoom && reason != WaitReason::Probation)
            continue;
        capacity += state.report.capacity;
        const auto* allocation = m_store.findAllocation(state.report.incarnation);
        if (allocation == nullptr || allocation->longRunning == 0)
            continue;
        for (const auto& run : allocation->runs) {
            const auto* step = m_store.findStep(run.task);
            if (step != nullptr && step->isLongRunning)
                capacity -= reservedBy(*step);
        }
    }
    for (const auto& [pool, steps] : m_reachableCapacity) {
        auto& forecast = capacities.byPool[pool];
        capacityNow(forecast);
        for (const auto& step : steps)
            forecast.push_back({ std::max(Millis {}, step.after - now), step.added });
    }
    return capacities;
}

Millis JobMaster::longestExpectedWait() const
{
    return m_log.isLeading() ? m_admission.longestExpectedStart(m_clock().steady) : Millis {};
}

JobAdmission JobMaster::admit(const JobSpec& job)
{
    const auto& configuration = m_store.configuration();
    bool isFinite = std::none_of(
        job.steps.begin(), job.steps.end(), [](const StepSpec& step) { return step.isLongRunning; });
    if (configuration.customers.empty() || !isFinite || job.occurrences != 0
        || m_store.findJob(job.id) != nullptr)
        return {};
    const auto* queue = findQueue(configuration, job.queue);
    if (queue == nullptr)
        return {};
    auto now = m_clock();
    if (m_admission.isStale(now.steady))
        m_admission.refresh(poolCapacities(), now.steady, now.wall);
    auto decision = m_admission.admit(job, *queue, now.steady);
    if (decision.refusal) {
        Event("job-refused")
            .with("job", job.id.text())
            .with("queue", job.queue)
            .with("customer", job.customer)
            .with("pool", queue->service)
            .with("reason", jobRefusalName(*decision.refusal))
            .with("expectedStartMs", decision.expectedStart)
            .with("expectedEndMs", decision.expectedEnd)
            .with("objectiveMs", decision.objective)
            .with("retryAfterMs", decision.retryAfter)
            .write();
    }
    return decision;
}

} // namespace celeryline
