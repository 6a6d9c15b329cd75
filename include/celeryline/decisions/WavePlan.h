/// @file
/// Selection of the instances of a maintenance wave that may stop now.
#pragma once

#include "celeryline/decisions/StopBudget.h"
#include "celeryline/settings/Settings.h"

#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// State of the fleet and progress of one wave.
struct WaveInput {
    FleetView fleet;
    std::set<std::string> pending; ///< Instances still to be maintained, including those in progress.
    std::set<std::string> completed;
    std::set<std::string> abandoned;
};

/// Decision on one instance, with the reason.
struct WaveStep {
    std::string instance;
    std::string dataCentre;
    std::string reason;
};

/// Decision on all pending instances of a wave.
struct WaveDecision {
    std::vector<WaveStep> grants; ///< Permits to grant, in this order.
    std::vector<WaveStep> waits;
    /// Instances that the wave no longer waits for; they still count as down.
    std::vector<WaveStep> abandons;
    bool halted = false; ///< Nothing is granted or in progress. It is checked again at the next interval.
    std::string haltReason;
    bool done = false; ///< No instance is pending, apart from the abandoned ones.
};

/// Selects the instances of a wave that get a stop permit now: rack by rack within each data centre, and as
/// many as the budget of each service permits, counting instances that are down for any cause. The decision
/// is computed from the current state only, so a halted wave resumes, and a wave slows down after failures,
/// without further action.
/// @param input the fleet and the wave.
/// @param now the current time (log entry time).
/// @param settings timeouts and the weights of the objective.
/// @return the decision.
/// @throws Error if the grants would exceed a budget, which is a bug in this function.
///
/// Example: `for (const auto& step : planWave(input, now, settings.maintenance).grants) { grantPermit(step);
/// }`
WaveDecision planWave(const WaveInput& input, Millis now, const MaintenanceSettings& settings);

/// @param allowedDown budget of a service in instances.
/// @param settings weights of the objective.
/// @return the part of the budget that waves leave unused for failures: half if buffer cost has all the
/// weight, nothing if roll-out time has. At least one stop remains possible.
int waveReserve(int allowedDown, const MaintenanceSettings& settings);

} // namespace celeryline
