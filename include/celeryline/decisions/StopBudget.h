/// @file
/// Availability budgets: limits on the number of instances of a service that are down at the same time.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/fleet/Instance.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// State of one instance, as input for decisions about stops.
struct FleetInstance {
    std::string name;
    std::string dataCentre;
    std::string rack;
    std::string pool;
    std::string service; ///< If empty, the default budget applies to the pool.
    InstancePhase phase = InstancePhase::Serving;
    Millis phaseSince;
    bool leaseLive = true;
};

/// Availability budget of a service; the stricter limit applies.
struct StopBudget {
    int maxUnavailablePercent = 25;
    int minAvailable = 0;
};

/// A permit to stop an instance. Until it expires, the instance counts as down even if it still serves.
struct OutstandingPermit {
    std::string instance;
    Millis expires;
};

/// Instances, budgets and permits on which decisions about stops depend.
struct FleetView {
    std::vector<FleetInstance> instances;
    std::map<std::string, StopBudget> budgets; ///< By service; others have the default budget.
    std::vector<OutstandingPermit> permits;
    /// Instances in other data centres count as down, because callers can't reach them from here.
    std::set<std::string> reachableDataCentres;
};

/// Cause for which an instance counts as down.
enum class DownCause : std::uint8_t {
    Up,
    Permitted,
    Draining,
    Rebooting,
    Moving,
    Failed,
    LeaseLapsed,
    Unreachable
};

/// Availability of one service.
struct ServiceAvailability {
    int total = 0;
    int available = 0;
    int allowedDown = 0; ///< Number that the stricter limit of the budget allows.
    std::map<DownCause, int> down; ///< By cause; has no entry for Up.
    std::map<std::string, int> totalByDataCentre;
    /// Planned stops, which count towards the data centre's share.
    std::map<std::string, int> stoppedByDataCentre;

    /// @return number of instances that may still be stopped; negative if failures exceed the budget.
    int remaining() const { return allowedDown - (total - available); }
};

/// Whether one instance may be stopped now.
struct StopDecision {
    bool allowed = false;
    std::string reason; ///< Shown to operators; set in both cases.
};

/// @param cause a cause.
/// @return its description for operators.
const char* downCauseName(DownCause cause);

/// @param instance an instance.
/// @return key of the budget that it counts towards: its service, or "pool NAME" if it has none.
std::string budgetName(const FleetInstance& instance);

/// @param total number of registered instances of a service.
/// @param budget budget of the service.
/// @return how many of them may be down at the same time, for any cause.
int allowedDownOf(int total, const StopBudget& budget);

/// @param availability availability of a service.
/// @param dataCentre one of its data centres.
/// @return maximum number of concurrent planned stops in the data centre: its proportion of the budget,
/// rounded up so that data centres with few instances are maintained too. The budget limits the sum.
int dataCentreShare(const ServiceAvailability& availability, const std::string& dataCentre);

/// @param fleet the instances.
/// @param now the current time.
/// @return the availability for each budget, by `budgetName`. Makes one pass over the instances.
std::map<std::string, ServiceAvailability> availabilityOf(const FleetView& fleet, Millis now);

/// @param service a key as returned by `budgetName`.
/// @param fleet the instances.
/// @param now the current time.
/// @return its availability.
ServiceAvailability availabilityOfService(const std::string& service, const FleetView& fleet, Millis now);

/// Checks whether an operator, a move or a wave may stop an instance.
/// @param instance name of the instance to stop.
/// @param fleet the instances.
/// @param now the current time.
/// @return the decision. An instance that is already down may be stopped, unless its data centre is
/// unreachable.
///
/// Example: `if (StopDecision decision = mayStop("w17", fleet, now); !decision.allowed) {
/// refuse(decision.reason);
/// }`
StopDecision mayStop(const std::string& instance, const FleetView& fleet, Millis now);

namespace detail {

/// @return the cause for which an instance counts as down, or Up.
DownCause downCauseOf(const FleetInstance& instance, const std::set<std::string>& permitted,
    const std::set<std::string>& reachableDataCentres);

/// @return names of the instances with an unexpired permit.
std::set<std::string> permittedInstances(const FleetView& fleet, Millis now);

/// @return whether one more planned stop fits the budget, minus the reserve, and the data centre's share.
StopDecision checkStop(const std::string& service, const ServiceAvailability& availability,
    const std::string& dataCentre, int reserve);

} // namespace detail

} // namespace celeryline
