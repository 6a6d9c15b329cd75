#include "celeryline/machines/MachineProvider.h"

#include <algorithm>
#include <tuple>

namespace celeryline {
namespace {

bool couldEverFitStep(const MachineKind& kind, const StepSpec& step)
{
    auto demand = reservedBy(step);
    const auto& labels = kind.labels;
    bool hasLabel = step.requiredLabel.empty()
        || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
    return hasLabel && demand.cpuMilli <= kind.capacity.cpuMilli && demand.memoryMb <= kind.capacity.memoryMb
        && demand.accelerators <= kind.capacity.accelerators;
}

} // namespace

bool operator<(const MachineKind& a, const MachineKind& b)
{
    return std::tie(a.capacity.cpuMilli, a.capacity.memoryMb, a.capacity.accelerators, a.labels)
        < std::tie(b.capacity.cpuMilli, b.capacity.memoryMb, b.capacity.accelerators, b.labels);
}

bool couldEverFit(const std::set<MachineKind>& kinds, const JobSpec& job)
{
    return std::all_of(job.steps.begin(), job.steps.end(), [&](const StepSpec& step) {
        return std::any_of(kinds.begin(), kinds.end(),
            [&](const MachineKind& kind) { return couldEverFitStep(kind, step); });
    });
}

} // namespace celeryline
