/// @file
/// Assignment of instances to pools, and availability budgets.
#pragma once

#include "celeryline/fleet/FleetState.h"

#include <string>

namespace celeryline {

/// Finds the pool that selects an instance by its labels and data centre.
/// @return the name of the pool; empty if no pool selects the instance.
/// @throws Error of kind InvalidInput that names the instance and both pools if two pools select it.
std::string poolFor(const NamedMap<Pool>& pools, const Instance& instance);

/// Checks that at most one pool selects each instance, and that every selected instance is in that pool or on
/// its way there.
/// @param fleet the state to check.
/// @param before the previous state, which must have passed the check, or null. If the pools select the same
/// instances in both states, only changed instances are checked.
/// @throws Error of kind Corrupt that names the instance if the invariant is violated.
void checkOwnership(const FleetState& fleet, const FleetState* before);

/// Availability budget of a service.
struct ServiceBudget {
    int total = 0;
    int down = 0; ///< Instances that are draining, rebooting, failed, or moving with a permit.
    int allowedDown = 0;

    /// @return how many more instances may go down; negative if the budget is exceeded.
    int remaining() const { return allowedDown - down; }
};

/// @param instance the instance.
/// @param hasPermit whether the instance has a permit to stop.
/// @return whether the instance counts as unavailable.
bool isDown(const Instance& instance, bool hasPermit);

/// @return the availability budget of a service, counted over the instances of its guarded pools.
ServiceBudget budgetOf(const NamedMap<Pool>& pools, const NamedMap<Instance>& instances,
    const NamedMap<Permit>& permits, const Service& service);

} // namespace celeryline
