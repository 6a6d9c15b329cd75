#include "celeryline/operators/OperatorCommands.h"

#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/labels/JsonFields.h"

#include <Poco/UUIDGenerator.h>

namespace celeryline {

namespace {

using Path = std::vector<std::string>;
using ParameterReader = void (*)(JsonFields&, const Path&, FleetCommand&);

void readApply(JsonFields& fields, const Path&, FleetCommand& command)
{
    if (!command.baseRevision) {
        fields.fail("baseRevision", "is missing",
            "set it to the revision that the change is based on, or to 0 if the objects must not exist yet");
    }
    readAppliedObjects(fields, command);
}

void readDelete(JsonFields& fields, const Path&, FleetCommand& command)
{
    readDeletedObjects(fields, command);
}

void readName(JsonFields&, const Path& path, FleetCommand& command) { command.name = path[1]; }

void readLabel(JsonFields& fields, const Path& path, FleetCommand& command)
{
    command.name = path[1];
    command.labels = fields.labels("labels");
    command.removedLabels = fields.stringList("removedLabels");
}

void readDrain(JsonFields& fields, const Path& path, FleetCommand& command)
{
    command.name = path[1];
    command.force = fields.boolean("force", false);
}

void readMove(JsonFields& fields, const Path& path, FleetCommand& command)
{
    command.name = path[1];
    command.pool = fields.requiredString("pool");
}

void readWave(JsonFields& fields, const Path&, FleetCommand& command)
{
    command.name = fields.requiredString("name");
    fields.requiredString("selector");
    command.selector = fields.selector("selector");
}

void readJob(JsonFields& fields, const Path&, FleetCommand& command)
{
    auto job = fields.object("job");
    command.job = jobFrom(job);
    job.rejectUnknownFields();
}

void readJobs(JsonFields& fields, const Path&, FleetCommand& command)
{
    command.jobs = fields.stringList("jobs");
}

void readJobId(JsonFields&, const Path& path, FleetCommand& command) { command.jobs = { path[1] }; }

/// Maps a method and path to a fleet operation; "*" matches any name.
struct Route {
    std::string method;
    Path path;
    FleetOperation operation;
    ParameterReader read;
};

const std::vector<Route>& routes()
{
    using Operation = FleetOperation;
    static const std::vector<Route> all { { "POST", { "apply" }, Operation::Apply, readApply },
        { "POST", { "delete" }, Operation::Delete, readDelete },
        { "POST", { "instances", "*", "label" }, Operation::Label, readLabel },
        { "POST", { "instances", "*", "drain" }, Operation::Drain, readDrain },
        { "POST", { "instances", "*", "undrain" }, Operation::Undrain, readName },
        { "POST", { "instances", "*", "move" }, Operation::Move, readMove },
        { "DELETE", { "instances", "*" }, Operation::RemoveInstance, readName },
        { "POST", { "waves" }, Operation::StartWave, readWave },
        { "POST", { "waves", "*", "pause" }, Operation::PauseWave, readName },
        { "POST", { "waves", "*", "resume" }, Operation::ResumeWave, readName },
        { "POST", { "jobs" }, Operation::SubmitJob, readJob },
        { "POST", { "jobs", "cancel" }, Operation::CancelJobs, readJobs },
        { "DELETE", { "jobs", "*" }, Operation::CancelJobs, readJobId } };
    return all;
}

bool matchesPattern(const Path& pattern, const Path& path)
{
    if (pattern.size() != path.size()) {
        return false;
    }
    for (std::size_t i = 0; i < path.size(); ++i) {
        if (pattern[i] != "*" && pattern[i] != path[i]) {
            return false;
        }
    }
    return true;
}

} // namespace

std::optional<OperatorChange> readOperatorChange(
    const std::string& method, const Path& path, const std::string& body)
{
    for (const auto& route : routes()) {
        if (route.method != method || !matchesPattern(route.path, path)) {
            continue;
        }
        auto fields = parseJsonFields(body.empty() ? "{}" : body);
        OperatorChange change;
        change.commandId = fields.optionalString("commandId");
        change.dryRun = fields.boolean("dryRun", false);
        change.command.operation = route.operation;
        auto base = fields.unsignedInteger("baseRevision");
        if (fields.has("baseRevision")) {
            change.command.baseRevision = base;
        }
        route.read(fields, path, change.command);
        fields.rejectUnknownFields();
        return change;
    }
    return {};
}

std::string newCommandId() { return Poco::UUIDGenerator::defaultGenerator().createRandom().toString(); }

} // namespace celeryline
