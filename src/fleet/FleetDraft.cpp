#include "celeryline/fleet/FleetDraft.h"

namespace celeryline::detail {

FleetDraft::FleetDraft(const FleetState& fleet, Millis time, const std::string& id)
    : revision(fleet.revision)
    , now(time)
    , commandId(id)
    , services(fleet.services)
    , pools(fleet.pools)
    , instances(fleet.instances)
    , waves(fleet.waves)
    , permits(fleet.permits)
    , quotas(fleet.quotas)
    , jobs(fleet.jobs)
    , objectRevisions(fleet.objectRevisions)
    , objectCommands(fleet.objectCommands)
{
}

void FleetDraft::recordChange(const std::string& kind, const std::string& name)
{
    const std::string key = kind + "/" + name;
    objectRevisions.write().set(key, nextRevision());
    objectCommands.write().set(key, commandId);
}

void FleetDraft::update(const Instance& instance)
{
    const auto* before = instances.find(instance.name);
    if (before && *before == instance) {
        return;
    }
    instances.write().set(instance.name, instance);
    recordChange("instance", instance.name);
}

void FleetDraft::update(const Wave& wave)
{
    waves.write().set(wave.name, wave);
    recordChange("wave", wave.name);
}

void FleetDraft::update(Job job)
{
    job.revision = nextRevision();
    auto id = job.id;
    jobs.write().set(id, std::move(job));
}

void FleetDraft::setPhase(Instance& instance, InstancePhase phase) const
{
    if (instance.phase != phase) {
        instance.phase = phase;
        instance.phaseSince = now;
    }
    instance.drained = false;
}

const Instance& FleetDraft::instance(const std::string& name) const
{
    const auto* found = instances.find(name);
    if (!found) {
        throw Error(ErrorKind::NotFound, "instance \"" + name + "\" does not exist",
            "list instances with: celeryline get instances");
    }
    return *found;
}

const Wave& FleetDraft::wave(const std::string& name) const
{
    const auto* found = waves.find(name);
    if (!found) {
        throw Error(ErrorKind::NotFound, "wave \"" + name + "\" does not exist",
            "list waves with: celeryline get waves");
    }
    return *found;
}

std::uint64_t FleetDraft::revisionOf(const std::string& kind, const std::string& name) const
{
    const auto* found = objectRevisions.find(kind + "/" + name);
    return found ? *found : 0;
}

void FleetDraft::rejectIfChanged(const std::string& kind, const std::string& name, bool exists,
    const std::optional<std::uint64_t>& baseRevision) const
{
    auto changed = revisionOf(kind, name);
    if (!baseRevision || changed <= *baseRevision || (*baseRevision == 0 && !exists)) {
        return;
    }
    const auto* lastCommand = objectCommands.find(kind + "/" + name);
    std::string what = kind + " \"" + name + "\" was " + (exists ? "changed" : "deleted") + " at revision "
        + std::to_string(changed) + " by command \"" + (lastCommand ? *lastCommand : "")
        + "\", after base revision " + std::to_string(*baseRevision);
    throw Error(ErrorKind::Conflict, what, "read the object again and decide on its new state");
}

FleetState FleetDraft::finish() const
{
    bool isChanged = services.isChanged() || pools.isChanged() || instances.isChanged() || waves.isChanged()
        || permits.isChanged() || quotas.isChanged() || jobs.isChanged();
    FleetState fleet;
    fleet.revision = isChanged ? nextRevision() : revision;
    fleet.services = services.finish();
    fleet.pools = pools.finish();
    fleet.instances = instances.finish();
    fleet.waves = waves.finish();
    fleet.permits = permits.finish();
    fleet.quotas = quotas.finish();
    fleet.jobs = jobs.finish();
    fleet.objectRevisions = objectRevisions.finish();
    fleet.objectCommands = objectCommands.finish();
    return fleet;
}

} // namespace celeryline::detail
