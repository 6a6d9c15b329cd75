/// @file
/// Decisions about jobs on a worker under pressure and on a lost worker.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/decisions/JobPlacement.h"

#include <optional>

namespace celeryline {

/// A job on a worker, with what the worker was last told about it.
struct PressedJob {
    HeldJob held;
    Resources usage; ///< As reported.
    bool checkpointable = false;
    std::optional<JobAction> lastAction;
    Millis actionSince;
};

/// A worker whose jobs may use more than it has.
struct WorkerPressure {
    std::string worker;
    Resources capacity;
    Resources usage;
    std::vector<PressedJob> jobs;
};

/// Escalates step by step on a worker that is used beyond 95% of its processor or memory: throttle, then
/// checkpoint, then stop. Borrowed jobs go first, then the youngest; urgent jobs never; a non-repeatable job
/// is throttled but never checkpointed or stopped, because it could not be started again.
/// @param worker the worker.
/// @param now the current time.
/// @param patience time that a step gets to have an effect before the next.
/// @return instructions; empty without pressure.
std::vector<JobInstruction> relievePressure(const WorkerPressure& worker, Millis now, Millis patience);

/// What is known of a job whose worker was lost or refused it.
struct JobLoss {
    Job job; ///< Placed or running.
    bool leaseExpired = false; ///< The worker stops the job when its lease expires, even if it is isolated.
    bool refusedByWorker = false; ///< The worker has said that it never started this fence.
};

/// What becomes of such a job.
enum class LossAction : std::uint8_t { Wait, Requeue, Fail };

/// The action with its reason.
struct LossDecision {
    LossAction action = LossAction::Wait;
    std::string reason;
};

/// Decides what becomes of a job whose worker was lost. It never runs twice at once: before the lease has
/// expired it waits. A non-repeatable job is started again only if the worker has said that it never started
/// it.
/// @param loss what is known.
/// @return the decision.
LossDecision decideAfterLoss(const JobLoss& loss);

/// @param held fence under which a worker holds a job; 0 if it doesn't.
/// @param offered fence of an instruction.
/// @return whether the worker follows it: an older fence is a placement that has been replaced.
inline bool acceptsFence(std::uint64_t held, std::uint64_t offered) { return offered > 0 && offered >= held; }

} // namespace celeryline
