/// @file
/// JSON views of the fleet state for the operator API.
#pragma once

#include "celeryline/consensus/StoreStatus.h"
#include "celeryline/fleet/FleetState.h"
#include "celeryline/registry/UpstreamView.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// The revision that an entry instance has applied.
struct InForceEntry {
    std::string name;
    std::string dataCentre;
    std::uint64_t appliedRevision = 0;
    bool isReachable = false;
};

/// Lists the objects of a collection.
/// @param fleet the fleet state.
/// @param upstreams the live upstreams of this data centre.
/// @param collection "pools", "services", "instances", "workers", "jobs", "waves", "quotas" or "permits".
/// @return `{revision, items: [...]}`; the "revision" of an item can be used as base revision of a change.
/// @throws Error of kind NotFound if there is no such collection.
Poco::JSON::Object::Ptr listView(
    const FleetState& fleet, const UpstreamSnapshot& upstreams, const std::string& collection);

/// Shows one object of a collection.
/// @param name name of the object; the other parameters are those of listView().
/// @return the object in the form used by listView().
/// @throws Error of kind NotFound if there is no such collection or object.
Poco::JSON::Object::Ptr objectView(const FleetState& fleet, const UpstreamSnapshot& upstreams,
    const std::string& collection, const std::string& name);

/// Lists the objects that changed after a revision.
/// @param fleet the fleet state.
/// @param since the revision.
/// @return `{revision, changes: [{kind, name, revision, object}]}`, ordered by revision; "object" is absent
/// if the object was deleted.
Poco::JSON::Object::Ptr changesView(const FleetState& fleet, std::uint64_t since);

/// Shows which entry instances have applied a revision.
/// @param entries all entry instances.
/// @param revision the revision.
/// @return `{revision, inForce, entries: [{name, dataCentre, appliedRevision, reachable, inForce}],
/// notReached: [names]}`.
Poco::JSON::Object::Ptr inForceView(const std::vector<InForceEntry>& entries, std::uint64_t revision);

/// Summarises role, leader, revision, instances by phase, availability budgets and unfinished waves.
/// @param fleet the fleet state.
/// @param status status of the replicated log.
/// @param upstreams the live upstreams of this data centre.
Poco::JSON::Object::Ptr statusView(
    const FleetState& fleet, const StoreStatus& status, const UpstreamSnapshot& upstreams);

/// @return the name of the role in lower case.
const char* nameOf(ConsensusRole role);

} // namespace celeryline
