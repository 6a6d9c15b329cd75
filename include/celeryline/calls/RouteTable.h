/// @file
/// Which runners serve which service.
#pragma once

#include "celeryline/fleet/FleetState.h"
#include "celeryline/registry/UpstreamView.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// A runner that may receive new work.
struct RunnerRoute {
    std::string name;
    std::string address;
    std::uint64_t bootEpoch = 0;
    std::uint32_t slots = 0;
    std::uint32_t connections = 0;
};

/// A service and the runners of this data centre that serve it.
struct ServiceRoute {
    Service service;
    std::vector<std::size_t> own; ///< Indices into RouteTable::runners.
    std::vector<std::size_t> borrowable; ///< Runners of spare services that can serve it too.
    std::set<std::string> dataCentres; ///< Data centres in which the fleet state knows a serving runner.
};

/// The routes for one state of the fleet and one version of the upstreams.
struct RouteTable {
    ObjectMap<Service> fleetServices; ///< What it was made from; unchanged maps give the same routes.
    ObjectMap<Instance> fleetInstances;
    std::uint64_t upstreamVersion = 0;
    std::vector<RunnerRoute> runners; ///< Sorted by name.
    std::map<std::string, ServiceRoute> services;
    std::vector<std::string> liveInstances;
};

/// Computes the routes. Runners that announce draining, and those whose instance in the fleet state is not
/// serving, get no new work. A runner that the fleet state does not know yet is routed by its announcement;
/// labels in the fleet state override announced ones.
/// @param fleet the fleet state.
/// @param upstreams the live upstreams of this data centre.
/// @return the routes.
RouteTable makeRouteTable(const FleetState& fleet, const UpstreamSnapshot& upstreams);

/// @param labels labels of a spare service's runner.
/// @param service a service.
/// @return whether the label `serves` is `any` or lists the service; names are separated by '.'.
bool canServe(const LabelSet& labels, const std::string& service);

} // namespace celeryline
