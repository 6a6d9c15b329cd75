/// @file
/// The replicated fleet state.
#pragma once

#include "celeryline/base/NamedMap.h"
#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"
#include "celeryline/fleet/Instance.h"
#include "celeryline/fleet/Job.h"
#include "celeryline/fleet/Pool.h"
#include "celeryline/fleet/Service.h"
#include "celeryline/fleet/Wave.h"

#include <cstdint>
#include <memory>
#include <string>

namespace celeryline {

/// Objects of one kind by name. Shared between revisions until an object of the kind changes.
template <typename T> using ObjectMap = std::shared_ptr<const NamedMap<T>>;

/// An immutable snapshot of the fleet at one revision. Readers hold it through a shared pointer.
struct FleetState {
    std::uint64_t revision = 0;
    ObjectMap<Service> services = std::make_shared<const NamedMap<Service>>();
    ObjectMap<Pool> pools = std::make_shared<const NamedMap<Pool>>();
    ObjectMap<Instance> instances = std::make_shared<const NamedMap<Instance>>();
    ObjectMap<Wave> waves = std::make_shared<const NamedMap<Wave>>();
    ObjectMap<Permit> permits = std::make_shared<const NamedMap<Permit>>(); ///< Keyed by instance name.
    ObjectMap<Quota> quotas = std::make_shared<const NamedMap<Quota>>();
    ObjectMap<Job> jobs = std::make_shared<const NamedMap<Job>>();
    /// Revision of the last change to each object except jobs, keyed by "kind/name"; used to detect
    /// conflicts. Entries of deleted pools, services and quotas are kept, so that a change based on an older
    /// revision can't recreate them.
    ObjectMap<std::uint64_t> objectRevisions = std::make_shared<const NamedMap<std::uint64_t>>();
    /// Id of the command that last changed each object, keyed by "kind/name"; reported in conflicts.
    ObjectMap<std::string> objectCommands = std::make_shared<const NamedMap<std::string>>();
};

} // namespace celeryline
