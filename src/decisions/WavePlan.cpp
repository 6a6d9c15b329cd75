#include "celeryline/decisions/WavePlan.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>
#include <tuple>

namespace celeryline {

namespace {

/// A pending instance that may stop now if its budget permits it.
struct Candidate {
    const FleetInstance* instance;
    int downInRack; ///< Racks with stops in progress are finished first.
};

std::string seconds(Millis span) { return std::to_string(span.count / 1000) + " s"; }

/// @return how long an instance may stay in a phase before the wave stops waiting for it.
Millis phaseTimeout(InstancePhase phase, const MaintenanceSettings& settings)
{
    switch (phase) {
    case InstancePhase::Draining:
        return settings.drainTimeout;
    case InstancePhase::Moving: // It drains and may then restart in its new pool.
        return settings.drainTimeout + settings.rebootTimeout;
    case InstancePhase::Serving:
    case InstancePhase::Rebooting:
    case InstancePhase::Failed:
        break;
    }
    return settings.rebootTimeout;
}

void addStop(ServiceAvailability& availability, const std::string& dataCentre)
{
    --availability.available;
    ++availability.down[DownCause::Permitted];
    ++availability.stoppedByDataCentre[dataCentre];
}

/// Counts abandoned instances as failed instead of as planned stops. They still count against the budget, but
/// would otherwise use up the share of their data centre until they are repaired.
void releaseShares(const WaveInput& input, const std::vector<WaveStep>& abandons,
    std::map<std::string, ServiceAvailability>& availability)
{
    auto abandoned = input.abandoned;
    for (const auto& step : abandons) {
        abandoned.insert(step.instance);
    }
    for (const auto& instance : input.fleet.instances) {
        bool stopped = instance.phase != InstancePhase::Serving && instance.phase != InstancePhase::Failed;
        if (stopped && abandoned.count(instance.name) > 0) {
            --availability[budgetName(instance)].stoppedByDataCentre[instance.dataCentre];
        }
    }
}

/// Sorts the pending instances into candidates, waits and abandons.
/// @return the candidates, and whether an instance of the wave is in progress.
std::pair<std::vector<Candidate>, bool> sortPending(
    const WaveInput& input, Millis now, const MaintenanceSettings& settings, WaveDecision& decision)
{
    auto permitted = detail::permittedInstances(input.fleet, now);
    std::vector<Candidate> candidates;
    std::map<std::pair<std::string, std::string>, int> downInRack;
    std::set<std::string> known;
    bool inProgress = false;
    for (const auto& instance : input.fleet.instances) {
        auto cause = detail::downCauseOf(instance, permitted, input.fleet.reachableDataCentres);
        if (cause != DownCause::Up) {
            ++downInRack[{ instance.dataCentre, instance.rack }];
        }
        if (input.pending.count(instance.name) == 0) {
            continue;
        }
        known.insert(instance.name);
        auto inPhase = now - instance.phaseSince;
        bool hasTimedOut
            = instance.phase != InstancePhase::Serving && inPhase >= phaseTimeout(instance.phase, settings);
        if (cause == DownCause::Up) {
            candidates.push_back({ &instance, 0 });
        } else if (hasTimedOut) {
            decision.abandons.push_back({ instance.name, instance.dataCentre,
                std::string(downCauseName(cause)) + " for " + seconds(inPhase)
                    + ", no longer waited for; it still counts as down" });
        } else {
            inProgress = inProgress || cause == DownCause::Permitted || cause == DownCause::Draining
                || cause == DownCause::Rebooting;
            decision.waits.push_back(
                { instance.name, instance.dataCentre, std::string("it is ") + downCauseName(cause) });
        }
    }
    for (const auto& name : input.pending) {
        if (known.count(name) == 0) {
            decision.abandons.push_back({ name, "", "it was removed from the fleet" });
        }
    }
    for (auto& candidate : candidates) {
        candidate.downInRack = downInRack[{ candidate.instance->dataCentre, candidate.instance->rack }];
    }
    return { candidates, inProgress };
}

} // namespace

int waveReserve(int allowedDown, const MaintenanceSettings& settings)
{
    double weights = settings.bufferCostWeight + settings.rollOutTimeWeight;
    double bufferCostFraction = weights > 0 ? settings.bufferCostWeight / weights : 0;
    return std::max(0, std::min(allowedDown - 1, static_cast<int>(allowedDown * bufferCostFraction / 2)));
}

WaveDecision planWave(const WaveInput& input, Millis now, const MaintenanceSettings& settings)
{
    WaveDecision decision;
    auto availability = availabilityOf(input.fleet, now);
    auto [candidates, inProgress] = sortPending(input, now, settings, decision);
    releaseShares(input, decision.abandons, availability);
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return std::tie(b.downInRack, a.instance->rack, a.instance->dataCentre, a.instance->name)
            < std::tie(a.downInRack, b.instance->rack, b.instance->dataCentre, b.instance->name);
    });

    std::string firstBlocked;
    for (const auto& candidate : candidates) {
        const auto& instance = *candidate.instance;
        auto service = budgetName(instance);
        auto& budget = availability[service];
        auto verdict = detail::checkStop(
            service, budget, instance.dataCentre, waveReserve(budget.allowedDown, settings));
        if (verdict.allowed) {
            addStop(budget, instance.dataCentre);
            decision.grants.push_back({ instance.name, instance.dataCentre, verdict.reason });
            invariant(budget.remaining() >= 0, "a wave stops no more instances than the budget allows");
        } else {
            firstBlocked = firstBlocked.empty() ? verdict.reason : firstBlocked;
            decision.waits.push_back({ instance.name, instance.dataCentre, verdict.reason });
        }
    }

    decision.done = decision.grants.empty() && decision.waits.empty();
    decision.halted = !decision.done && decision.grants.empty() && !inProgress;
    if (decision.halted) {
        decision.haltReason
            = firstBlocked.empty() ? "every pending instance is down for another cause" : firstBlocked;
    }
    return decision;
}

} // namespace celeryline
