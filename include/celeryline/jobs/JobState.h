/// @file
/// The replicated state of jobs, tasks and runs.
#pragma once

#include "celeryline/jobs/JobCommand.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// Where a job stands.
enum class JobPhase : std::uint8_t { Open, Completed, Failed, Cancelled };

/// A run that may be at work on a runner.
struct TaskRun {
    std::uint32_t number = 0;
    RunnerLife life;
};

/// One task.
struct TaskState {
    std::uint32_t lastRun = 0; ///< Number of the newest start.
    std::uint32_t failures = 0;
    bool isDone = false;
    std::vector<TaskRun> runs; ///< Not known to have ended.
    std::string checkpoint;
};

/// One step of one occurrence.
struct StepState {
    std::vector<TaskState> tasks;
    std::uint32_t done = 0; ///< Tasks that are done.
    std::uint32_t active = 0; ///< Tasks with a run.
};

/// One job.
struct JobState {
    JobSpec spec; ///< Steps and payload are dropped once the job has ended and nothing of it runs.
    JobPhase phase = JobPhase::Open;
    bool hasStarted = false; ///< A task was started.
    Millis submittedAt; ///< Wall time.
    Millis endedAt; ///< Wall time; 0 while the job is open.
    std::map<std::uint32_t, std::vector<StepState>> occurrences; ///< Those opened and not complete.
    std::uint32_t opened = 0; ///< Number of occurrences opened so far.
    std::uint32_t completed = 0; ///< Number of occurrences complete.
    // Derived from the above and the configuration, for the order of starts.
    Millis objective; ///< From when it is due until it should be complete.
    Millis remaining; ///< remainingChain() of its first open occurrence.
    Millis latestStart; ///< Wall time at which its remaining work must have started to meet the objective.
};

/// One upkeep wave.
struct WaveState {
    StartWave order;
    std::set<std::string> begun; ///< Machines whose upkeep was ordered.
    std::set<std::string> done;
};

/// An open job with a task that waits and whose turn has come.
struct StartableJob {
    bool isLongRunning = false;
    Millis latestStart; ///< See JobState.
    JobId id;
    /// The smallest reservation of its waiting tasks, for each resource by itself; not part of the order.
    Resources least {};
};

/// Long-running jobs first, then those that must start first.
inline bool operator<(const StartableJob& a, const StartableJob& b)
{
    return std::make_tuple(!a.isLongRunning, a.latestStart, a.id)
        < std::make_tuple(!b.isLongRunning, b.latestStart, b.id);
}
inline bool operator==(const StartableJob& a, const StartableJob& b)
{
    return std::tie(a.isLongRunning, a.latestStart, a.id) == std::tie(b.isLongRunning, b.latestStart, b.id);
}

/// What one life of a runner holds.
struct RunnerHolding {
    std::set<RunName> runs; ///< Runs that may be at work there; never empty.
    Resources reserved; ///< By all of them together.
    std::uint32_t lasting = 0; ///< How many of them are long-running.
};

inline bool operator==(const RunnerHolding& a, const RunnerHolding& b)
{
    return std::tie(a.runs, a.reserved, a.lasting) == std::tie(b.runs, b.reserved, b.lasting);
}
inline bool operator!=(const RunnerHolding& a, const RunnerHolding& b) { return !(a == b); }

/// @param job a job.
/// @return how many times its steps run.
inline std::uint32_t occurrenceCount(const JobState& job)
{
    return job.spec.occurrences == 0 ? 1 : job.spec.occurrences;
}

/// @param spec a job's steps.
/// @param steps their state.
/// @param step number of a step.
/// @return whether all steps before it are done, so that its tasks may start.
bool isStepReady(const std::vector<StepSpec>& spec, const std::vector<StepState>& steps, std::size_t step);

/// @param job a job.
/// @return the smallest reservation of its tasks that wait and whose turn has come, for each resource by
/// itself; nothing without such a task.
std::optional<Resources> leastStartable(const JobState& job);

/// @param job a job.
/// @return whether its tasks run until it is cancelled.
inline bool isLongRunning(const JobState& job)
{
    return !job.spec.steps.empty() && job.spec.steps.front().isLongRunning;
}

/// @param job a job.
/// @return wall time from which its first open occurrence is counted as late or in time.
Millis dueTime(const JobState& job);

/// @param spec steps of a job.
/// @param steps their state; empty if nothing is known, then the whole chain counts.
/// @return the longest chain of estimated task durations that is still to be done.
Millis remainingChain(const std::vector<StepSpec>& spec, const std::vector<StepState>& steps);

} // namespace celeryline
