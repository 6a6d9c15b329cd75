#include "celeryline/machines/UpkeepPlan.h"

#include <algorithm>
#include <tuple>

namespace celeryline {
namespace {

/// Whether the wave would be late unless machines are taken without regard to their pools' demand.
bool isUrgent(std::size_t due, const UpkeepSituation& situation)
{
    auto rounds = (due + situation.maxAtOnce - 1) / situation.maxAtOnce;
    // One round is kept back for machines that can't be emptied at once.
    auto needed = static_cast<std::int64_t>(rounds + 1) * situation.timeEach.count;
    return needed >= situation.timeLeft.count;
}

} // namespace

std::vector<std::string> planUpkeep(std::vector<DueMachine> due, UpkeepSituation situation)
{
    std::sort(due.begin(), due.end(), [](const DueMachine& a, const DueMachine& b) {
        return std::make_tuple(!a.isStandby, !a.holdsLasting, a.inUse, a.machine)
            < std::make_tuple(!b.isStandby, !b.holdsLasting, b.inUse, b.machine);
    });
    bool urgent = isUrgent(due.size(), situation);
    std::vector<std::string> chosen;
    for (const auto& machine : due) {
        if (situation.away + chosen.size() >= situation.maxAtOnce)
            break;
        auto& spare = situation.spareCores[machine.pool];
        if (!machine.isStandby && !urgent && spare < machine.cores)
            continue;
        if (!machine.isStandby)
            spare -= machine.cores;
        chosen.push_back(machine.machine);
    }
    return chosen;
}

} // namespace celeryline
