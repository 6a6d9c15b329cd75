/// @file
/// Reconciles the fleet state with the live upstreams of a data centre.
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

/// Computes the commands that reconcile the fleet state with the live upstreams of a data centre.
/// @param fleet the fleet state.
/// @param upstreams the live upstreams.
/// @param expired instances of this data centre that are known not to be live.
/// @return registerInstance, instanceReturned, instanceDrained and instanceLost commands; empty if nothing
/// differs.
std::vector<FleetCommand> reconcile(
    const FleetState& fleet, const UpstreamSnapshot& upstreams, const std::set<std::string>& expired);

/// Identity of the instance that runs an UpstreamObserver, and its delays.
struct ObserverOptions {
    std::string name; ///< Name of this entry instance.
    std::string dataCentre;
    /// How long an instance that this process has never seen live may be absent before it counts as lost. Its
    /// announcements may go to another entry instance whose registry has not been replicated here yet.
    Millis absenceGracePeriod { 10000 };
    Millis rejectedRetryDelay { 10000 }; ///< Delay before a rejected command is submitted again.
    Millis submitTimeout { 2000 };
};

/// Keeps the fleet state consistent with the live upstreams of its data centre. Runs on every entry instance;
/// only the first live one of the data centre submits the changes of instances, but each submits the task
/// states reported to it. step() must be called from one thread; recordTaskReports() is thread-safe.
class UpstreamObserver {
public:
    /// The objects passed by reference must outlive this object.
    /// @param options identity and delays.
    /// @param store accepts the commands.
    /// @param fleet provides the fleet state.
    /// @param upstreams provides the live upstreams.
    UpstreamObserver(const ObserverOptions& options, Store& store, const FleetReader& fleet,
        const UpstreamView& upstreams);

    /// Runs one reconciliation and submits the resulting commands.
    /// @param now current steady-clock time.
    /// @param isRegistryComplete whether the registry has the state of every live peer.
    void step(Millis now, bool isRegistryComplete);

    /// Records the task states that a worker reported. The next step() submits those that change a job.
    /// @param tasks the reported states.
    void recordTaskReports(const std::vector<ReportedTask>& tasks);

private:
    std::set<std::string> findExpiredInstances(
        const FleetState& fleet, const UpstreamSnapshot& upstreams, Millis now);
    bool submit(const FleetCommand& command, Millis now);
    void submitTaskStates(Millis now);

    const ObserverOptions m_options;
    Store& m_store;
    const FleetReader& m_fleet;
    const UpstreamView& m_upstreams;
    std::set<std::string> m_seenLive; ///< Instances that this process has seen live.
    std::map<std::string, Millis> m_absentSince;
    std::map<std::string, Millis> m_rejectedAt; ///< By operation and instance or job name.
    std::mutex m_tasksMutex; ///< Guards m_taskStates.
    std::map<std::pair<std::string, std::uint64_t>, std::string> m_taskStates; ///< State by job id and fence.
};

} // namespace celeryline
