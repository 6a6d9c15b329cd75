/// @file
/// Decisions about jobs on workers under resource pressure and on lost workers.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/decisions/JobPlacement.h"

#include <optional>

namespace celeryline {

/// A job on a worker with the last action taken on it.
struct WorkerJob {
    HeldJob held;
    Resources usage; ///< As reported.
    bool checkpointable = false;
    std::optional<JobAction> lastAction;
    Millis actionSince;
};

/// Capacity and usage of a worker that may be overcommitted.
struct WorkerPressure {
    std::string worker;
    Resources capacity;
    Resources usage;
    std::vector<WorkerJob> jobs;
};

/// Escalates on a worker that uses more than 95% of its CPU or memory: throttle, then checkpoint, then stop.
/// Borrowed jobs are affected first, then the most recently placed ones, urgent jobs never. A non-repeatable
/// job is throttled but never checkpointed or stopped, because it could not be started again.
/// @param worker the worker.
/// @param now the current time.
/// @param escalationDelay time for an action to take effect before the next one.
/// @return instructions; empty without pressure.
std::vector<JobInstruction> relievePressure(const WorkerPressure& worker, Millis now, Millis escalationDelay);

/// State of a job whose worker was lost or refused it.
struct JobLoss {
    Job job; ///< Placed or running.
    bool leaseExpired = false; ///< The worker stops the job when its lease expires, even if it is isolated.
    bool refusedByWorker = false; ///< The worker has confirmed that it never started this fence.
};

/// Action for such a job.
enum class LossAction : std::uint8_t { Wait, Requeue, Fail };

/// The action with its reason.
struct LossDecision {
    LossAction action = LossAction::Wait;
    std::string reason;
};

/// Decides on a job whose worker was lost. It waits until its lease has expired, so that it never runs twice
/// concurrently. A non-repeatable job is started again only if the worker has confirmed that it never
/// started.
/// @param loss state of the job.
/// @return the decision.
LossDecision decideAfterLoss(const JobLoss& loss);

/// @param held fence of a job on a worker; 0 if the worker doesn't hold the job.
/// @param offered fence of an instruction.
/// @return whether the worker must follow the instruction: an older fence is a placement that was replaced.
inline bool acceptsFence(std::uint64_t held, std::uint64_t offered) { return offered > 0 && offered >= held; }

} // namespace celeryline
