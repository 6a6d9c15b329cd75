/// @file
/// Placement of queued jobs on workers.
#pragma once

#include "celeryline/decisions/CapacityIndex.h"
#include "celeryline/decisions/JobBacklog.h"
#include "celeryline/decisions/SizeEstimator.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// Quota and current use of a team.
struct TeamShare {
    Resources limit {}; ///< From its Quota. All jobs of a team without one are borrowed.
    Resources used {}; ///< Sum of the estimated sizes of its placed and running jobs.
    Resources urgentUsed {}; ///< The part used by urgent jobs.
};

/// Quota and use by team.
using TeamShares = std::map<std::string, TeamShare>;

/// Actions on a running job, in the order of escalation under resource pressure.
enum class JobAction : std::uint8_t { Throttle, Checkpoint, Stop };

/// An instruction to a worker about a job that it holds.
struct JobInstruction {
    std::string job;
    std::string worker;
    std::uint64_t fence = 0;
    JobAction action = JobAction::Throttle;
    std::string reason;
};

/// A job to start on a worker.
struct JobStart {
    std::string job;
    std::string worker;
    HeldJob held; ///< Argument for `CapacityIndex::place`.
    std::string reason;
};

/// A job that doesn't start, with the reason.
struct UnplacedJob {
    std::string job;
    std::string reason;
};

/// Decision on one urgent job.
struct UrgentDecision {
    std::optional<JobStart> start;
    std::vector<JobInstruction> instructions; ///< Batch jobs to throttle on the same worker, in this order.
    bool impossible = false; ///< No worker could ever run it.
    std::string reason;
};

/// Decision on all queued jobs.
struct PlacementDecision {
    std::vector<JobStart> starts;
    std::vector<JobInstruction> instructions;
    std::vector<UnplacedJob> waits;
    std::vector<UnplacedJob> refusals; ///< Jobs that no worker could ever run.
};

/// Finds a worker for an urgent job. It uses free capacity if there is any. Otherwise it throttles batch
/// jobs, which takes effect immediately, and doesn't wait for them to end. Batch jobs of the team don't count
/// against its quota here; once the team's urgent jobs alone fill the quota, only free capacity is used.
/// @param job the job.
/// @param capacity all workers.
/// @param sizes learnt job sizes.
/// @param teams quota and use by team.
/// @param fence fence of the placement.
/// @return the decision.
UrgentDecision placeUrgent(const Job& job, const CapacityIndex& capacity, const SizeEstimator& sizes,
    const TeamShares& teams, std::uint64_t fence);

/// Places all queued jobs: urgent jobs first, then jobs within their team's quota in ascending order of the
/// dominant share of that quota in use, then jobs beyond it on capacity that no job within quota can use.
/// @param backlog the queued jobs.
/// @param capacity all workers; a copy to which the placements are added.
/// @param sizes learnt job sizes.
/// @param teams quota and use by team; a copy to which the placements are added.
/// @param nextFence first fence to assign; every start gets its own.
/// @return the decision. Each queued job is in exactly one of the lists starts, waits and refusals.
/// @throws Error if a job would be placed twice or beyond its quota without being borrowed.
///
/// Example: `for (const auto& start : placeJobs(backlog, capacity, sizes, teams, revision).starts) {
/// lease(start); }`
PlacementDecision placeJobs(const JobBacklog& backlog, CapacityIndex capacity, const SizeEstimator& sizes,
    TeamShares teams, std::uint64_t nextFence);

} // namespace celeryline
