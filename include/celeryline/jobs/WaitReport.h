/// @file
/// Reports the longest-waiting job of each pool and why it doesn't start.
#pragma once

#include "celeryline/jobs/StartPlan.h"
#include "celeryline/jobs/WaitReason.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// A runner and its eligibility.
struct PoolRunner {
    PlacementCandidate candidate; ///< Its free capacity, whether or not it accepts tasks.
    WaitReason refusal = WaitReason::HasRoom; ///< Reason for which it accepts no task at all.
};

/// The oldest job of a pool that waits without an active run, and why its first waiting task doesn't start.
struct PoolWait {
    std::string pool;
    TaskName task; ///< Its first waiting task.
    std::uint32_t tasksWaiting = 0; ///< Number of waiting tasks of the step.
    Resources demand; ///< Reservation of each task.
    bool isGang = false; ///< The tasks must start together, so capacity for one isn't sufficient.
    JobLateness lateness = JobLateness::InTime;
    Millis age; ///< Time since the job was submitted or its occurrence was due.
    Millis waited; ///< Time since the leader first found the step to be its pool's oldest.
    std::map<WaitReason, std::uint32_t> runners; ///< Number of the pool's runners, by reason.
    /// Reason that concerns all runners; HasRoom if there is none.
    WaitReason hold = WaitReason::HasRoom;
    std::string customer {}; ///< Customer of the job; empty for none.
    Resources customerRunning {}; ///< What its active runs, and the plan's starts, count against its limit.
    Resources customerLimit {}; ///< Its limit; 0 for none.
    double customerFraction = 0; ///< Fraction of the pool that it uses, of the scarcer resource.
    double customerShare = 0; ///< Its share of the pool while capacity is scarce.
};

/// @param job a job.
/// @return its first task that is ready to start, if the job is open and has no active run.
std::optional<TaskName> waitingTaskOf(const JobState& job);

/// Finds the oldest waiting job of each pool, by submission or due time, and the oldest one of those whose
/// customer is at its limit. Examines a bounded number of jobs of either kind per queue, in the order of
/// latestStart.
/// @param store jobs and configuration.
/// @param runners all known runners, with the capacity that the last plan left free.
/// @param starts starts of that plan, which are not committed yet.
/// @param wallNow wall time.
/// @param hints uncommitted state that influences placement.
/// @param advice tickets for steps of queues that need advice; without it they don't start.
/// @return by pool, an entry for a job that its customer's limit doesn't hold back, and one for a job that it
/// holds back; their `waited` is 0.
///
/// Example: `for (const auto& wait : findPoolWaits(store, runners, {}, wallNow)) { log(wait); }`
std::vector<PoolWait> findPoolWaits(const JobStore& store, const std::vector<PoolRunner>& runners,
    const std::vector<StartRun>& starts, Millis wallNow, const PlacementHints& hints = {},
    const AdviceCheck& advice = {});

} // namespace celeryline
