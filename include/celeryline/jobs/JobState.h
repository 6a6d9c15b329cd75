/// @file
/// The replicated state of jobs, tasks and runs.
#pragma once

#include "celeryline/jobs/JobCommand.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
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
};

/// One upkeep wave.
struct WaveState {
    StartWave order;
    std::set<std::string> begun; ///< Machines whose upkeep was ordered.
    std::set<std::string> done;
};

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

} // namespace celeryline
