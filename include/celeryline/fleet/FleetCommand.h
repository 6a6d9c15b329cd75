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

/// What a fleet command does.
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

/// A wish for a permit, fenced by the state that it was decided on.
struct PermitRequest {
    std::string instance;
    std::string wave; ///< Empty for a move.
    std::uint64_t revision = 0; ///< Refused if the instance, its pool or service changed after this one.
    Millis lease { 30000 };
};

/// What to do with a queued or placed job.
struct JobPlacementChange {
    std::string job;
    std::string worker; ///< Not empty: place a queued job there.
    bool refuse = false; ///< The job can never run.
    bool requeue = false; ///< Take a placed job back into the queue.
    std::string reason; ///< Why it waits or was refused.
};

/// A change to the fleet state. Each operation reads only the fields that it needs.
struct FleetCommand {
    FleetOperation operation = FleetOperation::Apply;
    /// Objects that changed after this revision are a conflict; none for commands of the system itself.
    std::optional<std::uint64_t> baseRevision;
    std::vector<Service> services; ///< Apply.
    std::vector<Pool> pools; ///< Apply.
    std::vector<Quota> quotas; ///< Apply.
    std::vector<ObjectReference> objects; ///< Delete.
    std::string name; ///< The instance or wave.
    Instance instance; ///< RegisterInstance.
    std::uint64_t bootEpoch = 0; ///< InstanceLost, InstanceReturned.
    LabelSet labels; ///< Label: labels to set.
    std::vector<std::string> removedLabels; ///< Label: labels to remove.
    std::string pool; ///< Move: the new pool.
    bool force = false; ///< Drain: even beyond the service's budget.
    Selector selector; ///< StartWave.
    std::string wave; ///< AbandonInstance.
    std::vector<PermitRequest> permits; ///< GrantPermits.
    Job job; ///< SubmitJob.
    std::vector<std::string> jobs; ///< CancelJobs.
    std::vector<JobPlacementChange> placements; ///< PlaceJobs.
    std::uint64_t fence = 0; ///< JobEnded: of the placement that ended.
    JobPhase outcome = JobPhase::Done; ///< JobEnded: running, done, failed or queued.
    std::string reason; ///< AbandonInstance, JobEnded.
};

/// @param operation an operation.
/// @return its name in JSON, such as "startWave".
const char* nameOf(FleetOperation operation);

/// Parses and checks the body of a command of kind Fleet.
/// @param body JSON text.
/// @return the command.
/// @throws Error of kind InvalidInput that names the field and the remedy.
///
/// Example: `parseFleetCommand("{\"operation\":\"drain\",\"name\":\"w1\",\"baseRevision\":7}")`
FleetCommand parseFleetCommand(const std::string& body);

/// @param id the command id; a resent command has the same.
/// @param command a fleet command.
/// @return it as a command for the log.
Command encodeFleetCommand(const std::string& id, const FleetCommand& command);

/// Reads the list of objects that an operator applies.
/// @param fields has the field "objects": a list of objects with "kind".
/// @param[out] command receives services, pools and quotas.
void readAppliedObjects(JsonFields& fields, FleetCommand& command);

/// Reads the list of references that an operator deletes.
/// @param fields has the field "objects": a list of objects with "kind" and "name".
/// @param[out] command receives the references.
void readDeletedObjects(JsonFields& fields, FleetCommand& command);

} // namespace celeryline
