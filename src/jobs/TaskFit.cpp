#include "celeryline/jobs/TaskFit.h"

namespace celeryline {

std::map<std::string, std::uint32_t> tasksByRunner(const StepState& step)
{
    std::map<std::string, std::uint32_t> onRunner;
    for (const auto& task : step.tasks) {
        for (const auto& run : task.runs)
            ++onRunner[run.incarnation.runner];
    }
    return onRunner;
}

std::int64_t tasksThatFit(
    const StepSpec& spec, PlacementCandidate candidate, std::int64_t tasksHere, std::int64_t maxCount)
{
    std::int64_t count = 0;
    while (count < maxCount && checkDemand(spec, candidate, tasksHere + count) == WaitReason::HasRoom) {
        candidate.free -= reservedBy(spec);
        ++count;
    }
    return count;
}

} // namespace celeryline
