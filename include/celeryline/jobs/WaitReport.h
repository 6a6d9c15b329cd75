/// @file
/// Which task of each pool waits longest, and why it doesn't start.
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

/// A runner as the report sees it.
struct PoolRunner {
    RunnerRoom room; ///< What is free there, whether or not it takes tasks.
    WaitReason refusal = WaitReason::HasRoom; ///< Why it takes no task at all.
};

/// The oldest job of a pool that waits with nothing of it running, and why its first waiting task doesn't
/// start.
struct PoolWait {
    std::string pool;
    TaskName task; ///< The first one that waits.
    std::uint32_t tasksWaiting = 0; ///< Of its step.
    Resources demand; ///< Of each of them.
    bool isGang = false; ///< They start only all together, so that room for one isn't enough.
    JobLateness lateness = JobLateness::InTime;
    Millis age; ///< Since the job was submitted or its occurrence was due.
    Millis waited; ///< Since the leader first saw the step as its pool's oldest.
    std::map<WaitReason, std::uint32_t> runners; ///< Number of the pool's runners by reason.
};

/// @param job a job.
/// @return its first task that waits and whose turn has come, if the job is open and nothing of it runs.
std::optional<TaskName> waitingTaskOf(const JobState& job);

/// Finds for each pool the oldest job that waits, by submission or due time. Looks at a bounded number of
/// jobs of each queue, those with the earliest latestStart.
/// @param store jobs and configuration.
/// @param runners all known runners, with what the last plan has left of their room.
/// @param starting jobs of which that plan starts something.
/// @param wallNow wall time.
/// @param hints what else is known of the tasks.
/// @param isAdvised asked for steps of queues that need advice; without it they don't start.
/// @return one wait for each pool that has one, by pool; their `waited` is 0.
///
/// Example: `for (const auto& wait : findPoolWaits(store, runners, {}, wallNow)) { log(wait); }`
std::vector<PoolWait> findPoolWaits(const JobStore& store, const std::vector<PoolRunner>& runners,
    const std::set<JobId>& starting, Millis wallNow, const StartHints& hints = {},
    const AdviceCheck& isAdvised = nullptr);

} // namespace celeryline
