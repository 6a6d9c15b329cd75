/// @file
/// The replicated job state as a state machine.
#pragma once

#include "celeryline/jobs/JobState.h"

#include <map>
#include <set>
#include <string>

namespace celeryline {

/// The replicated job state. Deterministic: the same commands in the same order give the same state. Every
/// command may come again, or too late; it then changes nothing.
///
/// Example: `store.apply(SubmitJob { spec, now }, entryTime); if (store.findJob(spec.id)) { ... }`
class JobStore {
public:
    /// Applies a committed command.
    /// @param command the command.
    /// @param time wall time of the log entry.
    void apply(const JobCommand& command, Millis time);

    /// @return the whole state, serialised.
    std::string takeSnapshot() const;

    /// Replaces the whole state.
    /// @param bytes what takeSnapshot() gave.
    /// @throws Error of kind Corrupt if the bytes are not a whole snapshot; the state is then unchanged.
    void restoreSnapshot(const std::string& bytes);

    const QueueConfiguration& configuration() const { return m_configuration; }
    const std::map<std::string, JobState>& jobs() const { return m_jobs; }
    const std::map<std::uint64_t, WaveState>& waves() const { return m_waves; }

    /// @return the newest order for each machine that was ever ordered anything.
    const std::map<std::string, MachineOrder>& machineOrders() const { return m_machineOrders; }

    /// @return ids of the jobs that are open.
    const std::set<std::string>& openJobs() const { return m_openJobs; }

    /// @return the job, or null if it isn't known.
    const JobState* findJob(const std::string& id) const;

    /// @return the runs that may be at work, by the life of the runner that holds them.
    const std::map<RunnerLife, std::set<RunName>>& runs() const { return m_runs; }

    /// @return the step of a task, or null if the job or the step isn't known any more.
    const StepSpec* findStep(const TaskName& task) const;

    /// @return the task, or null if it isn't known.
    const TaskState* findTask(const TaskName& task) const;

    /// @param key key of a queue.
    /// @return the number of open jobs of the queue of which nothing was started.
    std::size_t waitingJobs(const std::string& key) const;

private:
    void accept(const AcceptConfiguration& command, Millis time);
    void accept(const SubmitJob& command, Millis time);
    void accept(const CancelJob& command, Millis time);
    void accept(const OpenOccurrence& command, Millis time);
    void accept(const StartRun& command, Millis time);
    void accept(const EndRun& command, Millis time);
    void accept(const ForgetJob& command, Millis time);
    void accept(const StartWave& command, Millis time);
    void accept(const NoteUpkeep& command, Millis time);
    void accept(const NoteMove& command, Millis time);

    JobState* mutableJob(const std::string& id);
    std::vector<StepState>* mutableSteps(const TaskName& task);
    TaskState* mutableTask(const TaskName& task);
    void openOccurrence(JobState& job, std::uint32_t occurrence);
    void endTask(const EndRun& command, TaskState& task);
    void completeTask(JobState& job, const TaskName& name, TaskState& task);
    void completeOccurrences(JobState& job, Millis time);
    void noteFailure(JobState& job, const EndRun& command, TaskState& task, Millis time);
    void endJob(JobState& job, JobPhase phase, Millis time);
    void releaseIfIdle(JobState& job);
    void rebuildIndexes();

    QueueConfiguration m_configuration;
    std::map<std::string, JobState> m_jobs;
    std::map<std::uint64_t, WaveState> m_waves;
    std::map<std::string, MachineOrder> m_machineOrders;
    std::set<std::string> m_openJobs; ///< Derived.
    std::map<RunnerLife, std::set<RunName>> m_runs; ///< Derived.
};

} // namespace celeryline
