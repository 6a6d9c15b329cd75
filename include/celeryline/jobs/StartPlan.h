/// @file
/// The decision which tasks start on which runners.
#pragma once

#include "celeryline/jobs/JobStore.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// What a runner has left for further tasks.
struct RunnerRoom {
    RunnerLife life;
    std::string service;
    std::vector<std::string> labels;
    Resources free;
    std::uint32_t lasting = 0; ///< Long-running tasks that it holds.
    std::string rack {}; ///< Empty if unknown.
    std::uint32_t failuresInARow = 0; ///< Tasks that failed there since one ended well.
    bool takesOneTask = false; ///< It is being tried out after it failed many tasks.
};

/// What the leader knows about tasks beyond their committed state.
struct StartHints {
    std::set<TaskName> copies; ///< Tasks whose run is so slow that another one should run beside it.
    std::map<TaskName, std::set<std::string>> failedOn; ///< Runners on which a task failed.
};

/// Where a job stands in the order of starts.
struct JobRank {
    std::string job;
    bool isLongRunning = false;
    bool isLate = false; ///< Can't meet its objective any more.
    bool isExpired = false; ///< So late that its result is of no use to the caller.
    std::uint32_t priority = 0;
    Millis slack; ///< Time until its remaining work must have started to meet the objective.
};

/// Long-running jobs first, then those that can still meet their objective by priority and slack, then late
/// ones, then expired ones.
bool operator<(const JobRank& a, const JobRank& b);

/// @param spec steps of a job.
/// @param steps their state; empty if nothing is known, then the whole chain counts.
/// @return the longest chain of estimated task durations that is still to be done.
Millis remainingChain(const std::vector<StepSpec>& spec, const std::vector<StepState>& steps);

/// Ranks the open jobs by who must start first. Work that can no longer meet its objective earns little, so
/// it comes behind all work that can.
/// @param store jobs and configuration.
/// @param wallNow wall time.
/// @return the ranks in order.
std::vector<JobRank> rankJobs(const JobStore& store, Millis wallNow);

/// @param rooms room on each runner that takes new tasks.
/// @param spec a step.
/// @param step its state.
/// @param service pool that serves it.
/// @return whether another task of the step could start now.
bool hasRoomFor(
    std::vector<RunnerRoom> rooms, const StepSpec& spec, const StepState& step, const std::string& service);

/// Says whether a runner may run a step of a queue that needs advice.
using AdviceCheck = std::function<bool(const TaskName& step, const std::string& runner)>;

/// Chooses starts for tasks whose turn has come. Tasks of a job are placed in the order of rankJobs(), each
/// on the runner where it fits closest, so that large gaps stay for large tasks. The members of a gang start
/// all together or not at all.
/// A step whose tasks should share a rack goes to the rack that holds it most closely. A task doesn't start
/// again where it failed while the pool has another runner for it. Copies of slow tasks get what is left.
/// @param store jobs and configuration.
/// @param rooms room on each runner that takes new tasks.
/// @param wallNow wall time.
/// @param hints what else is known of the tasks.
/// @param isAdvised asked for steps of queues that need advice; without it they don't start.
/// @return the starts.
///
/// Example: `for (const auto& start : planStarts(store, rooms, wallNow)) { propose(start); }`
std::vector<StartRun> planStarts(const JobStore& store, std::vector<RunnerRoom> rooms, Millis wallNow,
    const StartHints& hints = {}, const AdviceCheck& isAdvised = nullptr);

} // namespace celeryline
