/// @file
/// Checks whether a runner may take a task, by its demands and earlier failures.
#pragma once

#include "celeryline/jobs/CandidateIndex.h"
#include "celeryline/jobs/JobState.h"
#include "celeryline/jobs/WaitReason.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace celeryline {

/// @param candidate a runner.
/// @param label a label.
/// @return whether the runner has it.
inline bool hasLabel(const PlacementCandidate& candidate, const std::string& label)
{
    return std::find(candidate.labels.begin(), candidate.labels.end(), label) != candidate.labels.end();
}

/// Checks a runner against the demands of a step. Inline, because a plan calls it for each pair of runner and
/// task.
/// @param spec a step.
/// @param candidate a runner.
/// @param tasksHere number of tasks of the step on the runner.
/// @return why the runner can't take another task of the step, or HasRoom.
inline WaitReason checkDemand(
    const StepSpec& spec, const PlacementCandidate& candidate, std::int64_t tasksHere)
{
    if (!spec.requiredLabel.empty() && !hasLabel(candidate, spec.requiredLabel))
        return WaitReason::MissingLabel;
    auto demand = reservedBy(spec);
    if (demand.cpuMilli > candidate.free.cpuMilli)
        return WaitReason::LittleCpu;
    if (demand.memoryMb > candidate.free.memoryMb)
        return WaitReason::LittleMemory;
    if (demand.accelerators > candidate.free.accelerators)
        return WaitReason::FewAccelerators;
    bool isAtLimit = spec.maxPerRunner != 0 && tasksHere >= spec.maxPerRunner;
    return isAtLimit ? WaitReason::TaskLimit : WaitReason::HasRoom;
}

/// @param step state of a step.
/// @return the number of its active runs on each runner, by runner id.
std::map<std::string, std::uint32_t> tasksByRunner(const StepState& step);

/// @param spec a step.
/// @param candidate a runner.
/// @param tasksHere number of tasks of the step on the runner.
/// @param maxCount limit on the result.
/// @return how many more tasks of the step fit on the runner.
std::int64_t tasksThatFit(
    const StepSpec& spec, PlacementCandidate candidate, std::int64_t tasksHere, std::int64_t maxCount);

/// Steady time of the last failure of a task on each runner, by runner id.
using FailureTimes = std::map<std::string, Millis>;

/// How long a failed task waits for capacity on other runners. Most tasks end sooner and free their capacity.
constexpr Millis failedRunnerBackoff { 2000 };

/// @param failures failures of a task; null if it has none.
/// @param runner id of a runner.
/// @return whether the task failed there.
inline bool hasFailedOn(const FailureTimes* failures, const std::string& runner)
{
    return failures != nullptr && failures->count(runner) != 0;
}

/// @param failures failures of a task.
/// @param now steady time.
/// @param spec the task's step.
/// @param runner id of a runner on which it failed.
/// @param pool runners that accept tasks.
/// @return whether the task should still wait for another runner of the pool.
inline bool mustAvoid(const FailureTimes& failures, Millis now, const StepSpec& spec,
    const std::string& runner, const CandidatePool& pool)
{
    if (now >= failures.at(runner) + failedRunnerBackoff)
        return false;
    return std::any_of(pool.begin(), pool.end(), [&](const PlacementCandidate* other) {
        return failures.count(other->incarnation.runner) == 0
            && (spec.requiredLabel.empty() || hasLabel(*other, spec.requiredLabel));
    });
}

} // namespace celeryline
