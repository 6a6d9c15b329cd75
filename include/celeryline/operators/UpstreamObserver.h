/// @file
/// What the live upstreams of a data centre mean for the fleet state.
#pragma once

#include "celeryline/consensus/Store.h"
#include "celeryline/fleet/FleetCommand.h"
#include "celeryline/fleet/FleetReader.h"
#include "celeryline/registry/AnnounceReply.h"
#include "celeryline/registry/UpstreamView.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// Compares the live upstreams of a data centre with the fleet state.
/// @param fleet the fleet state.
/// @param upstreams the live upstreams.
/// @param lapsed instances of this data centre that are certainly not live.
/// @return the commands that make the fleet state agree: registerInstance, instanceReturned, instanceDrained
/// and instanceLost. None if nothing differs.
std::vector<FleetCommand> observe(
    const FleetState& fleet, const UpstreamSnapshot& upstreams, const std::set<std::string>& lapsed);

/// What an observer needs to know about its process.
struct ObserverOptions {
    std::string name; ///< Of this entry instance.
    std::string dataCentre;
    /// An instance that this process has never seen live counts as lost after this time only, because its
    /// announcements may still go to another entry instance whose registry isn't copied yet.
    Millis absenceGrace { 10000 };
    Millis refusalPause { 10000 }; ///< A refused command is submitted again only after this time.
    Millis submitTimeout { 2000 };
};

/// Keeps the fleet state up to date with the live upstreams of its data centre. Runs on every entry instance;
/// only the first live one of the data centre submits. step() is called from one thread, noteTasks() from
/// any.
class UpstreamObserver {
public:
    /// @param options this process.
    /// @param store takes the commands.
    /// @param fleet gives the state.
    /// @param upstreams gives the live upstreams. All must outlive this object.
    UpstreamObserver(const ObserverOptions& options, Store& store, const FleetReader& fleet,
        const UpstreamView& upstreams);

    /// Compares once and submits what differs.
    /// @param now the current time of the steady clock.
    /// @param isComplete whether the registry knows the state of every live peer.
    void step(Millis now, bool isComplete);

    /// Notes the states of tasks that a worker reported; step() submits what changed.
    /// @param tasks what the worker reported.
    void noteTasks(const std::vector<ReportedTask>& tasks);

private:
    std::set<std::string> lapsedInstances(
        const FleetState& fleet, const UpstreamSnapshot& upstreams, Millis now);
    bool submit(const FleetCommand& command, Millis now);
    void submitTaskStates(Millis now);

    const ObserverOptions m_options;
    Store& m_store;
    const FleetReader& m_fleet;
    const UpstreamView& m_upstreams;
    std::set<std::string> m_seen; ///< Instances that this process has seen live.
    std::map<std::string, Millis> m_absentSince;
    std::map<std::string, Millis> m_refusedAt; ///< By operation and name.
    std::mutex m_lock; ///< Guards m_tasks.
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_tasks; ///< State by job and fence.
};

} // namespace celeryline
