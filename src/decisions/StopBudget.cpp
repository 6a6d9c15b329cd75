#include "celeryline/decisions/StopBudget.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>

namespace celeryline {

namespace {

bool isPlannedStop(DownCause cause)
{
    return cause == DownCause::Permitted || cause == DownCause::Draining || cause == DownCause::Rebooting
        || cause == DownCause::Moving;
}

std::string describeDown(const ServiceAvailability& availability)
{
    std::string text;
    for (const auto& [cause, count] : availability.down) {
        text += (text.empty() ? " (" : ", ") + std::to_string(count) + " " + downCauseName(cause);
    }
    return text.empty() ? text : text + ")";
}

} // namespace

namespace detail {

DownCause downCauseOf(const FleetInstance& instance, const std::set<std::string>& permitted,
    const std::set<std::string>& reachableDataCentres)
{
    switch (instance.phase) {
    case InstancePhase::Draining:
        return DownCause::Draining;
    case InstancePhase::Rebooting:
        return DownCause::Rebooting;
    case InstancePhase::Moving:
        return DownCause::Moving;
    case InstancePhase::Failed:
        return DownCause::Failed;
    case InstancePhase::Serving:
        break;
    }
    if (permitted.count(instance.name) > 0) {
        return DownCause::Permitted;
    }
    if (reachableDataCentres.count(instance.dataCentre) == 0) {
        return DownCause::Unreachable;
    }
    return instance.leaseLive ? DownCause::Up : DownCause::LeaseLapsed;
}

std::set<std::string> permittedInstances(const FleetView& fleet, Millis now)
{
    std::set<std::string> permitted;
    for (const auto& permit : fleet.permits) {
        if (now < permit.expires) {
            permitted.insert(permit.instance);
        }
    }
    return permitted;
}

StopDecision checkStop(const std::string& service, const ServiceAvailability& availability,
    const std::string& dataCentre, int reserve)
{
    int down = availability.total - availability.available;
    std::string state = service + ": " + std::to_string(down) + " of " + std::to_string(availability.total)
        + " down" + describeDown(availability) + ", budget allows "
        + std::to_string(availability.allowedDown);
    if (availability.allowedDown <= 0) {
        return { false,
            state + "; no stop is ever allowed: raise maxUnavailablePercent or lower minAvailable" };
    }
    if (availability.remaining() <= 0) {
        return { false, state };
    }
    if (availability.remaining() <= reserve) {
        return { false,
            state + ", " + std::to_string(reserve) + " of them held in reserve by the objective" };
    }
    auto stopped = availability.stoppedByDataCentre.find(dataCentre);
    int stoppedHere = stopped == availability.stoppedByDataCentre.end() ? 0 : stopped->second;
    int share = dataCentreShare(availability, dataCentre);
    if (stoppedHere >= share) {
        return { false,
            state + "; data centre " + dataCentre + " has used its share of " + std::to_string(share) };
    }
    return { true, state };
}

} // namespace detail

const char* downCauseName(DownCause cause)
{
    switch (cause) {
    case DownCause::Up:
        return "up";
    case DownCause::Permitted:
        return "under permit";
    case DownCause::Draining:
        return "draining";
    case DownCause::Rebooting:
        return "rebooting";
    case DownCause::Moving:
        return "moving";
    case DownCause::Failed:
        return "failed";
    case DownCause::LeaseLapsed:
        return "with a lapsed lease";
    case DownCause::Unreachable:
        return "in unreachable data centres";
    }
    return "unknown";
}

std::string budgetName(const FleetInstance& instance)
{
    return instance.service.empty() ? "pool " + instance.pool : instance.service;
}

int allowedDownOf(int total, const StopBudget& budget)
{
    int byPercent = static_cast<int>(static_cast<std::int64_t>(total) * budget.maxUnavailablePercent / 100);
    return std::max(0, std::min(byPercent, total - budget.minAvailable));
}

int dataCentreShare(const ServiceAvailability& availability, const std::string& dataCentre)
{
    auto here = availability.totalByDataCentre.find(dataCentre);
    if (here == availability.totalByDataCentre.end() || availability.total == 0) {
        return 0;
    }
    auto proportional = static_cast<std::int64_t>(availability.allowedDown) * here->second;
    return static_cast<int>((proportional + availability.total - 1) / availability.total);
}

std::map<std::string, ServiceAvailability> availabilityOf(const FleetView& fleet, Millis now)
{
    auto permitted = detail::permittedInstances(fleet, now);
    std::map<std::string, ServiceAvailability> result;
    for (const auto& instance : fleet.instances) {
        auto& availability = result[budgetName(instance)];
        auto cause = detail::downCauseOf(instance, permitted, fleet.reachableDataCentres);
        ++availability.total;
        ++availability.totalByDataCentre[instance.dataCentre];
        if (cause == DownCause::Up) {
            ++availability.available;
        } else {
            ++availability.down[cause];
        }
        if (isPlannedStop(cause)) {
            ++availability.stoppedByDataCentre[instance.dataCentre];
        }
    }
    for (auto& [service, availability] : result) {
        auto budget = fleet.budgets.find(service);
        availability.allowedDown = allowedDownOf(
            availability.total, budget == fleet.budgets.end() ? StopBudget {} : budget->second);
    }
    return result;
}

ServiceAvailability availabilityOfService(const std::string& service, const FleetView& fleet, Millis now)
{
    auto all = availabilityOf(fleet, now);
    auto found = all.find(service);
    return found == all.end() ? ServiceAvailability {} : found->second;
}

StopDecision mayStop(const std::string& instance, const FleetView& fleet, Millis now)
{
    auto found = std::find_if(fleet.instances.begin(), fleet.instances.end(),
        [&](const FleetInstance& candidate) { return candidate.name == instance; });
    if (found == fleet.instances.end()) {
        return { false, "instance \"" + instance + "\" is not registered" };
    }
    auto cause
        = detail::downCauseOf(*found, detail::permittedInstances(fleet, now), fleet.reachableDataCentres);
    if (cause == DownCause::Unreachable) {
        return { false,
            "data centre " + found->dataCentre + " is not reachable, so the stop could not be confirmed" };
    }
    if (cause != DownCause::Up) {
        return { true, std::string("it counts as down already: ") + downCauseName(cause) };
    }
    auto service = budgetName(*found);
    return detail::checkStop(service, availabilityOfService(service, fleet, now), found->dataCentre, 0);
}

} // namespace celeryline
