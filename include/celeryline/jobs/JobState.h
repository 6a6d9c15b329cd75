/// @file
/// The replicated state of jobs, tasks and runs.
#pragma once

#include "celeryline/jobs/CustomerUse.h"
#include "celeryline/jobs/JobCommand.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// State of a job's lifecycle.
enum class JobPhase : std::uint8_t { Open, Completed, Failed, Cancelled };

/// An active run on a runner.
struct TaskRun {
    std::uint32_t number = 0;
    RunnerIncarnation incarnation;
};

/// State of one task.
struct TaskState {
    std::uint32_t lastRun = 0; ///< Number of the most recent run.
    std::uint32_t failures = 0;
    bool isDone = false;
    std::vector<TaskRun> runs; ///< Runs that are not known to have ended.
    std::string checkpoint;
};

/// State of one step of one occurrence.
struct StepState {
    std::vector<TaskState> tasks;
    std::uint32_t done = 0; ///< Number of completed tasks.
    std::uint32_t active = 0; ///< Number of tasks with an active run.
};

/// State of one job.
struct JobState {
    JobSpec spec; ///< Steps and payload are released once the job has ended and has no active runs.
    JobPhase phase = JobPhase::Open;
    bool hasStarted = false; ///< At least one task was started.
    Millis submittedAt; ///< Wall time.
    Millis endedAt; ///< Wall time; 0 while the job is open.
    std::map<std::uint32_t, std::vector<StepState>> occurrences; ///< Opened and incomplete occurrences.
    std::uint32_t opened = 0; ///< Number of occurrences opened so far.
    std::uint32_t completed = 0; ///< Number of completed occurrences.
    // Derived from the fields above and the configuration; determine the order of starts.
    Millis objective; ///< Time from the due time by which it should be complete.
    Millis remaining; ///< remainingCriticalPath() of its first open occurrence.
    /// Latest wall time at which its remaining work can start and still meet the objective.
    Millis latestStart;
    CustomerNumber customer = noCustomer; ///< Number of its customer on this replica.
};

/// State of one maintenance wave.
struct WaveState {
    StartWave order;
    std::set<std::string> begun; ///< Machines whose maintenance was ordered.
    std::set<std::string> done;
};

/// An open job with a task that is ready to start.
struct StartableJob {
    bool isLongRunning = false;
    Millis latestStart; ///< See JobState.
    JobId id;
    /// Component-wise minimum of the reservations of its waiting tasks; not part of the order.
    Resources minDemand {};
    /// Component-wise minimum of what its waiting tasks count against a limit; not part of the order.
    Resources minQuotaDemand {};
    CustomerNumber customer = noCustomer; ///< Not part of the order.
};

/// Orders long-running jobs first, then by latest start.
inline bool operator<(const StartableJob& a, const StartableJob& b)
{
    return std::make_tuple(!a.isLongRunning, a.latestStart, a.id)
        < std::make_tuple(!b.isLongRunning, b.latestStart, b.id);
}
inline bool operator==(const StartableJob& a, const StartableJob& b)
{
    return std::tie(a.isLongRunning, a.latestStart, a.id) == std::tie(b.isLongRunning, b.latestStart, b.id);
}

/// Resources allocated on one incarnation of a runner.
struct RunnerAllocation {
    std::set<RunName> runs; ///< Active runs there; never empty.
    Resources reserved; ///< Total reservation of the runs.
    std::uint32_t longRunning = 0; ///< Number of long-running runs among them.
    /// Set while the incarnation is recorded as silent: see NoteSilence.
    std::optional<Millis> silentLeaseLeft {};
};

inline bool operator==(const RunnerAllocation& a, const RunnerAllocation& b)
{
    return std::tie(a.runs, a.reserved, a.longRunning, a.silentLeaseLeft)
        == std::tie(b.runs, b.reserved, b.longRunning, b.silentLeaseLeft);
}
inline bool operator!=(const RunnerAllocation& a, const RunnerAllocation& b) { return !(a == b); }

/// @param job a job.
/// @return the number of its occurrences.
inline std::uint32_t occurrenceCount(const JobState& job)
{
    return job.spec.occurrences == 0 ? 1 : job.spec.occurrences;
}

/// @param spec a job's steps.
/// @param steps their state.
/// @param step index of a step.
/// @return whether all steps that it depends on are complete, so that its tasks may start.
bool isStepReady(const std::vector<StepSpec>& spec, const std::vector<StepState>& steps, std::size_t step);

/// Component-wise minima over the tasks of a job that are ready to start.
struct MinDemand {
    Resources reserved; ///< Reservations on a runner.
    Resources quota; ///< What they count against the limit of the customer.
};

/// @param job a job.
/// @return the minima over its tasks that are ready to start; nothing if there is no such task.
std::optional<MinDemand> minStartableDemand(const JobState& job);

/// @param job a job.
/// @return whether its tasks run until it is cancelled.
inline bool isLongRunning(const JobState& job)
{
    return !job.spec.steps.empty() && job.spec.steps.front().isLongRunning;
}

/// @param job a job.
/// @return the wall time from which the lateness of its first open occurrence is measured.
Millis dueTime(const JobState& job);

/// @param spec steps of a job.
/// @param steps their state; empty to count all steps as incomplete.
/// @return the length of the critical path through the incomplete steps, by estimated task durations.
Millis remainingCriticalPath(const std::vector<StepSpec>& spec, const std::vector<StepState>& steps);

} // namespace celeryline
