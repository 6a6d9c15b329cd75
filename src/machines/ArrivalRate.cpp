#include "celeryline/machines/ArrivalRate.h"

#include <algorithm>
#include <cmath>

namespace celeryline {
namespace {

/// Shorter than load peaks, which last several seconds, and longer than the gaps between jobs.
constexpr double averagingTimeMs = 1000;

} // namespace

std::int64_t estimatedWork(const JobSpec& job)
{
    std::int64_t work = 0;
    for (const auto& step : job.steps) {
        if (!step.isLongRunning)
            work += step.count * step.demand.cpuMilli * step.estimate.count / 1000;
    }
    return work;
}

void ArrivalRate::update(const JobStore& store, Millis now)
{
    auto elapsed = static_cast<double>((now - m_updatedAt).count);
    m_updatedAt = now;
    double kept = std::exp(-elapsed / averagingTimeMs);
    for (auto& [pool, rate] : m_rates)
        rate *= kept;
    std::set<JobId> open;
    for (const auto& id : store.openJobs()) {
        open.insert(id);
        if (m_counted.count(id) != 0)
            continue;
        const auto& job = *store.findJob(id);
        const auto* queue = findQueue(store.configuration(), job.spec.queue);
        if (queue != nullptr)
            m_rates[queue->service] += static_cast<double>(estimatedWork(job.spec)) * 1000 / averagingTimeMs;
    }
    m_counted = std::move(open);
}

std::int64_t ArrivalRate::rateOf(const std::string& pool) const
{
    auto found = m_rates.find(pool);
    return found == m_rates.end() ? 0 : static_cast<std::int64_t>(found->second);
}

} // namespace celeryline
