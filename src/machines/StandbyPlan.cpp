#include "celeryline/machines/StandbyPlan.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace celeryline {
namespace {

/// What of a pool's demand and machines matters here, in thousandths of a core.
struct PoolState {
    std::int64_t pinned = 0; ///< Capacity of machines that stay in the pool, less long-running tasks.
    std::int64_t free = 0; ///< Capacity of the other machines.
    std::uint32_t machines = 0;
    std::uint32_t minMachines = 0;
    std::int64_t current = 0; ///< Finite demand now.
    std::int64_t predicted = 0; ///< Finite demand when a machine that returns now is up.
    std::int64_t kept = 0; ///< Free capacity that stays in the pool.
    std::map<std::string, std::uint32_t> kinds; ///< Free machines of each kind.
    std::map<std::string, std::uint32_t> racks; ///< Free machines in each rack.

    std::int64_t need(std::int64_t demand) const { return std::max<std::int64_t>(0, demand - pinned); }
};

using PoolStates = std::map<std::string, PoolState>;

std::int64_t demandOf(const DemandSample& sample, const std::string& pool)
{
    auto found = sample.highest.find(pool);
    return found == sample.highest.end() ? 0 : found->second;
}

/// @return the highest demand of a pool in the samples that began in a period.
std::int64_t highestDemand(const DemandHistory& history, const std::string& pool, Millis from, Millis until)
{
    std::int64_t highest = 0;
    for (const auto& sample : history.samples()) {
        if (sample.from >= from && sample.from <= until)
            highest = std::max(highest, demandOf(sample, pool));
    }
    return highest;
}

/// Time over which a rise of the demand is measured.
constexpr Millis riseTime { 1000 };

/// @return the demand of a pool after the time that a machine needs to return: what it was then one rotation
/// ago, or what it will be if it goes on to rise as it does now. A rise ends at the highest demand that was
/// known before, unless it is beyond that already.
std::int64_t predict(const StandbyPlanInput& input, const std::string& pool, std::int64_t current)
{
    const auto& history = *input.history;
    auto recently = input.now - riseTime;
    auto before = highestDemand(history, pool, recently - riseTime - riseTime, recently);
    auto rise = std::max<std::int64_t>(0, current - before) * input.returnTime.count / riseTime.count;
    auto known = highestDemand(history, pool, {}, recently);
    auto limit = current <= known ? known : 2 * current;
    auto predicted = std::min(current + rise, limit);
    if (history.rotation().count == 0)
        return predicted;
    auto then = input.now + input.returnTime - history.rotation();
    return std::max(predicted, highestDemand(history, pool, then - riseTime, then + riseTime));
}

PoolStates statesOf(const StandbyPlanInput& input, const StandbyPlanOptions& options)
{
    PoolStates states;
    for (const auto& demand : input.demands) {
        auto& state = states[demand.pool];
        state.current = finiteMilliCores(demand, options.poolPlan);
        state.predicted = predict(input, demand.pool, state.current);
        state.minMachines = demand.minMachines;
        state.pinned = -(wantedWithoutDependents(demand, options.poolPlan) - state.current);
    }
    for (const auto& machine : input.machines) {
        if (machine.base.isStandby)
            continue;
        auto& state = states[machine.base.pool];
        ++state.machines;
        if (machine.base.isPinned) {
            state.pinned += machine.base.milliCores;
            continue;
        }
        state.free += machine.base.milliCores;
        ++state.kinds[machine.kind];
        ++state.racks[machine.rack];
    }
    auto due = input.now + input.returnTime + options.poolPlan.horizon;
    for (auto& [pool, state] : states) {
        auto from = input.history->isPeakDue(pool, due) ? Millis {} : input.now - options.poolPlan.horizon;
        state.kept
            = state.need(std::max(highestDemand(*input.history, pool, from, input.now), state.predicted));
    }
    return states;
}

/// @return the highest sum of the needs of all pools in the samples that began until a time.
std::int64_t highestNeed(const StandbyPlanInput& input, const PoolStates& states, Millis until)
{
    std::int64_t highest = 0;
    for (const auto& sample : input.history->samples()) {
        if (sample.from > until)
            break;
        std::int64_t sum = 0;
        for (const auto& [pool, state] : states)
            sum += state.need(demandOf(sample, pool));
        highest = std::max(highest, sum);
    }
    return highest;
}

bool hasShortage(const StandbyPlanInput& input, const PoolStates& states)
{
    std::int64_t largest = 0;
    for (const auto& machine : input.machines)
        largest = std::max(largest, machine.base.milliCores);
    return std::any_of(states.begin(), states.end(), [&](const auto& entry) {
        const auto& state = entry.second;
        return state.need(state.current) >= state.free + std::max<std::int64_t>(1, largest / 2)
            || state.machines < state.minMachines;
    });
}

StandbyHold holdOf(const StandbyPlanInput& input, const StandbyPlanOptions& options, const PoolStates& states)
{
    if (!options.isEnabled || input.standbyPool.empty())
        return StandbyHold::NoPool;
    if (input.hold != StandbyHold::None)
        return input.hold;
    if (!input.history->isComplete(input.now))
        return StandbyHold::Learning;
    bool isLate = false;
    bool isWaiting = false;
    for (const auto& demand : input.demands) {
        isLate = isLate || demand.lateBacklog > 0;
        isWaiting = isWaiting || demand.needsMachine;
    }
    if (isLate)
        return StandbyHold::LateWork;
    if (isWaiting)
        return StandbyHold::WaitingTask;
    return hasShortage(input, states) ? StandbyHold::Shortage : StandbyHold::None;
}

/// Moves machines from the standby pool while the pools need more than is on.
void planReturns(const StandbyPlanInput& input, std::int64_t needed, PoolStates& states, StandbyPlan& plan)
{
    for (const auto& machine : input.machines) {
        if (!machine.base.isStandby || machine.base.isPinned)
            continue;
        if (plan.on + machine.base.milliCores / 2 > needed)
            return;
        auto gap = [](const PoolState& state) {
            return std::make_pair(state.need(state.predicted) - state.free, state.kept - state.free);
        };
        auto recipient = std::max_element(states.begin(), states.end(),
            [&](const auto& a, const auto& b) { return gap(a.second) < gap(b.second); });
        if (recipient == states.end())
            return;
        recipient->second.free += machine.base.milliCores;
        plan.on += machine.base.milliCores;
        plan.moves.push_back({ machine.base.machine, recipient->first });
    }
}

bool canSend(const StandbyCandidate& machine, const PoolState& state, const StandbyPlanOptions& options)
{
    if (state.machines <= state.minMachines + 1 || state.free - machine.base.milliCores < state.kept)
        return false;
    if (state.kinds.at(machine.kind) <= options.minPerKind)
        return false;
    return !machine.isRackNamed || state.racks.at(machine.rack) > options.minPerKind;
}

/// @return the named kinds of which no machine may be sent, because half of them are on standby or would be.
std::set<std::string> scarceKinds(const StandbyPlanInput& input, const std::set<std::string>& chosen)
{
    std::map<std::string, std::pair<std::size_t, std::size_t>> counts; // All machines of a kind, those off.
    for (const auto& machine : input.machines) {
        if (!machine.isKindNamed)
            continue;
        auto& [all, off] = counts[machine.kind];
        ++all;
        off += machine.base.isStandby || chosen.count(machine.base.machine) != 0 ? 1 : 0;
    }
    std::set<std::string> scarce;
    for (const auto& [kind, count] : counts) {
        if (2 * (count.second + 1) > count.first)
            scarce.insert(kind);
    }
    return scarce;
}

/// @return the best idle machine to send, or null.
const StandbyCandidate* chooseMachine(const StandbyPlanInput& input, const StandbyPlanOptions& options,
    const PoolStates& states, std::int64_t surplus, const std::set<std::string>& chosen)
{
    const StandbyCandidate* best = nullptr;
    auto scarce = scarceKinds(input, chosen);
    auto rank = [&](const StandbyCandidate& machine) {
        const auto& state = states.at(machine.base.pool);
        auto inRack = static_cast<std::int64_t>(state.racks.at(machine.rack));
        // Racks that no job named are emptied one after the other, so that the others stay whole for steps
        // that share a rack; machines of named racks are taken evenly.
        return std::make_tuple(machine.isKindNamed, machine.isRackNamed,
            machine.isRackNamed ? -inRack : inRack, -(state.free - state.kept), machine.base.machine);
    };
    for (const auto& machine : input.machines) {
        const auto& base = machine.base;
        bool isIdle
            = !base.isStandby && !base.isPinned && !base.isNewInPool && base.isEmpty && base.inUse == 0;
        if (!isIdle || !machine.mayBeSent || base.milliCores > surplus || chosen.count(base.machine) != 0
            || scarce.count(machine.kind) != 0 || !canSend(machine, states.at(base.pool), options))
            continue;
        if (best == nullptr || rank(machine) < rank(*best))
            best = &machine;
    }
    return best;
}

void planSends(
    const StandbyPlanInput& input, const StandbyPlanOptions& options, PoolStates& states, StandbyPlan& plan)
{
    std::set<std::string> chosen;
    while (plan.sent < input.maxSent) {
        const auto* machine = chooseMachine(input, options, states, plan.on - plan.wanted, chosen);
        if (machine == nullptr)
            return;
        auto& state = states[machine->base.pool];
        state.free -= machine->base.milliCores;
        --state.machines;
        --state.kinds[machine->kind];
        --state.racks[machine->rack];
        chosen.insert(machine->base.machine);
        plan.on -= machine->base.milliCores;
        plan.moves.push_back({ machine->base.machine, input.standbyPool });
        ++plan.sent;
    }
}

} // namespace

const char* standbyHoldName(StandbyHold hold)
{
    switch (hold) {
    case StandbyHold::None:
        return "none";
    case StandbyHold::NoPool:
        return "no-pool";
    case StandbyHold::Settling:
        return "settling";
    case StandbyHold::Learning:
        return "learning";
    case StandbyHold::MachinesLost:
        return "machines-lost";
    case StandbyHold::ProviderLost:
        return "provider-lost";
    case StandbyHold::LateWork:
        return "late-work";
    case StandbyHold::WaitingTask:
        return "waiting-task";
    case StandbyHold::Shortage:
        return "shortage";
    case StandbyHold::Returned:
        return "returned";
    }
    return "";
}

std::int64_t finiteMilliCores(PoolDemand demand, const PoolPlanOptions& options)
{
    demand.longRunning = 0;
    return wantedWithoutDependents(demand, options);
}

StandbyPlan planStandby(const StandbyPlanInput& input, const StandbyPlanOptions& options)
{
    StandbyPlan plan;
    auto states = statesOf(input, options);
    std::int64_t current = 0;
    std::int64_t predicted = 0;
    for (const auto& [pool, state] : states) {
        plan.on += state.free;
        current += state.need(state.current);
        predicted += state.need(state.predicted);
    }
    // Where one pool's peak ends and the next one's begins, both are predicted at their peaks. The sum was
    // never above the highest one so far, unless the demand is above that already.
    auto known = highestNeed(input, states, input.now - riseTime);
    auto needed = current <= known ? std::min(known, predicted) : predicted;
    auto highest = std::max(needed, highestNeed(input, states, input.now)) + input.upkeepMilliCores;
    plan.wanted = static_cast<std::int64_t>(static_cast<double>(highest) * options.reserveFactor);
    plan.hold = holdOf(input, options, states);
    bool mayReturn = plan.hold != StandbyHold::NoPool && plan.hold != StandbyHold::ProviderLost
        && input.history->isComplete(input.now);
    if (mayReturn)
        planReturns(input, needed, states, plan);
    if (plan.moves.empty() && plan.hold == StandbyHold::None)
        planSends(input, options, states, plan);
    return plan;
}

} // namespace celeryline
