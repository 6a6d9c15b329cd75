/// @file
/// Availability budgets: how many instances of a service may be down at once.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/fleet/Instance.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// What a decision about stops knows of one instance.
struct FleetInstance {
    std::string name;
    std::string dataCentre;
    std::string rack;
    std::string pool;
    std::string service; ///< Empty: the pool itself is budgeted with the default budget.
    InstancePhase phase = InstancePhase::Serving;
    Millis phaseSince;
    bool leaseLive = true;
};

/// The availability budget of a service; the stricter of both limits applies.
struct StopBudget {
    int maxUnavailablePercent = 25;
    int minAvailable = 0;
};

/// An outstanding permit. Until it expires, its instance counts as down even if it still serves.
struct OutstandingPermit {
    std::string instance;
    Millis expires;
};

/// The instances, budgets and permits that a decision about stops depends on.
struct FleetView {
    std::vector<FleetInstance> instances;
    std::map<std::string, StopBudget> budgets; ///< By service; services that are absent have the default.
    std::vector<OutstandingPermit> permits;
    /// Instances of other data centres count as down, because callers can't reach them from here.
    std::set<std::string> reachableDataCentres;
};

/// Why an instance counts as down.
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

/// The availability of one service.
struct ServiceAvailability {
    int total = 0;
    int available = 0;
    int allowedDown = 0; ///< By the stricter limit of the budget.
    std::map<DownCause, int> down; ///< By cause, without Up.
    std::map<std::string, int> totalByDataCentre;
    std::map<std::string, int> stoppedByDataCentre; ///< Planned stops only: they count towards the share.

    /// @return instances that may still be stopped; negative if failures went beyond the budget.
    int remaining() const { return allowedDown - (total - available); }
};

/// Whether one instance may be stopped now.
struct StopVerdict {
    bool allowed = false;
    std::string reason; ///< For an operator, in either case.
};

/// @param cause a cause.
/// @return its name for operators.
const char* downCauseName(DownCause cause);

/// @param instance an instance.
/// @return the budget that it counts towards: its service, or "pool NAME" if it has none.
std::string budgetOf(const FleetInstance& instance);

/// @param total registered instances of a service.
/// @param budget its budget.
/// @return how many of them may be down at once, for any cause.
int allowedDownOf(int total, const StopBudget& budget);

/// @param availability of a service.
/// @param dataCentre one of its data centres.
/// @return how many of its instances there may be stopped by plan at once: its proportion of the budget,
/// rounded up, so that a data centre with few instances is maintained too. The sum is limited by the budget.
int shareOf(const ServiceAvailability& availability, const std::string& dataCentre);

/// @param fleet the instances.
/// @param now the current time.
/// @return the availability of each budget, by `budgetOf`; one pass over the instances.
std::map<std::string, ServiceAvailability> availabilityOf(const FleetView& fleet, Millis now);

/// @param service a service, or "pool NAME".
/// @param fleet the instances.
/// @param now the current time.
/// @return its availability.
ServiceAvailability availableOf(const std::string& service, const FleetView& fleet, Millis now);

/// Checks a stop that an operator, a move or a wave asks for.
/// @param instance name of the instance to stop.
/// @param fleet the instances.
/// @param now the current time.
/// @return whether it may be stopped, with the reason. An instance that is down already may be stopped.
///
/// Example: `if (StopVerdict verdict = mayStop("w17", fleet, now); !verdict.allowed) {
/// refuse(verdict.reason);
/// }`
StopVerdict mayStop(const std::string& instance, const FleetView& fleet, Millis now);

namespace detail {

/// @return why an instance counts as down, or Up.
DownCause downCauseOf(const FleetInstance& instance, const std::set<std::string>& permitted,
    const std::set<std::string>& reachableDataCentres);

/// @return instances with a permit that hasn't expired.
std::set<std::string> permittedInstances(const FleetView& fleet, Millis now);

/// @return whether one more planned stop fits the budget and the share, with the reason.
StopVerdict checkStop(const std::string& service, const ServiceAvailability& availability,
    const std::string& dataCentre, int reserve);

} // namespace detail

} // namespace celeryline
