#include "celeryline/machines/UpkeepPlan.h"

#include <algorithm>
#include <tuple>

namespace celeryline {
namespace {

/// Minimum number of machines of a pool whose long-running tasks are recalled at the same time. With two, the
/// next recall needn't wait for the next plan when one machine is empty.
constexpr std::uint32_t minLongRunningDrains = 2;

/// @return whether the wave would miss its deadline if only machines of pools with a surplus were selected.
bool isUrgent(std::size_t due, const UpkeepPlanInput& input)
{
    auto rounds = (due + input.maxAtOnce - 1) / input.maxAtOnce;
    // One extra round is planned for machines that can't be drained immediately.
    auto needed = static_cast<std::int64_t>(rounds + 1) * input.timePerRound.count;
    return needed >= input.timeLeft.count;
}

} // namespace

std::vector<std::string> planUpkeep(std::vector<DueMachine> due, UpkeepPlanInput input)
{
    std::sort(due.begin(), due.end(), [](const DueMachine& a, const DueMachine& b) {
        return std::make_tuple(!a.isStandby, !a.hasLongRunningTasks, a.inUse, a.machine)
            < std::make_tuple(!b.isStandby, !b.hasLongRunningTasks, b.inUse, b.machine);
    });
    bool urgent = isUrgent(due.size(), input);
    bool areOthersDue = std::any_of(due.begin(), due.end(),
        [](const DueMachine& machine) { return !machine.isStandby && !machine.hasLongRunningTasks; });
    std::vector<std::string> chosen;
    for (const auto& machine : due) {
        if (input.down + chosen.size() >= input.maxAtOnce)
            break;
        auto& spare = input.spareMilliCores[machine.pool];
        if (!machine.isStandby && !urgent && spare < machine.milliCores)
            continue;
        if (machine.hasLongRunningTasks) {
            auto& draining = input.drainingLongRunning[machine.pool];
            if (areOthersDue && draining >= std::max(minLongRunningDrains, input.recallsAtOnce[machine.pool]))
                continue;
            ++draining;
        }
        if (!machine.isStandby)
            spare -= machine.milliCores;
        chosen.push_back(machine.machine);
    }
    return chosen;
}

} // namespace celeryline
