#include "celeryline/decisions/JobPressure.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>

namespace celeryline {

namespace {

const std::int64_t pressurePercent = 95; // Above it, growth between two reports can exceed the capacity.

/// @return the next action for a job; none if no action is left or the last one may not have taken effect
/// yet.
std::optional<JobAction> nextAction(const WorkerJob& job, Millis now, Millis escalationDelay)
{
    if (!job.lastAction) {
        return JobAction::Throttle;
    }
    if (now - job.actionSince < escalationDelay || !job.held.repeatable
        || *job.lastAction == JobAction::Stop) {
        return std::nullopt;
    }
    bool checkpointed = *job.lastAction == JobAction::Checkpoint;
    return job.checkpointable && !checkpointed ? JobAction::Checkpoint : JobAction::Stop;
}

} // namespace

std::vector<JobInstruction> relievePressure(const WorkerPressure& worker, Millis now, Millis escalationDelay)
{
    std::vector<JobInstruction> instructions;
    auto excessCpu = worker.usage.cpuMilli - worker.capacity.cpuMilli * pressurePercent / 100;
    auto excessMemory = worker.usage.memoryMb - worker.capacity.memoryMb * pressurePercent / 100;
    auto jobs = worker.jobs;
    std::stable_sort(jobs.begin(), jobs.end(), [](const WorkerJob& a, const WorkerJob& b) {
        return a.held.borrowed != b.held.borrowed ? a.held.borrowed : a.held.fence > b.held.fence;
    });
    for (const auto& job : jobs) {
        if (job.held.urgent || (excessCpu <= 0 && excessMemory <= 0)) {
            continue;
        }
        auto action = nextAction(job, now, escalationDelay);
        if (action) {
            invariant(
                *action != JobAction::Stop || job.held.repeatable, "a non-repeatable job is never stopped");
            instructions.push_back({ job.held.id, worker.worker, job.held.fence, *action,
                excessMemory > 0 ? "the worker is short of " + std::to_string(excessMemory) + " MB"
                                 : "the worker is short of " + std::to_string(excessCpu) + " mCPU" });
        }
        // Actions that haven't taken effect yet count as relief, so that no more jobs than needed are
        // affected. A non-repeatable job never releases memory.
        excessCpu -= job.usage.cpuMilli;
        excessMemory -= job.held.repeatable ? job.usage.memoryMb : 0;
    }
    return instructions;
}

LossDecision decideAfterLoss(const JobLoss& loss)
{
    if (loss.refusedByWorker) {
        return { LossAction::Requeue, "worker " + loss.job.worker + " never started it" };
    }
    if (!loss.leaseExpired) {
        return { LossAction::Wait, "its lease on worker " + loss.job.worker + " has not expired" };
    }
    if (!loss.job.repeatable) {
        return { LossAction::Fail,
            "worker " + loss.job.worker
                + " was lost and it is not known whether the job ran; it is not repeatable, so check its "
                  "effect "
                  "before submitting it again" };
    }
    return { LossAction::Requeue,
        "worker " + loss.job.worker + " was lost; a newer fence replaces the lease" };
}

} // namespace celeryline
