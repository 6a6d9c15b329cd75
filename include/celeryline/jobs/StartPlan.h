/// @file
/// The decision which tasks start on which runners.
#pragma once

#include "celeryline/jobs/JobStore.h"
#include "celeryline/jobs/RoomIndex.h"
#include "celeryline/jobs/TaskFit.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// What the leader knows about tasks beyond their committed state.
struct StartHints {
    std::set<TaskName> copies; ///< Tasks whose run is so slow that another one should run beside it.
    /// Steady time at which a task last failed on a runner, by task and runner.
    std::map<TaskName, FailureTimes> failedOn;
    Millis now; ///< Steady time.
};

/// How late a job is.
enum class JobLateness : std::uint8_t {
    InTime, ///< Can meet its objective; always so for a long-running job.
    Late, ///< Can't meet its objective any more.
    Expired ///< So late that its result is of no use to the caller.
};

/// @param job an open job.
/// @param wallNow wall time.
/// @return how late it is.
JobLateness latenessOf(const JobState& job, Millis wallNow);

/// @param rooms room on each runner that takes new tasks.
/// @param spec a step.
/// @param step its state.
/// @param service pool that serves it.
/// @return whether another task of the step could start now.
bool hasRoomFor(
    const RoomIndex& rooms, const StepSpec& spec, const StepState& step, const std::string& service);

/// Says whether a runner may run a step of a queue that needs advice.
using AdviceCheck = std::function<bool(const TaskName& step, const std::string& runner)>;

/// Chooses starts for tasks whose turn has come. Long-running jobs come first, then those that can still meet
/// their objective, by priority and by the time at which they must start. Work that can't meet its objective
/// any more earns little: late jobs get what is left, those first that have been late for the shortest time,
/// since their results may still be of use. A bounded number of jobs of a queue that find no room is looked
/// at, so that a backlog doesn't slow down the leader.
///
/// Each task is placed on the runner where it fits closest, so that large gaps stay for large tasks. The
/// members of a gang start all together or not at all. A step whose tasks should share a rack goes to the
/// rack that holds it most closely. A task goes last to a runner where it failed, and for two seconds not at
/// all if the pool has another one. Copies of slow tasks get what is left.
/// @param store jobs and configuration.
/// @param rooms room on each runner that takes new tasks; the room of the starts is taken from it.
/// @param wallNow wall time.
/// @param hints what else is known of the tasks.
/// @param isAdvised asked for steps of queues that need advice; without it they don't start.
/// @return the starts.
///
/// Example: `for (const auto& start : planStarts(store, rooms, wallNow)) { propose(start); }`
std::vector<StartRun> planStarts(const JobStore& store, RoomIndex& rooms, Millis wallNow,
    const StartHints& hints = {}, const AdviceCheck& isAdvised = nullptr);

} // namespace celeryline
