/// @file
/// A small driver that runs the decisions on rotating peaks and a maintenance wave, with fake instances.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/settings/Settings.h"

#include <string>

namespace celeryline::bench {

/// The policies that are compared.
enum class Policy : std::uint8_t {
    Decisions, ///< planWave, lendSlots and planReserve.
    StaticPools, ///< A fixed reserve for each service; a wave as wide as the reserve and the budget.
    RackAtATime, ///< A fixed reserve for each service; a wave that stops one rack after the other.
    GreedyFirstFit ///< One reserve, first fit by declared demand; a wave in list order within the budget.
};

/// One run.
struct FleetScenario {
    int services = 5;
    int instances = 50;
    int dataCentres = 4;
    unsigned seed = 1;
    Policy policy = Policy::Decisions;
    int reserveInstances = 0; ///< Of the baselines: for each service, or shared with GreedyFirstFit.
    MaintenanceSettings settings;
};

/// What one run measures.
struct FleetResult {
    double bufferCost = 0; ///< Idle instance-hours of the reserve in an hour.
    double rollOutSeconds = 0;
    double inTimeShare = 0; ///< Of all requests.
    double worstServiceShare = 1; ///< Requests answered in time of the worst service.
    int moves = 0;
    int violations = 0; ///< Planned stops that brought a service below its budget.
    int abandoned = 0;
    double decisionMillis = 0; ///< Processor time of all decisions.
};

/// @param scenario the run; equal scenarios give equal results but for the processor time.
/// @return its result.
FleetResult runFleet(const FleetScenario& scenario);

} // namespace celeryline::bench
