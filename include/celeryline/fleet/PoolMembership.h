/// @file
/// Which pool owns an instance.
#pragma once

#include "celeryline/fleet/FleetState.h"

#include <string>

namespace celeryline {

/// @param pools all pools.
/// @param instance an instance; its labels and data centre decide.
/// @return the name of the one pool whose selector matches; empty if none does.
/// @throws Error of kind InvalidInput that names both pools and the instance if two match.
std::string poolFor(const NamedMap<Pool>& pools, const Instance& instance);

/// Checks that exactly one pool owns each instance that a selector matches, and that an instance outside of
/// its matching pool is on its way there.
/// @param fleet a fleet state.
/// @param before the state before it; instances and pools that are the same aren't checked again. May be
/// null.
/// @throws Error of kind Corrupt that names the instance if the invariant doesn't hold.
void checkOwnership(const FleetState& fleet, const FleetState* before);

/// How many instances of a service may be down and how many are.
struct ServiceBudget {
    int total = 0;
    int down = 0; ///< For any reason: draining, rebooting, moving with a permit, failed.
    int allowedDown = 0;

    /// @return how many more may go down.
    int room() const { return allowedDown - down; }
};

/// @param instance an instance.
/// @param hasPermit whether it has a permit to stop.
/// @return whether it counts as not available.
bool isDown(const Instance& instance, bool hasPermit);

/// @param pools all pools.
/// @param instances all instances.
/// @param permits all permits.
/// @param service a service.
/// @return its budget over the guarded pools that carry it.
ServiceBudget budgetOf(const NamedMap<Pool>& pools, const NamedMap<Instance>& instances,
    const NamedMap<Permit>& permits, const Service& service);

} // namespace celeryline
