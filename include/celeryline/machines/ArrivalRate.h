/// @file
/// Moving average of the work submitted to each pool.
#pragma once

#include "celeryline/jobs/JobStore.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace celeryline {

/// @param job a job.
/// @return work of its tasks in core-milliseconds, by the caller's estimates; long-running steps don't count.
std::int64_t estimatedWork(const JobSpec& job);

/// Exponentially decaying average of the work submitted to each pool.
class ArrivalRate {
public:
    /// Adds the jobs submitted since the last call.
    /// @param store the jobs.
    /// @param now steady time.
    void update(const JobStore& store, Millis now);

    /// @param pool a pool.
    /// @return average rate of submitted work, in thousandths of a core.
    std::int64_t rateOf(const std::string& pool) const;

private:
    std::set<JobId> m_counted; ///< Open jobs that are already in the average.
    std::map<std::string, double> m_rates; ///< By pool, in thousandths of a core.
    Millis m_updatedAt;
};

} // namespace celeryline
