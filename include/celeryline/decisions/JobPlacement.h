/// @file
/// The decision which jobs start on which workers.
#pragma once

#include "celeryline/decisions/CapacityIndex.h"
#include "celeryline/decisions/JobBacklog.h"
#include "celeryline/decisions/SizeEstimator.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// What a team may use, and uses, at once.
struct TeamShare {
    Resources limit {}; ///< From its Quota; a team without one only borrows.
    Resources used {}; ///< Estimated sizes of its placed and running jobs.
    Resources urgentUsed {}; ///< The urgent ones among them.
};

/// Teams by name.
using TeamShares = std::map<std::string, TeamShare>;

/// What a worker should do with a job that it holds, in the order in which pressure escalates.
enum class JobAction : std::uint8_t { Throttle, Checkpoint, Stop };

/// An instruction to a worker about a job that it holds.
struct JobInstruction {
    std::string job;
    std::string worker;
    std::uint64_t fence = 0;
    JobAction action = JobAction::Throttle;
    std::string reason;
};

/// A job that starts now.
struct JobStart {
    std::string job;
    std::string worker;
    HeldJob held; ///< With its fence and estimated size, for `CapacityIndex::place`.
    std::string reason;
};

/// A job with the reason why it doesn't start.
struct JobNote {
    std::string job;
    std::string reason;
};

/// What one urgent job gets.
struct UrgentDecision {
    std::optional<JobStart> start;
    std::vector<JobInstruction> instructions; ///< Batch jobs to throttle on the same worker, first to last.
    bool impossible = false;
    std::string reason;
};

/// What all queued jobs get.
struct PlacementDecision {
    std::vector<JobStart> starts;
    std::vector<JobInstruction> instructions;
    std::vector<JobNote> waits;
    std::vector<JobNote> refusals; ///< Can never run.
};

/// Finds a worker for an urgent job. It takes free capacity first. Without any, it takes processor time from
/// batch jobs by throttling them, which has an effect at once, and doesn't wait for them to end. Its team's
/// batch jobs don't stand in its way, but once the team's urgent jobs alone fill its quota, it only takes
/// free capacity.
/// @param job the job.
/// @param capacity all workers.
/// @param sizes learnt sizes.
/// @param teams quotas and use.
/// @param fence revision of the placement.
/// @return the decision.
UrgentDecision placeUrgent(const Job& job, const CapacityIndex& capacity, const SizeEstimator& sizes,
    const TeamShares& teams, std::uint64_t fence);

/// Places all queued jobs: urgent ones first, then those within their team's quota, the team with the
/// smallest part of its quota in use first, then borrowed capacity that no job within quota could use.
/// @param backlog the queued jobs.
/// @param capacity all workers; a copy that the placements are counted in.
/// @param sizes learnt sizes.
/// @param teams quotas and use; a copy that the placements are counted in.
/// @param nextFence first fence to hand out; every start gets its own.
/// @return the decision. Jobs that are in none of its lists do not exist.
/// @throws Error if a job would be placed twice or beyond its quota without being borrowed.
///
/// Example: `for (const auto& start : placeJobs(backlog, capacity, sizes, teams, revision).starts) {
/// lease(start); }`
PlacementDecision placeJobs(const JobBacklog& backlog, CapacityIndex capacity, const SizeEstimator& sizes,
    TeamShares teams, std::uint64_t nextFence);

} // namespace celeryline
