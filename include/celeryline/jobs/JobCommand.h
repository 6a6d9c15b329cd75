/// @file
/// Commands that change the replicated job state.
#pragma once

#include "celeryline/jobs/JobSpec.h"
#include "celeryline/jobs/QueueSettings.h"
#include "celeryline/jobs/RunnerIncarnation.h"
#include "celeryline/jobs/TaskName.h"

#include <string>
#include <variant>

namespace celeryline {

/// How a run ended.
enum class RunOutcome : std::uint8_t {
    Done, ///< The task completed.
    Failed, ///< The run failed, because of the task or the runner.
    Stopped, ///< It was stopped by an order.
    Lapsed, ///< Its lease expired.
    Broken, ///< Another member of its gang ended.
    Alone, ///< The other members of its gang didn't start in time.
    Refused, ///< The runner rejected the start.
    Lost ///< The runner exited or restarted while the run was active.
};

/// Activates a configuration if its version is higher than the current one, or if it adds the customers that
/// an earlier version of celeryline has ignored in the current one.
struct AcceptConfiguration {
    QueueConfiguration configuration;
};

/// Adds a job. Ignored if a job with its id exists. If its id was cancelled before, the job is added as
/// cancelled.
struct SubmitJob {
    JobSpec job;
    Millis submittedAt; ///< Wall time.
};

/// Cancels a job. Ignored if the job has ended. If it is unknown, its id is remembered, because its
/// submission may still be on the way; see CancelledJobIds.
struct CancelJob {
    JobId job;
    std::string customer {}; ///< Name of the customer that cancels it; empty for none.
};

/// Makes the tasks of one occurrence of a job eligible to start.
struct OpenOccurrence {
    JobId job;
    std::uint32_t occurrence = 0;
};

/// Records that a run may start. Must be committed before the runner is ordered to start it.
struct StartRun {
    RunName run;
    RunnerIncarnation incarnation;
};

/// Records that a run has ended. Must be committed before the end is acknowledged to the runner.
struct EndRun {
    RunName run;
    RunOutcome outcome = RunOutcome::Done;
    std::string checkpoint; ///< State to resume from; empty if there is none.
};

/// Removes the record of an ended job.
struct RemoveJob {
    JobId job;
};

/// Starts a maintenance wave over a set of machines, which should be complete by a deadline.
struct StartWave {
    std::uint64_t wave = 0;
    std::vector<std::string> machines;
    Millis deadline; ///< Relative to startedAt.
    /// Limit on machines of the wave that are down for maintenance at the same time.
    std::uint32_t maxAtOnce = 1;
    Millis startedAt; ///< Wall time.
};

/// The issuer and time of an order to a machine. A new leader uses it to determine how long it must leave the
/// machine alone.
struct MachineOrder {
    std::string holder; ///< Name of the leading instance that issued the order.
    std::uint64_t fence = 0; ///< Fencing token: the issuer's term.
    Millis at; ///< Steady time of the issuer; comparable only among orders with the same fence.
};

/// Records that maintenance of a machine is about to be ordered, or is complete.
struct NoteUpkeep {
    std::uint64_t wave = 0;
    std::string machine;
    bool isDone = false;
    MachineOrder order; ///< Unused if isDone.
};

/// Records that a machine is about to be ordered to another pool.
struct NoteMove {
    std::string machine;
    std::string pool;
    MachineOrder order;
};

/// Records that a runner with active runs is silent. Until its NoteContact is committed it gets no lease, so
/// that every later leader knows when its runs have stopped. Ignored if it has no active runs.
struct NoteSilence {
    RunnerIncarnation incarnation;
    Millis leaseLeft; ///< Time after which its runs have certainly stopped.
};

/// Records that a silent runner has reported again. Must be committed before it gets a lease.
struct NoteContact {
    RunnerIncarnation incarnation;
};

/// Records that a run of a long-running task is about to be ordered to stop, so that the task starts on
/// another runner. Must be committed before the order, so that every later leader counts the task as
/// unavailable.
struct NoteRecall {
    RunName run;
};

/// Forgets the oldest cancelled ids of unknown jobs.
struct ForgetCancelledIds {
    std::uint64_t upTo = 0; ///< See CancelledJobIds::forget().
};

/// A command of the replicated job state. Logs store the position of a type in this list.
using JobCommand = std::variant<AcceptConfiguration, SubmitJob, CancelJob, OpenOccurrence, StartRun, EndRun,
    RemoveJob, StartWave, NoteUpkeep, NoteMove, NoteSilence, NoteContact, NoteRecall, ForgetCancelledIds>;

/// @return the serialized command, as stored in the payload of a log entry.
std::string encodeJobCommand(const JobCommand& command);

/// @param bytes the result of encodeJobCommand().
/// @return the command.
/// @throws Error of kind Corrupt if the bytes are not exactly one command.
JobCommand decodeJobCommand(const std::string& bytes);

} // namespace celeryline
