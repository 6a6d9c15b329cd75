#include "celeryline/fleet/FleetCommand.h"

#include "celeryline/base/EditDistance.h"
#include "celeryline/base/Error.h"
#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/labels/JsonFields.h"

#include <Poco/String.h>

#include <array>

namespace celeryline {

using Poco::JSON::Array;
using Poco::JSON::Object;

namespace {

constexpr std::array<const char*, 23> operationNames { "apply", "delete", "registerInstance", "instanceLost",
    "label", "drain", "undrain", "move", "startWave", "pauseWave", "resumeWave", "grantPermits",
    "instanceDrained", "instanceRebooting", "instanceReturned", "abandonInstance", "finishMove", "endWave",
    "submitJob", "cancelJobs", "placeJobs", "jobEnded", "removeInstance" };

FleetOperation operationFrom(JsonFields& fields)
{
    auto name = fields.requiredString("operation");
    for (std::size_t i = 0; i < operationNames.size(); ++i) {
        if (name == operationNames.at(i)) {
            return static_cast<FleetOperation>(i);
        }
    }
    auto nearest = closestMatch(name, { operationNames.begin(), operationNames.end() });
    fields.fail("operation", "is \"" + name + "\"", "did you mean \"" + nearest + "\"?");
}

void readApply(JsonFields& fields, FleetCommand& command) { readAppliedObjects(fields, command); }

void readDelete(JsonFields& fields, FleetCommand& command) { readDeletedObjects(fields, command); }

void readRegister(JsonFields& fields, FleetCommand& command)
{
    auto item = fields.object("instance");
    command.instance = instanceFrom(item);
    item.rejectUnknownFields();
    command.name = command.instance.name;
    command.bootEpoch = command.instance.bootEpoch;
}

void readNamed(JsonFields& fields, FleetCommand& command) { command.name = fields.requiredString("name"); }

void readNamedWithEpoch(JsonFields& fields, FleetCommand& command)
{
    readNamed(fields, command);
    command.bootEpoch = fields.unsignedInteger("bootEpoch");
}

void readLabel(JsonFields& fields, FleetCommand& command)
{
    readNamed(fields, command);
    command.labels = fields.labels("labels");
    command.removedLabels = fields.stringList("removedLabels");
    if (command.labels.empty() && command.removedLabels.empty()) {
        fields.fail("labels", "is empty", "give labels to set, or names in \"removedLabels\"");
    }
}

void readDrain(JsonFields& fields, FleetCommand& command)
{
    readNamed(fields, command);
    command.force = fields.boolean("force", false);
}

void readMove(JsonFields& fields, FleetCommand& command)
{
    readNamed(fields, command);
    command.pool = fields.requiredString("pool");
}

void readStartWave(JsonFields& fields, FleetCommand& command)
{
    readNamed(fields, command);
    fields.requiredString("selector");
    command.selector = fields.selector("selector");
}

void readPermits(JsonFields& fields, FleetCommand& command)
{
    for (auto& item : fields.objects("permits")) {
        PermitRequest request { item.requiredString("instance"), item.optionalString("wave"),
            item.unsignedInteger("revision"), Millis { item.integer("leaseMs", 30000, 1, 86400000) } };
        item.rejectUnknownFields();
        command.permits.push_back(request);
    }
    if (command.permits.empty()) {
        fields.fail("permits", "is empty", "list at least one permit");
    }
}

void readAbandon(JsonFields& fields, FleetCommand& command)
{
    readNamed(fields, command);
    command.wave = fields.requiredString("wave");
    command.reason = fields.optionalString("reason");
}

void readSubmitJob(JsonFields& fields, FleetCommand& command)
{
    auto item = fields.object("job");
    command.job = jobFrom(item);
    item.rejectUnknownFields();
}

void readCancelJobs(JsonFields& fields, FleetCommand& command)
{
    command.jobs = fields.stringList("jobs");
    if (command.jobs.empty()) {
        fields.fail("jobs", "is empty", "list the ids of the jobs to cancel");
    }
}

void readPlaceJobs(JsonFields& fields, FleetCommand& command)
{
    for (auto& item : fields.objects("placements")) {
        JobPlacementChange change { item.requiredString("job"), item.optionalString("worker"),
            item.boolean("refuse", false), item.boolean("requeue", false), item.optionalString("reason") };
        item.rejectUnknownFields();
        command.placements.push_back(change);
    }
}

void readJobEnded(JsonFields& fields, FleetCommand& command)
{
    readNamed(fields, command);
    command.fence = fields.unsignedInteger("fence");
    command.outcome = jobPhaseFrom(fields, "outcome");
    command.reason = fields.optionalString("reason");
    bool isAllowed = command.outcome == JobPhase::Running || command.outcome == JobPhase::Done
        || command.outcome == JobPhase::Failed || command.outcome == JobPhase::Queued;
    if (!isAllowed) {
        fields.fail("outcome", "is \"" + std::string(nameOf(command.outcome)) + "\"",
            "set it to running, done, failed or queued");
    }
}

using Reader = void (*)(JsonFields&, FleetCommand&);

/// Indexed by FleetOperation.
constexpr std::array<Reader, 23> readers { readApply, readDelete, readRegister, readNamedWithEpoch, readLabel,
    readDrain, readNamed, readMove, readStartWave, readNamed, readNamed, readPermits, readNamedWithEpoch,
    readNamed, readNamedWithEpoch, readAbandon, readNamed, readNamed, readSubmitJob, readCancelJobs,
    readPlaceJobs, readJobEnded, readNamed };

template <typename T> void addObjects(Array& list, const std::string& kind, const std::vector<T>& objects)
{
    for (const auto& object : objects) {
        auto json = toJson(object);
        json->set("kind", kind);
        list.add(json);
    }
}

Array::Ptr objectsToJson(const FleetCommand& command)
{
    Array::Ptr list = new Array;
    addObjects(*list, "service", command.services);
    addObjects(*list, "pool", command.pools);
    addObjects(*list, "quota", command.quotas);
    for (const auto& reference : command.objects) {
        Object::Ptr json = new Object;
        json->set("kind", reference.kind);
        json->set("name", reference.name);
        list->add(json);
    }
    return list;
}

Array::Ptr permitsToJson(const std::vector<PermitRequest>& permits)
{
    Array::Ptr list = new Array;
    for (const auto& request : permits) {
        Object::Ptr json = new Object;
        json->set("instance", request.instance);
        json->set("wave", request.wave);
        json->set("revision", request.revision);
        json->set("leaseMs", request.lease.count);
        list->add(json);
    }
    return list;
}

Array::Ptr placementsToJson(const std::vector<JobPlacementChange>& placements)
{
    Array::Ptr list = new Array;
    for (const auto& change : placements) {
        Object::Ptr json = new Object;
        json->set("job", change.job);
        json->set("worker", change.worker);
        json->set("refuse", change.refuse);
        json->set("requeue", change.requeue);
        json->set("reason", change.reason);
        list->add(json);
    }
    return list;
}

/// Writes the fields of an operation other than "name".
void writeFields(Object& json, const FleetCommand& command)
{
    switch (command.operation) {
    case FleetOperation::Apply:
    case FleetOperation::Delete:
        json.set("objects", objectsToJson(command));
        return;
    case FleetOperation::RegisterInstance:
        json.set("instance", toJson(command.instance));
        return;
    case FleetOperation::InstanceLost:
    case FleetOperation::InstanceDrained:
    case FleetOperation::InstanceReturned:
        json.set("bootEpoch", command.bootEpoch);
        return;
    case FleetOperation::Label:
        json.set("labels", toJson(command.labels));
        json.set("removedLabels", toJsonList(command.removedLabels));
        return;
    case FleetOperation::Drain:
        json.set("force", command.force);
        return;
    case FleetOperation::Move:
        json.set("pool", command.pool);
        return;
    case FleetOperation::StartWave:
        json.set("selector", toText(command.selector));
        return;
    case FleetOperation::GrantPermits:
        json.set("permits", permitsToJson(command.permits));
        return;
    case FleetOperation::AbandonInstance:
        json.set("wave", command.wave);
        json.set("reason", command.reason);
        return;
    case FleetOperation::SubmitJob:
        json.set("job", toJson(command.job));
        return;
    case FleetOperation::CancelJobs:
        json.set("jobs", toJsonList(command.jobs));
        return;
    case FleetOperation::PlaceJobs:
        json.set("placements", placementsToJson(command.placements));
        return;
    case FleetOperation::JobEnded:
        json.set("fence", command.fence);
        json.set("outcome", std::string(nameOf(command.outcome)));
        json.set("reason", command.reason);
        return;
    default:
        return;
    }
}

/// @return the kind of the object in lower case; object files use the capitalised form, such as "Pool".
std::string lowerCaseKind(JsonFields& item) { return Poco::toLower(item.requiredString("kind")); }

} // namespace

const char* nameOf(FleetOperation operation)
{
    return operationNames.at(static_cast<std::size_t>(operation));
}

void readAppliedObjects(JsonFields& fields, FleetCommand& command)
{
    for (auto& item : fields.objects("objects")) {
        auto kind = lowerCaseKind(item);
        // Accepted because API responses contain it; conflicts are detected by "baseRevision".
        item.unsignedInteger("revision");
        if (kind == "service") {
            command.services.push_back(serviceFrom(item));
        } else if (kind == "pool") {
            command.pools.push_back(poolFrom(item));
        } else if (kind == "quota") {
            command.quotas.push_back(quotaFrom(item));
        } else {
            item.fail("kind", "is \"" + kind + "\"", "set it to one of: service, pool, quota");
        }
        item.rejectUnknownFields();
    }
    if (command.services.empty() && command.pools.empty() && command.quotas.empty()) {
        fields.fail("objects", "is empty", "list at least one service, pool or quota");
    }
}

void readDeletedObjects(JsonFields& fields, FleetCommand& command)
{
    for (auto& item : fields.objects("objects")) {
        ObjectReference reference { lowerCaseKind(item), item.requiredString("name") };
        if (reference.kind != "pool" && reference.kind != "service" && reference.kind != "quota") {
            item.fail("kind", "is \"" + reference.kind + "\"", "only pool, service and quota can be deleted");
        }
        item.rejectUnknownFields();
        command.objects.push_back(reference);
    }
    if (command.objects.empty()) {
        fields.fail("objects", "is empty", "list the objects to delete");
    }
}

FleetCommand parseFleetCommand(const std::string& body)
{
    auto fields = parseJsonFields(body);
    FleetCommand command;
    command.operation = operationFrom(fields);
    auto base = fields.unsignedInteger("baseRevision");
    if (fields.has("baseRevision")) {
        command.baseRevision = base;
    }
    readers.at(static_cast<std::size_t>(command.operation))(fields, command);
    fields.rejectUnknownFields();
    return command;
}

Command encodeFleetCommand(const std::string& id, const FleetCommand& command)
{
    Object::Ptr json = new Object;
    json->set("operation", std::string(nameOf(command.operation)));
    if (command.baseRevision) {
        json->set("baseRevision", *command.baseRevision);
    }
    if (!command.name.empty() && command.operation != FleetOperation::RegisterInstance) {
        json->set("name", command.name);
    }
    writeFields(*json, command);
    return { CommandKind::Fleet, id, toText(json) };
}

} // namespace celeryline
