/// @file
/// The decision which instances of a maintenance wave may stop now.
#pragma once

#include "celeryline/decisions/StopBudget.h"
#include "celeryline/settings/Settings.h"

#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// The fleet and the progress of one wave.
struct WaveInput {
    FleetView fleet;
    std::set<std::string> pending; ///< Instances still to be maintained, including those in progress.
    std::set<std::string> completed;
    std::set<std::string> abandoned;
};

/// One instance with what was decided about it and why.
struct WaveStep {
    std::string instance;
    std::string dataCentre;
    std::string reason;
};

/// What a wave does now.
struct WaveDecision {
    std::vector<WaveStep> grants; ///< Permits to grant, in this order.
    std::vector<WaveStep> waits;
    std::vector<WaveStep> abandons; ///< No longer waited for; they still count as down.
    bool halted = false; ///< Nothing is granted or in progress; checked again at the next interval.
    std::string haltReason;
    bool done = false; ///< Nothing is pending after the abandons.
};

/// Decides which instances of a wave get a stop permit now: rack by rack within each data centre, as wide as
/// the budget of each service permits, counting everything that is down for any cause. The result depends
/// on nothing else, so a halted wave resumes and a wide wave shrinks by itself.
/// @param input the fleet and the wave.
/// @param now the current time (log entry time).
/// @param settings timeouts and the weights of the objective.
/// @return the decision.
/// @throws Error if the grants would exceed a budget (a fault of this function).
///
/// Example: `for (const auto& step : planWave(input, now, settings.maintenance).grants) { grantPermit(step);
/// }`
WaveDecision planWave(const WaveInput& input, Millis now, const MaintenanceSettings& settings);

/// @param allowedDown budget of a service in instances.
/// @param settings weights of the objective.
/// @return how much of it waves leave unused for failures in mid-wave: up to half when buffer cost has all
/// the weight, nothing when roll-out time has. At least one stop remains possible.
int waveReserveOf(int allowedDown, const MaintenanceSettings& settings);

} // namespace celeryline
