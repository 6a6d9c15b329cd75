/// @file
/// The commands that change the fleet state.
#pragma once

#include "celeryline/fleet/FleetState.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

class JsonFields;

/// The operation of a fleet command. The values are indexes into the tables of names, parsers and handlers.
enum class FleetOperation : std::uint8_t {
    Apply,
    Delete,
    RegisterInstance,
    InstanceLost,
    Label,
    Drain,
    Undrain,
    Move,
    StartWave,
    PauseWave,
    ResumeWave,
    GrantPermits,
    InstanceDrained,
    InstanceRebooting,
    InstanceReturned,
    AbandonInstance,
    FinishMove,
    EndWave,
    SubmitJob,
    CancelJobs,
    PlaceJobs,
    JobEnded,
    RemoveInstance
};

/// A reference to a pool, service or quota.
struct ObjectReference {
    std::string kind; ///< "pool", "service" or "quota".
    std::string name;
};

/// A request for a permit. The revision fences it against changes made after the decision.
struct PermitRequest {
    std::string instance;
    std::string wave; ///< Empty for a move to another pool.
    /// Revision that the decision is based on; the request is rejected if the instance, its pool or its
    /// service has changed since.
    std::uint64_t revision = 0;
    Millis lease { 30000 };
};

/// A change to the placement of a queued or placed job.
struct JobPlacementChange {
    std::string job;
    std::string worker; ///< Worker to place the job on; empty for other changes.
    bool refuse = false; ///< Refuse the job because it can never run.
    bool requeue = false; ///< The job is placed: return it to the queue, or place it on another worker.
    std::string reason; ///< Why the job waits or was refused.
};

/// A change to the fleet state. Each operation uses only the fields that it needs.
struct FleetCommand {
    FleetOperation operation = FleetOperation::Apply;
    /// The command conflicts with changes to its objects after this revision. Not set by internal commands,
    /// which skip the check.
    std::optional<std::uint64_t> baseRevision;
    std::vector<Service> services; ///< Apply.
    std::vector<Pool> pools; ///< Apply.
    std::vector<Quota> quotas; ///< Apply.
    std::vector<ObjectReference> objects; ///< Delete.
    std::string name; ///< Instance, wave or job that the command applies to.
    Instance instance; ///< RegisterInstance.
    std::uint64_t bootEpoch = 0; ///< InstanceLost, InstanceReturned.
    LabelSet labels; ///< Label: labels to set.
    std::vector<std::string> removedLabels; ///< Label: labels to remove.
    std::string pool; ///< Move: the target pool.
    bool force = false; ///< Drain: skip the check of the service's availability budget.
    Selector selector; ///< StartWave.
    std::string wave; ///< AbandonInstance.
    std::vector<PermitRequest> permits; ///< GrantPermits.
    Job job; ///< SubmitJob.
    std::vector<std::string> jobs; ///< CancelJobs.
    std::vector<JobPlacementChange> placements; ///< PlaceJobs.
    std::uint64_t fence = 0; ///< JobEnded: fence of the placement that ended.
    JobPhase outcome = JobPhase::Done; ///< JobEnded: running, done, failed or queued.
    std::string reason; ///< AbandonInstance, JobEnded.
};

/// @return the JSON name of the operation, such as "startWave".
const char* nameOf(FleetOperation operation);

/// Parses and validates the body of a command of kind Fleet.
/// @param body JSON text.
/// @throws Error of kind InvalidInput that names the invalid field and how to correct it.
///
/// Example: `parseFleetCommand("{\"operation\":\"drain\",\"name\":\"w1\",\"baseRevision\":7}")`
FleetCommand parseFleetCommand(const std::string& body);

/// Encodes a fleet command for the replicated log.
/// @param id unique id of the command; a retry uses the same id.
/// @param command the command to encode.
Command encodeFleetCommand(const std::string& id, const FleetCommand& command);

/// Reads the objects of an apply request.
/// @param fields the request; its field "objects" is a list of objects with a "kind".
/// @param[out] command receives the services, pools and quotas.
void readAppliedObjects(JsonFields& fields, FleetCommand& command);

/// Reads the object references of a delete request.
/// @param fields the request; its field "objects" is a list of objects with "kind" and "name".
/// @param[out] command receives the references.
void readDeletedObjects(JsonFields& fields, FleetCommand& command);

} // namespace celeryline
