/// @file
/// Specification of a job and its steps, as submitted by a caller.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/jobs/JobId.h"
#include "celeryline/registry/Announcement.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// One step of a job: a number of identical tasks.
struct StepSpec {
    std::uint32_t count = 1;
    Resources demand; ///< Resources per task.
    Millis estimate; ///< The caller's estimate of a task's duration.
    std::vector<std::uint32_t> after; ///< Steps that must be complete before this one starts.
    bool savesProgress = false; ///< A run can resume from the checkpoint of an earlier run.
    bool isGang = false; ///< The tasks must run simultaneously.
    bool sameRack = false; ///< The tasks run slower when spread over several racks.
    std::string requiredLabel; ///< Label that a runner must have to run the tasks; empty for none.
    std::string dataRack; ///< Rack that stores the input data; tasks run slower elsewhere. Empty for none.
    std::uint32_t maxPerRunner = 0; ///< Limit on concurrent tasks of the step per runner; 0 for none.
    bool isSpeculative = false; ///< A task may have several concurrent runs; the first to finish counts.
    bool isLongRunning = false; ///< The tasks run until the job is cancelled, and restart whenever they end.
    std::string image; ///< Image that the tasks run; tasks of one image behave alike.
    Millis targetLatency; ///< Limit on the tail latency that the task's clients see; 0 for none.
    bool isBestEffort = false; ///< Uses CPU time that others leave idle, without a reservation.
    /// Limit on tasks that are unavailable at once because of orders of the control plane.
    std::uint32_t maxUnavailable = 0;
};

/// Specification of a job.
struct JobSpec {
    JobId id;
    std::string queue; ///< Key of its queue, see QueueSettings.
    std::string payload; ///< Opaque; passed to the runner with each start.
    std::vector<StepSpec> steps;
    /// Number of scheduled occurrences of the steps; 0 for a job that runs once, immediately.
    std::uint32_t occurrences = 0;
    Millis firstDue; ///< Wall time at which occurrence 0 is due.
    Millis period; ///< Interval between the due times of consecutive occurrences.
    std::string customer; ///< Name of the customer that submitted it; empty for none.
};

/// @param step a step.
/// @return what one task of the step reserves on a runner.
inline Resources reservedBy(const StepSpec& step)
{
    auto reserved = step.demand;
    if (step.isBestEffort)
        reserved.cpuMilli = 0;
    return reserved;
}

/// @return the smaller one of two amounts, for each resource.
inline Resources componentwiseMin(const Resources& a, const Resources& b)
{
    return { std::min(a.cpuMilli, b.cpuMilli), std::min(a.memoryMb, b.memoryMb),
        std::min(a.accelerators, b.accelerators) };
}

} // namespace celeryline
