/// @file
/// Whether a runner may take a task, by the task's demands and its earlier failures.
#pragma once

#include "celeryline/jobs/RoomIndex.h"
#include "celeryline/jobs/WaitReason.h"

#include <algorithm>
#include <cstdint>
#include <set>
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

/// @param failedOn runners on which a task failed; null if there are none.
/// @param spec the task's step.
/// @param runner id of a runner.
/// @param pool runners that take tasks.
/// @return whether the task failed on the runner and another one of the pool may run it.
inline bool mustAvoid(const std::set<std::string>* failedOn, const StepSpec& spec, const std::string& runner,
    const RoomPool& pool)
{
    if (failedOn == nullptr || failedOn->count(runner) == 0)
        return false;
    return std::any_of(pool.begin(), pool.end(), [&](const RunnerRoom* other) {
        return failedOn->count(other->life.runner) == 0
            && (spec.requiredLabel.empty() || hasLabel(*other, spec.requiredLabel));
    });
}

} // namespace celeryline
