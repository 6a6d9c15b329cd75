/// @file
/// The fleet state: an immutable value that the replicated log owns.
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

/// Objects of one kind by name. Shared between revisions until a change touches the kind.
template <typename T> using ObjectMap = std::shared_ptr<const NamedMap<T>>;

/// The fleet state at one revision. Readers hold it through a shared pointer and never see it change.
struct FleetState {
    std::uint64_t revision = 0;
    ObjectMap<Service> services = std::make_shared<const NamedMap<Service>>();
    ObjectMap<Pool> pools = std::make_shared<const NamedMap<Pool>>();
    ObjectMap<Instance> instances = std::make_shared<const NamedMap<Instance>>();
    ObjectMap<Wave> waves = std::make_shared<const NamedMap<Wave>>();
    ObjectMap<Permit> permits = std::make_shared<const NamedMap<Permit>>(); ///< By instance.
    ObjectMap<Quota> quotas = std::make_shared<const NamedMap<Quota>>();
    ObjectMap<Job> jobs = std::make_shared<const NamedMap<Job>>();
    /// Revision of the last change of each object but jobs, by "kind/name"; decides conflicts. Deleted pools,
    /// services and quotas keep theirs, so that a change based on an older revision doesn't bring them back.
    ObjectMap<std::uint64_t> objectRevisions = std::make_shared<const NamedMap<std::uint64_t>>();
    /// Id of the command that changed each object last, by "kind/name"; named in conflicts.
    ObjectMap<std::string> objectCommands = std::make_shared<const NamedMap<std::string>>();
};

} // namespace celeryline
