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

/// Jobs that wait for placement, urgent ones by age and the others by team and age. Adding and removing one
/// job takes constant time, so a burst of cancellations costs what is cancelled and not what is queued.
class JobBacklog {
public:
    JobBacklog() = default;
    JobBacklog(const JobBacklog&) = delete;
    JobBacklog& operator=(const JobBacklog&) = delete;

    /// @param job a queued job; a job that is present already is ignored, so a resend has no effect.
    /// @throws Error of kind InvalidInput if the job isn't in phase Queued.
    void add(const Job& job);

    /// @param id of a job that was placed, refused or cancelled.
    /// @return whether it was queued.
    bool remove(const std::string& id);

    /// @param id of a job.
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

/// Where a placed or running job is.
struct JobLease {
    std::string worker;
    std::uint64_t fence = 0;
};

/// A worker's instruction to stop a job.
struct JobStop {
    std::string job;
    std::string worker;
    std::uint64_t fence = 0; ///< The worker ignores it if it holds the job under a newer fence.
};

/// What a burst of cancellations leads to.
struct CancelDecision {
    std::vector<std::string> dequeued; ///< They never started.
    std::vector<JobStop> stops;
    std::vector<std::string> unknown; ///< Ended already or never submitted.
};

/// @param backlog the queued jobs.
/// @param leases placed and running jobs by id.
/// @param ids the jobs to cancel; a repeated id counts once.
/// @return what happens to each; the cost depends on the number of ids only.
CancelDecision cancelJobs(const JobBacklog& backlog, const std::unordered_map<std::string, JobLease>& leases,
    const std::vector<std::string>& ids);

} // namespace celeryline
