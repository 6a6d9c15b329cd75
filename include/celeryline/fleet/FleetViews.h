/// @file
/// The fleet state as operators see it over HTTP.
#pragma once

#include "celeryline/consensus/StoreStatus.h"
#include "celeryline/fleet/FleetState.h"
#include "celeryline/registry/UpstreamView.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// How far one entry instance has come.
struct InForceEntry {
    std::string name;
    std::string dataCentre;
    std::uint64_t appliedRevision = 0;
    bool isReachable = false;
};

/// @param fleet the fleet state.
/// @param upstreams the live upstreams of this data centre.
/// @param collection "pools", "services", "instances", "workers", "jobs", "waves", "quotas" or "permits".
/// @return `{revision, items: [...]}`; each item has its "revision" for use as base revision.
/// @throws Error of kind NotFound if there is no such collection.
Poco::JSON::Object::Ptr listView(
    const FleetState& fleet, const UpstreamSnapshot& upstreams, const std::string& collection);

/// @param name an object of the collection.
/// @return the object as in listView().
/// @throws Error of kind NotFound if there is no such collection or object.
Poco::JSON::Object::Ptr objectView(const FleetState& fleet, const UpstreamSnapshot& upstreams,
    const std::string& collection, const std::string& name);

/// @param fleet the fleet state.
/// @param since a revision.
/// @return `{revision, changes: [{kind, name, revision, object}]}` with all objects that changed after that
/// revision, oldest change first; the object is missing if it was deleted.
Poco::JSON::Object::Ptr changesView(const FleetState& fleet, std::uint64_t since);

/// @param entries all entry instances.
/// @param revision a revision.
/// @return `{revision, inForce, entries: [{name, dataCentre, appliedRevision, reachable, inForce}],
/// notReached: [names]}`.
Poco::JSON::Object::Ptr inForceView(const std::vector<InForceEntry>& entries, std::uint64_t revision);

/// @param fleet the fleet state.
/// @param status the replicated log.
/// @param upstreams the live upstreams of this data centre.
/// @return an overview: role, leader, revision, instances by phase, budget of each service, running waves.
Poco::JSON::Object::Ptr statusView(
    const FleetState& fleet, const StoreStatus& status, const UpstreamSnapshot& upstreams);

/// @param role a role.
/// @return its name in lower case.
const char* nameOf(ConsensusRole role);

} // namespace celeryline
