#include "celeryline/machines/MachineProvider.h"

#include <algorithm>

namespace celeryline {
namespace {

bool couldHoldStep(const MachineInfo& machine, const StepSpec& step)
{
    auto demand = reservedBy(step);
    const auto& labels = machine.labels;
    bool hasLabel = step.requiredLabel.empty()
        || std::find(labels.begin(), labels.end(), step.requiredLabel) != labels.end();
    return hasLabel && demand.cpuMilli <= machine.capacity.cpuMilli
        && demand.memoryMb <= machine.capacity.memoryMb
        && demand.accelerators <= machine.capacity.accelerators;
}

} // namespace

bool couldHold(const std::vector<MachineInfo>& machines, const JobSpec& job)
{
    return std::all_of(job.steps.begin(), job.steps.end(), [&](const StepSpec& step) {
        return std::any_of(machines.begin(), machines.end(),
            [&](const MachineInfo& machine) { return couldHoldStep(machine, step); });
    });
}

} // namespace celeryline
