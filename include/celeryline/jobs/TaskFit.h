/// @file
/// Whether a runner may take a task, by the task's demands and its earlier failures.
#pragma once

#include "celeryline/jobs/RoomIndex.h"
#include "celeryline/jobs/WaitReason.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace celeryline {

/// @param room room on a runner.
/// @param label a label.
/// @return whether the runner has it.
inline bool hasLabel(const RunnerRoom& room, const std::string& label)
{
    return std::find(room.labels.begin(), room.labels.end(), label) != room.labels.end();
}

/// Checks what a step demands of a runner. Inline, because a plan checks it for each runner and task.
/// @param spec a step.
/// @param room room on a runner.
/// @param here how many tasks of the step the runner holds.
/// @return why the runner can't take one more task of the step, or HasRoom.
inline WaitReason checkDemand(const StepSpec& spec, const RunnerRoom& room, std::int64_t here)
{
    if (!spec.requiredLabel.empty() && !hasLabel(room, spec.requiredLabel))
        return WaitReason::MissingLabel;
    auto demand = reservedBy(spec);
    if (demand.cpuMilli > room.free.cpuMilli)
        return WaitReason::LittleCpu;
    if (demand.memoryMb > room.free.memoryMb)
        return WaitReason::LittleMemory;
    if (demand.accelerators > room.free.accelerators)
        return WaitReason::FewAccelerators;
    bool isAtLimit = spec.maxPerRunner != 0 && here >= spec.maxPerRunner;
    return isAtLimit ? WaitReason::TaskLimit : WaitReason::HasRoom;
}

/// When a task last failed on each runner where it did, by the runner's id; steady time.
using FailureTimes = std::map<std::string, Millis>;

/// How long a task waits for room on a runner where it didn't fail; most tasks end sooner and leave theirs.
constexpr Millis waitAfterFailure { 2000 };

/// @param failures when a task failed on each runner; null if it didn't fail.
/// @param runner id of a runner.
/// @return whether the task failed there.
inline bool hasFailedOn(const FailureTimes* failures, const std::string& runner)
{
    return failures != nullptr && failures->count(runner) != 0;
}

/// @param failures when a task failed on each runner.
/// @param now steady time.
/// @param spec the task's step.
/// @param runner id of a runner on which it failed.
/// @param pool runners that take tasks.
/// @return whether the task still waits for another runner of the pool.
inline bool mustAvoid(const FailureTimes& failures, Millis now, const StepSpec& spec,
    const std::string& runner, const RoomPool& pool)
{
    if (now >= failures.at(runner) + waitAfterFailure)
        return false;
    return std::any_of(pool.begin(), pool.end(), [&](const RunnerRoom* other) {
        return failures.count(other->life.runner) == 0
            && (spec.requiredLabel.empty() || hasLabel(*other, spec.requiredLabel));
    });
}

} // namespace celeryline
