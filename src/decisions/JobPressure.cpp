#include "celeryline/decisions/JobPressure.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>

namespace celeryline {

namespace {

const std::int64_t pressurePercent = 95; // Above it, growth between two reports can exceed the worker.

/// @return the next step for a job, or nothing if none is left or the last one is still to have an effect.
std::optional<JobAction> nextAction(const PressedJob& job, Millis now, Millis patience)
{
    if (!job.lastAction) {
        return JobAction::Throttle;
    }
    if (now - job.actionSince < patience || !job.held.repeatable || *job.lastAction == JobAction::Stop) {
        return std::nullopt;
    }
    bool checkpointed = *job.lastAction == JobAction::Checkpoint;
    return job.checkpointable && !checkpointed ? JobAction::Checkpoint : JobAction::Stop;
}

} // namespace

std::vector<JobInstruction> relievePressure(const WorkerPressure& worker, Millis now, Millis patience)
{
    std::vector<JobInstruction> instructions;
    auto excessCpu = worker.usage.cpuMilli - worker.capacity.cpuMilli * pressurePercent / 100;
    auto excessMemory = worker.usage.memoryMb - worker.capacity.memoryMb * pressurePercent / 100;
    auto jobs = worker.jobs;
    std::stable_sort(jobs.begin(), jobs.end(), [](const PressedJob& a, const PressedJob& b) {
        return a.held.borrowed != b.held.borrowed ? a.held.borrowed : a.held.fence > b.held.fence;
    });
    for (const auto& job : jobs) {
        if (job.held.urgent || (excessCpu <= 0 && excessMemory <= 0)) {
            continue;
        }
        auto action = nextAction(job, now, patience);
        if (action) {
            invariant(
                *action != JobAction::Stop || job.held.repeatable, "a non-repeatable job is never stopped");
            instructions.push_back({ job.held.id, worker.worker, job.held.fence, *action,
                excessMemory > 0 ? "the worker is short of " + std::to_string(excessMemory) + " MB"
                                 : "the worker is short of " + std::to_string(excessCpu) + " mCPU" });
        }
        // A step that was taken but has not had an effect yet is counted, so that no more jobs are pressed
        // than needed. A non-repeatable job never frees memory.
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
