/// @file
/// State machine of the replicated job state.
#pragma once

#include "celeryline/customers/ApiKeyIndex.h"
#include "celeryline/jobs/CancelledJobIds.h"
#include "celeryline/jobs/JobState.h"
#include "celeryline/jobs/PoolUse.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace celeryline {

/// The replicated job state. Deterministic: the same commands in the same order produce the same state. Every
/// command may arrive repeatedly or too late, and then has no effect.
///
/// Example: `store.apply(SubmitJob { spec, now }, entryTime); if (store.findJob(spec.id)) { ... }`
class JobStore {
public:
    /// By queue key; queues without startable jobs have no entry.
    using StartableJobs = std::map<std::string, std::set<StartableJob>>;

    /// Applies a committed command.
    /// @param command the command.
    /// @param time wall time of the log entry.
    void apply(const JobCommand& command, Millis time);

    /// @return the serialized state.
    std::string takeSnapshot() const;

    /// Replaces the state.
    /// @param bytes the result of takeSnapshot().
    /// @throws Error of kind Corrupt if the bytes are not a complete snapshot; the state is then unchanged.
    void restoreSnapshot(const std::string& bytes);

    const QueueConfiguration& configuration() const { return m_configuration; }
    /// @return the customers of the configuration by API key.
    const ApiKeyIndex& apiKeys() const { return m_apiKeys; }
    std::size_t jobCount() const { return m_jobs.size(); }
    const std::map<std::uint64_t, WaveState>& waves() const { return m_waves; }

    /// @return the most recent order to each machine that was ever sent one.
    const std::map<std::string, MachineOrder>& machineOrders() const { return m_machineOrders; }

    /// @return the ids of the open jobs.
    const std::set<JobId>& openJobs() const { return m_openJobs; }

    /// @return the open jobs with a task that is ready to start, by queue.
    const StartableJobs& startableJobs() const { return m_startableJobs; }

    /// @return ended jobs without active runs, with the wall time of their end, in ascending order.
    const std::set<std::pair<Millis, JobId>>& idleEndedJobs() const { return m_idleEndedJobs; }

    /// @return the job, or null if it is unknown.
    const JobState* findJob(const JobId& id) const;

    /// @return the ids of jobs that were cancelled before they were submitted.
    const CancelledJobIds& cancelledIds() const { return m_cancelledIds; }

    /// @return the limit on the cancelled ids of one customer; see CancelledJobIds::partSize().
    std::size_t cancelledIdsPart() const;

    /// @return the allocations of each incarnation of a runner; incarnations without any have no entry.
    const std::map<RunnerIncarnation, RunnerAllocation>& allocations() const { return m_allocations; }

    /// @return the allocation on an incarnation, or null if there is none.
    const RunnerAllocation* findAllocation(const RunnerIncarnation& incarnation) const;

    /// @return what the customers have running.
    const CustomerUses& customerUses() const { return m_customerUses; }

    /// @return what the customers have running and waiting in each pool.
    const PoolUses& poolUses() const { return m_poolUses; }

    /// @param name name of a customer.
    /// @return what its active runs count against its limit.
    CustomerUse useOfCustomer(const std::string& name) const;

    /// @return the step of a task, or null if the job or the step is unknown.
    const StepSpec* findStep(const TaskName& task) const;

    /// @return the task, or null if it is unknown.
    const TaskState* findTask(const TaskName& task) const;

    /// @return whether a run is active.
    bool isActive(const RunName& run) const;

    /// @return whether a run is active and was recalled.
    bool isRecalled(const RunName& run) const { return m_recalledRuns.count(run) != 0; }

    /// @param key key of a queue.
    /// @return the number of open jobs of the queue of which no task was started.
    std::size_t unstartedJobs(const std::string& key) const;

private:
    void applyCommand(const AcceptConfiguration& command, Millis time);
    void applyCommand(const SubmitJob& command, Millis time);
    void applyCommand(const CancelJob& command, Millis time);
    void applyCommand(const OpenOccurrence& command, Millis time);
    void applyCommand(const StartRun& command, Millis time);
    void applyCommand(const EndRun& command, Millis time);
    void applyCommand(const RemoveJob& command, Millis time);
    void applyCommand(const StartWave& command, Millis time);
    void applyCommand(const NoteUpkeep& command, Millis time);
    void applyCommand(const NoteMove& command, Millis time);
    void applyCommand(const NoteSilence& command, Millis time);
    void applyCommand(const NoteContact& command, Millis time);
    void applyCommand(const NoteRecall& command, Millis time);
    void applyCommand(const ForgetCancelledIds& command, Millis time);

    JobState* mutableJob(const JobId& id);
    std::vector<StepState>* mutableSteps(const TaskName& task);
    TaskState* mutableTask(const TaskName& task);
    void addCancelled(const SubmitJob& command, Millis time);
    void openOccurrence(JobState& job, std::uint32_t occurrence);
    void saveCheckpoint(const EndRun& command, TaskState& task);
    void completeTask(JobState& job, const TaskName& name, TaskState& task);
    void completeOccurrences(JobState& job, Millis time);
    void recordFailure(JobState& job, const EndRun& command, TaskState& task, Millis time);
    void endJob(JobState& job, JobPhase phase, Millis time);
    void releaseIfIdle(JobState& job);
    void updateStartable(JobState& job);
    void removeStartable(const JobState& job);
    void countUnstarted(const JobState& job, bool isUnstarted);
    void updateObjective(JobState& job) const;
    static void updateRemaining(JobState& job);
    void allocate(const RunnerIncarnation& incarnation, const RunName& run);
    void deallocate(const RunnerIncarnation& incarnation, const RunName& run);
    std::map<RunnerIncarnation, Millis> silences() const;
    void rebuildIndexes();
    void rebuildPoolUses();
    void indexJob(JobState& job);

    QueueConfiguration m_configuration;
    std::unordered_map<JobId, JobState> m_jobs;
    std::map<std::uint64_t, WaveState> m_waves;
    std::map<std::string, MachineOrder> m_machineOrders;
    std::set<RunName> m_recalledRuns;
    CancelledJobIds m_cancelledIds;
    // Indexes, updated by each command.
    ApiKeyIndex m_apiKeys;
    std::set<JobId> m_openJobs;
    StartableJobs m_startableJobs;
    std::map<std::string, std::size_t> m_unstartedCounts; ///< Open jobs without a started task, by queue.
    std::set<std::pair<Millis, JobId>> m_idleEndedJobs;
    std::map<RunnerIncarnation, RunnerAllocation> m_allocations;
    CustomerUses m_customerUses;
    PoolUses m_poolUses;
};

} // namespace celeryline
