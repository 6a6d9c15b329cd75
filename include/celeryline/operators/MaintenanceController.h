/// @file
/// Drives maintenance waves and moves on the leader.
#pragma once

#include "celeryline/consensus/Store.h"
#include "celeryline/decisions/WavePlan.h"
#include "celeryline/fleet/FleetCommand.h"
#include "celeryline/fleet/FleetReader.h"
#include "celeryline/settings/Settings.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace celeryline {

/// Drives maintenance waves and moves. Runs on every entry instance and acts only on the leader. Everything
/// it needs to go on is in the fleet state, so a new leader continues where the old one stopped. Called from
/// one thread.
class MaintenanceController {
public:
    /// Decides about one wave; planWave() unless a test gives another one.
    using Planner = std::function<WaveDecision(const WaveInput&, Millis now, const MaintenanceSettings&)>;
    /// Gives the data centres that callers can reach from here.
    using ReachableDataCentres = std::function<std::set<std::string>()>;

    /// @param settings intervals and timeouts.
    /// @param store tells whether this is the leader and takes the commands.
    /// @param fleet gives the state.
    /// @param reachable gives the reachable data centres. All must outlive this object.
    /// @param planner decides about one wave.
    MaintenanceController(const MaintenanceSettings& settings, Store& store, const FleetReader& fleet,
        ReachableDataCentres reachable, Planner planner = planWave);

    /// Looks at all instances and waves once and submits what follows. To be called every
    /// maintenance.intervalMs.
    /// @param now the current time of the steady clock.
    void step(Millis now);

    /// @return why a wave is halted, by its name; empty on other instances than the leader.
    const std::map<std::string, std::string>& haltReasons() const { return m_haltReasons; }

private:
    /// When this process first saw an instance in its present phase. Timeouts are measured with the steady
    /// clock from here, because log entry times jump when a leader's wall clock does.
    struct PhaseTimer {
        Millis enteredAt; ///< Log entry time of the phase, to recognise a new one.
        InstancePhase phase = InstancePhase::Serving;
        Millis since; ///< Steady time.
    };

    void trackPhases(const FleetState& fleet, Millis now);
    FleetView viewOf(const FleetState& fleet, Millis now) const;
    void advanceInstances();
    void permitMoves(Millis now);
    void advanceWave(const std::string& name, Millis now);
    void grant(const std::string& wave, const std::vector<std::string>& instances, std::uint64_t revision);
    void noteHalt(const std::string& wave, const std::string& reason);
    void submit(const FleetCommand& command);

    const MaintenanceSettings m_settings;
    Store& m_store;
    const FleetReader& m_fleet;
    const ReachableDataCentres m_reachable;
    const Planner m_planner;
    std::map<std::string, PhaseTimer> m_timers;
    std::map<std::string, std::string> m_haltReasons;
};

} // namespace celeryline
