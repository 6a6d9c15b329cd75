/// @file
/// Mapping of services to runners.
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

/// A runner that may receive new requests.
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
    std::vector<std::size_t> borrowable; ///< Indices of runners of spare services that can also serve it.
    std::set<std::string> dataCentres; ///< Data centres with a serving runner in the fleet state.
};

/// The routes for one fleet state and one version of the upstreams.
struct RouteTable {
    ObjectMap<Service> fleetServices; ///< The maps it was built from, to detect changes.
    ObjectMap<Instance> fleetInstances;
    std::uint64_t upstreamVersion = 0;
    std::vector<RunnerRoute> runners; ///< Sorted by name.
    std::map<std::string, ServiceRoute> services;
    std::vector<std::string> liveInstances;
};

/// Computes the routes. Runners that announce draining, and those whose instance in the fleet state is not
/// serving, get no new requests. A runner that is not in the fleet state yet is routed by its announcement;
/// labels in the fleet state override announced ones.
/// @param fleet the fleet state.
/// @param upstreams the live upstreams of this data centre.
/// @return the routes.
RouteTable makeRouteTable(const FleetState& fleet, const UpstreamSnapshot& upstreams);

/// @param labels labels of a runner of a spare service.
/// @param service a service.
/// @return whether the label `serves` is `any` or a '.'-separated list that contains the service.
bool canServe(const LabelSet& labels, const std::string& service);

} // namespace celeryline
