/// @file
/// Simulates a fleet with rotating load peaks and a maintenance wave, to compare planning policies.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/settings/Settings.h"

#include <string>

namespace celeryline::bench {

/// Planning policies to compare.
enum class Policy : std::uint8_t {
    Decisions, ///< planWave, lendSlots and planReserve.
    StaticPools, ///< A fixed reserve per service; the wave is limited by the reserve and the budget.
    RackAtATime, ///< A fixed reserve per service; the wave stops one rack at a time.
    GreedyFirstFit ///< A shared reserve, first fit by declared demand; the wave follows list order within the
                   ///< budget.
};

/// Parameters of a simulation run.
struct FleetScenario {
    int services = 5;
    int instances = 50;
    int dataCentres = 4;
    unsigned seed = 1;
    Policy policy = Policy::Decisions;
    int reserveInstances = 0; ///< Baselines only: per service, or shared by all services with GreedyFirstFit.
    MaintenanceSettings settings;
};

/// Measurements of a simulation run.
struct FleetResult {
    double bufferCost = 0; ///< Idle instance-hours of the reserve per hour.
    double rollOutSeconds = 0;
    double inTimeShare = 0; ///< Share of all requests answered in time.
    double worstServiceShare = 1; ///< Share of requests answered in time, for the worst service.
    int moves = 0;
    int violations = 0; ///< Planned stops that exceeded the stop budget of a service.
    int abandoned = 0;
    double decisionMillis = 0; ///< Time spent in all decisions.
};

/// Runs a simulation.
/// @param scenario parameters; equal scenarios give equal results, except for decisionMillis.
/// @return the measurements.
FleetResult runFleet(const FleetScenario& scenario);

} // namespace celeryline::bench
