#include "celeryline/fleet/FleetCodec.h"

#include "celeryline/base/Error.h"

#include <Poco/Exception.h>

#include <array>
#include <type_traits>

namespace celeryline {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

constexpr std::array<const char*, 5> instancePhases { "serving", "draining", "rebooting", "moving",
    "failed" };
constexpr std::array<const char*, 3> waveStates { "running", "paused", "done" };
constexpr std::array<const char*, 7> jobPhases { "queued", "placed", "running", "done", "failed", "cancelled",
    "refused" };
constexpr std::array<const char*, 2> upstreamKinds { "runner", "worker" };

template <typename T, std::size_t n>
T enumFrom(JsonFields& fields, const std::string& key, const std::array<const char*, n>& names)
{
    auto text = fields.requiredString(key);
    std::string list;
    for (std::size_t i = 0; i < n; ++i) {
        if (text == names[i]) {
            return static_cast<T>(i);
        }
        list += (i == 0 ? "" : ", ") + std::string(names[i]);
    }
    fields.fail(key, "is \"" + text + "\"", "set it to one of: " + list);
}

Millis millisFrom(JsonFields& fields, const std::string& key, Millis defaultValue = {})
{
    return { fields.integer(key, defaultValue.count) };
}

std::set<std::string> setFrom(JsonFields& fields, const std::string& key)
{
    auto texts = fields.stringList(key);
    return { texts.begin(), texts.end() };
}

template <typename T> Object::Ptr mapToJson(const ObjectMap<T>& objects)
{
    Object::Ptr result = new Object;
    for (const auto& [name, object] : *objects) {
        if constexpr (std::is_class_v<T> && !std::is_same_v<T, std::string>) {
            result->set(name, toJson(object));
        } else {
            result->set(name, object);
        }
    }
    return result;
}

template <typename T>
ObjectMap<T> mapFrom(const Object::Ptr& root, const std::string& section, T (*read)(JsonFields&))
{
    auto result = std::make_shared<NamedMap<T>>();
    auto objects = root->getObject(section);
    if (objects.isNull()) {
        throw Error(ErrorKind::Corrupt, "\"" + section + "\" is missing", "restore another snapshot");
    }
    for (const auto& [name, value] : *objects) {
        JsonFields fields(value.template extract<Object::Ptr>(), section + "." + name);
        result->set(name, read(fields));
    }
    return result;
}

template <typename T> ObjectMap<T> scalarsFrom(const Object::Ptr& root, const std::string& section)
{
    auto result = std::make_shared<NamedMap<T>>();
    auto objects = root->getObject(section);
    if (objects.isNull()) {
        throw Error(ErrorKind::Corrupt, "\"" + section + "\" is missing", "restore another snapshot");
    }
    for (const auto& [name, value] : *objects) {
        result->set(name, value.template convert<T>());
    }
    return result;
}

} // namespace

const char* nameOf(InstancePhase phase) { return instancePhases.at(static_cast<std::size_t>(phase)); }
const char* nameOf(WaveState state) { return waveStates.at(static_cast<std::size_t>(state)); }
const char* nameOf(JobPhase phase) { return jobPhases.at(static_cast<std::size_t>(phase)); }
const char* nameOf(UpstreamKind kind) { return upstreamKinds.at(static_cast<std::size_t>(kind)); }

InstancePhase instancePhaseFrom(JsonFields& fields, const std::string& key)
{
    return enumFrom<InstancePhase>(fields, key, instancePhases);
}

WaveState waveStateFrom(JsonFields& fields, const std::string& key)
{
    return enumFrom<WaveState>(fields, key, waveStates);
}

JobPhase jobPhaseFrom(JsonFields& fields, const std::string& key)
{
    return enumFrom<JobPhase>(fields, key, jobPhases);
}

UpstreamKind upstreamKindFrom(JsonFields& fields, const std::string& key)
{
    return enumFrom<UpstreamKind>(fields, key, upstreamKinds);
}

Object::Ptr toJson(const LabelSet& labels)
{
    Object::Ptr json = new Object;
    for (const auto& [name, value] : labels) {
        json->set(name, value);
    }
    return json;
}

Object::Ptr toJson(const Resources& resources)
{
    Object::Ptr json = new Object;
    json->set("cpuMilli", resources.cpuMilli);
    json->set("memoryMb", resources.memoryMb);
    json->set("accelerators", resources.accelerators);
    return json;
}

Object::Ptr toJson(const Service& service)
{
    Object::Ptr json = new Object;
    json->set("name", service.name);
    json->set("selector", toText(service.selector));
    json->set("maxUnavailablePercent", service.maxUnavailablePercent);
    json->set("minAvailable", service.minAvailable);
    json->set("spare", service.spare);
    json->set("repeatableMethods", toJsonList(service.repeatableMethods));
    json->set("maxQueueMs", service.maxQueue.count);
    return json;
}

Object::Ptr toJson(const Pool& pool)
{
    Object::Ptr json = new Object;
    json->set("name", pool.name);
    json->set("selector", toText(pool.selector));
    json->set("service", pool.service);
    json->set("spare", pool.spare);
    json->set("guarded", pool.guarded);
    json->set("dataCentres", toJsonList(pool.dataCentres));
    return json;
}

Object::Ptr toJson(const Instance& instance)
{
    Object::Ptr json = new Object;
    json->set("name", instance.name);
    json->set("kind", std::string(nameOf(instance.kind)));
    json->set("dataCentre", instance.dataCentre);
    json->set("rack", instance.rack);
    json->set("labels", toJson(instance.labels));
    json->set("pool", instance.pool);
    json->set("nextPool", instance.nextPool);
    json->set("phase", std::string(nameOf(instance.phase)));
    json->set("phaseSince", instance.phaseSince.count);
    json->set("bootEpoch", instance.bootEpoch);
    json->set("capacity", toJson(instance.capacity));
    json->set("drained", instance.drained);
    return json;
}

Object::Ptr toJson(const Wave& wave)
{
    Object::Ptr json = new Object;
    json->set("name", wave.name);
    json->set("selector", toText(wave.selector));
    json->set("state", std::string(nameOf(wave.state)));
    json->set("started", wave.started.count);
    json->set("ended", wave.ended.count);
    json->set("pending", toJsonList(wave.pending));
    json->set("completed", toJsonList(wave.completed));
    json->set("abandoned", toJsonList(wave.abandoned));
    return json;
}

Object::Ptr toJson(const Permit& permit)
{
    Object::Ptr json = new Object;
    json->set("instance", permit.instance);
    json->set("wave", permit.wave);
    json->set("dataCentre", permit.dataCentre);
    json->set("revision", permit.revision);
    json->set("expires", permit.expires.count);
    return json;
}

Object::Ptr toJson(const Quota& quota)
{
    Object::Ptr json = new Object;
    json->set("team", quota.team);
    json->set("limit", toJson(quota.limit));
    return json;
}

Object::Ptr toJson(const Job& job)
{
    Object::Ptr json = new Object;
    json->set("id", job.id);
    json->set("team", job.team);
    json->set("kind", job.kind);
    json->set("pool", job.pool);
    json->set("selector", toText(job.selector));
    json->set("urgent", job.urgent);
    json->set("repeatable", job.repeatable);
    json->set("declared", toJson(job.declared));
    json->set("phase", std::string(nameOf(job.phase)));
    json->set("worker", job.worker);
    json->set("fence", job.fence);
    json->set("submitted", job.submitted.count);
    json->set("reason", job.reason);
    json->set("ended", job.ended.count);
    json->set("revision", job.revision);
    return json;
}

Resources resourcesFrom(JsonFields fields)
{
    Resources resources { fields.integer("cpuMilli", 0), fields.integer("memoryMb", 0),
        fields.integer("accelerators", 0) };
    fields.rejectUnknownFields();
    return resources;
}

Service serviceFrom(JsonFields& fields)
{
    Service service;
    service.name = fields.requiredString("name");
    service.selector = fields.selector("selector");
    service.maxUnavailablePercent
        = static_cast<int>(fields.integer("maxUnavailablePercent", service.maxUnavailablePercent, 0, 100));
    service.minAvailable = static_cast<int>(fields.integer("minAvailable", 0, 0, 1000000));
    service.spare = fields.boolean("spare", false);
    if (fields.has("repeatableMethods")) {
        service.repeatableMethods = fields.stringList("repeatableMethods");
    } else {
        fields.stringList("repeatableMethods");
    }
    service.maxQueue = { fields.integer("maxQueueMs", service.maxQueue.count, 0, 600000) };
    return service;
}

Pool poolFrom(JsonFields& fields)
{
    Pool pool;
    pool.name = fields.requiredString("name");
    pool.selector = fields.selector("selector");
    pool.service = fields.optionalString("service");
    pool.spare = fields.boolean("spare", false);
    pool.guarded = fields.boolean("guarded", true);
    pool.dataCentres = fields.stringList("dataCentres");
    return pool;
}

Instance instanceFrom(JsonFields& fields)
{
    Instance instance;
    instance.name = fields.requiredString("name");
    instance.kind = upstreamKindFrom(fields, "kind");
    instance.dataCentre = fields.requiredString("dataCentre");
    instance.rack = fields.optionalString("rack");
    instance.labels = fields.labels("labels");
    instance.pool = fields.optionalString("pool");
    instance.nextPool = fields.optionalString("nextPool");
    instance.phase = fields.has("phase") ? instancePhaseFrom(fields, "phase") : InstancePhase::Serving;
    instance.phaseSince = millisFrom(fields, "phaseSince");
    instance.bootEpoch = fields.unsignedInteger("bootEpoch");
    instance.capacity = resourcesFrom(fields.object("capacity"));
    instance.drained = fields.boolean("drained", false);
    return instance;
}

Wave waveFrom(JsonFields& fields)
{
    Wave wave;
    wave.name = fields.requiredString("name");
    wave.selector = fields.selector("selector");
    wave.state = fields.has("state") ? waveStateFrom(fields, "state") : WaveState::Running;
    wave.started = millisFrom(fields, "started");
    wave.ended = millisFrom(fields, "ended");
    wave.pending = setFrom(fields, "pending");
    wave.completed = setFrom(fields, "completed");
    wave.abandoned = setFrom(fields, "abandoned");
    return wave;
}

Permit permitFrom(JsonFields& fields)
{
    Permit permit;
    permit.instance = fields.requiredString("instance");
    permit.wave = fields.optionalString("wave");
    permit.dataCentre = fields.optionalString("dataCentre");
    permit.revision = fields.unsignedInteger("revision");
    permit.expires = millisFrom(fields, "expires");
    return permit;
}

Quota quotaFrom(JsonFields& fields)
{
    return { fields.requiredString("team"), resourcesFrom(fields.object("limit")) };
}

Job jobFrom(JsonFields& fields)
{
    Job job;
    job.id = fields.requiredString("id");
    job.team = fields.requiredString("team");
    job.kind = fields.optionalString("kind");
    job.pool = fields.optionalString("pool");
    job.selector = fields.selector("selector");
    job.urgent = fields.boolean("urgent", false);
    job.repeatable = fields.boolean("repeatable", true);
    job.declared = resourcesFrom(fields.object("declared"));
    job.phase = fields.has("phase") ? jobPhaseFrom(fields, "phase") : JobPhase::Queued;
    job.worker = fields.optionalString("worker");
    job.fence = fields.unsignedInteger("fence");
    job.submitted = millisFrom(fields, "submitted");
    job.reason = fields.optionalString("reason");
    job.ended = millisFrom(fields, "ended");
    job.revision = fields.unsignedInteger("revision");
    return job;
}

std::string encodeFleet(const FleetState& fleet)
{
    Object::Ptr json = new Object;
    json->set("revision", fleet.revision);
    json->set("services", mapToJson(fleet.services));
    json->set("pools", mapToJson(fleet.pools));
    json->set("instances", mapToJson(fleet.instances));
    json->set("waves", mapToJson(fleet.waves));
    json->set("permits", mapToJson(fleet.permits));
    json->set("quotas", mapToJson(fleet.quotas));
    json->set("jobs", mapToJson(fleet.jobs));
    json->set("objectRevisions", mapToJson(fleet.objectRevisions));
    json->set("objectCommands", mapToJson(fleet.objectCommands));
    return toText(json);
}

FleetState decodeFleet(const std::string& json)
{
    const std::string remedy = "restore another snapshot";
    try {
        auto root = parseJsonObject(json, "fleet state");
        JsonFields fields(root, "");
        FleetState fleet;
        fleet.revision = fields.unsignedInteger("revision");
        fleet.services = mapFrom<Service>(root, "services", serviceFrom);
        fleet.pools = mapFrom<Pool>(root, "pools", poolFrom);
        fleet.instances = mapFrom<Instance>(root, "instances", instanceFrom);
        fleet.waves = mapFrom<Wave>(root, "waves", waveFrom);
        fleet.permits = mapFrom<Permit>(root, "permits", permitFrom);
        fleet.quotas = mapFrom<Quota>(root, "quotas", quotaFrom);
        fleet.jobs = mapFrom<Job>(root, "jobs", jobFrom);
        fleet.objectRevisions = scalarsFrom<std::uint64_t>(root, "objectRevisions");
        fleet.objectCommands = scalarsFrom<std::string>(root, "objectCommands");
        return fleet;
    } catch (const Error& e) {
        throw Error(ErrorKind::Corrupt, std::string("the fleet state can't be read: ") + e.what(), remedy);
    } catch (const Poco::Exception& e) {
        throw Error(ErrorKind::Corrupt, "the fleet state can't be read: " + e.displayText(), remedy);
    }
}

} // namespace celeryline
