/// @file
/// The leader's state for the admission of jobs.
#pragma once

#include "celeryline/jobs/CustomerRate.h"
#include "celeryline/jobs/DurationRatios.h"
#include "celeryline/jobs/JobAdmission.h"
#include "celeryline/jobs/JobStore.h"
#include "celeryline/jobs/PoolBacklog.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryline {

/// Capacity of each pool as known to the leader.
struct PoolCapacities {
    std::map<std::string, PoolForecast> byPool;
    /// Whether all runners have had time to report to this leader.
    bool isComplete = false;
};

/// Numbers of decisions of this process, by outcome.
struct AdmissionCounts {
    std::uint64_t accepted = 0;
    std::uint64_t refusedByRate = 0;
    std::uint64_t refusedByCapacity = 0;
};

/// The leader's state for the admission of jobs: outstanding work by pool and customer, rates of the
/// customers and learnt durations. The work is summed up a few times a second; accepted jobs are added
/// meanwhile, so that a decision doesn't depend on the number of open jobs. All of it is volatile.
class AdmissionControl {
public:
    /// @param store committed state; must outlive this object.
    explicit AdmissionControl(const JobStore& store)
        : m_store(store)
    {
    }

    /// Forgets what depends on the term. Durations are kept.
    void startTerm();

    /// @return whether refresh() is due.
    bool isStale(Millis now) const { return !m_isFresh || now >= m_refreshedAt + refreshInterval; }

    /// Sums up the outstanding work. While the capacity is incomplete, a pool has at least the capacity of
    /// its active runs if tasks waited when the term started, and counts as unknown otherwise.
    /// @param capacities the capacity of the pools.
    /// @param now steady time.
    /// @param wallNow wall time.
    void refresh(PoolCapacities capacities, Millis now, Millis wallNow);

    /// Decides about a job of a known queue, and adds it to the outstanding work if it is accepted.
    /// @param job a job that has no record yet.
    /// @param queue its queue.
    /// @param now steady time.
    JobAdmission admit(const JobSpec& job, const QueueSettings& queue, Millis now);

    DurationRatios& durations() { return m_durations; }
    const DurationRatios& durations() const { return m_durations; }
    const AdmissionCounts& counts() const { return m_counts; }

    /// @param now steady time.
    /// @return the longest expected wait of recently submitted jobs; 0 if none was submitted lately.
    Millis longestExpectedStart(Millis now) const;

private:
    static constexpr Millis refreshInterval { 250 };

    /// An accepted job that may not be committed yet.
    struct Accepted {
        std::string pool;
        std::uint32_t priority = 0;
        std::size_t customer = 0;
        ResourceWork work;
        Millis at;
    };

    /// Sums of a pool.
    struct Pool {
        PoolBacklog backlog;
        Resources inUse; ///< Reserved by active runs of finite tasks.
        bool hasWaitingTasks = false;
    };

    void updateCustomers(Millis now);
    void sumUp(Millis wallNow);
    void addJob(const JobState& job, const QueueSettings& queue, Millis wallNow);
    void addAccepted(Millis now);
    void completeCapacities(PoolCapacities& capacities);
    std::size_t customerIndex(const std::string& name) const;
    void record(const JobAdmission& decision);

    const JobStore& m_store;
    DurationRatios m_durations;
    bool m_isFresh = false;
    Millis m_refreshedAt;
    std::uint64_t m_configurationVersion = 0;
    std::unordered_map<std::string, std::size_t> m_customers; ///< Index by name; 0 is none.
    std::vector<double> m_weights; ///< By index.
    std::map<std::string, CustomerRate> m_rates; ///< By name of the customer.
    std::map<std::string, Pool> m_pools;
    std::map<std::string, PoolForecast> m_capacities; ///< By pool; pools of unknown capacity have no entry.
    std::map<JobId, Accepted> m_accepted;
    /// Pools with waiting tasks when the term started; nothing before the first refresh of the term.
    std::optional<std::set<std::string>> m_saturatedPools;
    AdmissionCounts m_counts;
    Millis m_longestStart; ///< Longest expected wait since the last refresh.
    Millis m_longestStartBefore; ///< The same before that.
};

} // namespace celeryline
