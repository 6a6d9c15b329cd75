/// @file
/// Controller for maintenance waves and instance moves.
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

/// Advances maintenance waves and moves of instances between pools. Runs on every entry instance but acts
/// only on the leader. All progress is stored in the fleet state, so a new leader continues where the
/// previous one stopped. Not thread-safe.
class MaintenanceController {
public:
    /// Decides the next steps of one wave. Tests replace the default, planWave().
    using Planner = std::function<WaveDecision(const WaveInput&, Millis now, const MaintenanceSettings&)>;
    /// Returns the data centres that are reachable from this instance.
    using ReachableDataCentres = std::function<std::set<std::string>()>;

    /// @param settings intervals and timeouts.
    /// @param store reports leadership and accepts commands. Must outlive this object.
    /// @param fleet provides the fleet state. Must outlive this object.
    /// @param reachable returns the reachable data centres. What it refers to must outlive this object.
    /// @param planner decides the next steps of one wave.
    MaintenanceController(const MaintenanceSettings& settings, Store& store, const FleetReader& fleet,
        ReachableDataCentres reachable, Planner planner = planWave);

    /// Evaluates all instances and waves once and submits the resulting commands. Call it every
    /// maintenance.intervalMs.
    /// @param now current steady-clock time.
    void step(Millis now);

    /// @return halt reasons by wave name; empty unless this instance is the leader.
    const std::map<std::string, std::string>& haltReasons() const { return m_haltReasons; }

private:
    /// When this process first saw an instance in its current phase. Timeouts are measured from this time on
    /// the steady clock, because log entry timestamps jump with the leader's wall clock.
    struct PhaseTimer {
        Millis loggedAt; ///< Log entry timestamp of the phase change; tells a new phase from the known one.
        InstancePhase phase = InstancePhase::Serving;
        Millis firstSeen; ///< Steady-clock time.
    };

    void updatePhaseTimers(const FleetState& fleet, Millis now);
    FleetView makeFleetView(const FleetState& fleet, Millis now) const;
    void advanceInstances();
    void grantMovePermits(Millis now);
    void advanceWave(const std::string& name, Millis now);
    void submitPermits(
        const std::string& wave, const std::vector<std::string>& instances, std::uint64_t revision);
    void updateHaltReason(const std::string& wave, const std::string& reason);
    void submit(const FleetCommand& command);

    const MaintenanceSettings m_settings;
    Store& m_store;
    const FleetReader& m_fleet;
    const ReachableDataCentres m_reachableDataCentres;
    const Planner m_planner;
    std::map<std::string, PhaseTimer> m_phaseTimers;
    std::map<std::string, std::string> m_haltReasons;
};

} // namespace celeryline
