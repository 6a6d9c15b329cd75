/// @file
/// Jobs that wait for placement.
#pragma once

#include "celeryline/fleet/Job.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryline {

/// Jobs that wait for placement: urgent jobs by age, the others by team and age. Jobs are added and removed
/// in constant time, so the cost of a burst of cancellations doesn't depend on the length of the queue.
class JobBacklog {
public:
    JobBacklog() = default;
    JobBacklog(const JobBacklog&) = delete;
    JobBacklog& operator=(const JobBacklog&) = delete;

    /// @param job a queued job. A job that is already present is ignored, so a repeated submit has no effect.
    /// @throws Error of kind InvalidInput if the job isn't in phase Queued.
    void add(const Job& job);

    /// @param id id of a job that was placed, refused or cancelled.
    /// @return whether it was queued.
    bool remove(const std::string& id);

    /// @param id id of a job.
    /// @return whether it is queued.
    bool contains(const std::string& id) const { return m_byId.count(id) > 0; }

    /// @return urgent jobs, oldest first.
    const std::list<Job>& urgent() const { return m_urgent; }

    /// @return the other jobs by team, oldest first.
    const std::map<std::string, std::list<Job>>& batch() const { return m_batch; }

    /// @return number of queued jobs.
    std::size_t size() const { return m_byId.size(); }

private:
    struct Position {
        std::list<Job>* queue;
        std::list<Job>::iterator job;
    };

    std::list<Job> m_urgent;
    std::map<std::string, std::list<Job>> m_batch;
    std::unordered_map<std::string, Position> m_byId;
};

/// Worker and fence of a placed or running job.
struct JobLease {
    std::string worker;
    std::uint64_t fence = 0;
};

/// An instruction to a worker to stop a job.
struct JobStop {
    std::string job;
    std::string worker;
    std::uint64_t fence = 0; ///< The worker ignores it if it holds the job under a newer fence.
};

/// Result of cancelling several jobs.
struct CancelDecision {
    std::vector<std::string> dequeued; ///< Queued jobs, which never started.
    std::vector<JobStop> stops;
    std::vector<std::string> unknown; ///< Jobs that have ended or were never submitted.
};

/// @param backlog the queued jobs.
/// @param leases placed and running jobs by id.
/// @param ids the jobs to cancel; duplicate ids count once.
/// @return the result for each job. The cost depends only on the number of ids.
CancelDecision cancelJobs(const JobBacklog& backlog, const std::unordered_map<std::string, JobLease>& leases,
    const std::vector<std::string>& ids);

} // namespace celeryline
