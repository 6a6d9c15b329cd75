/// @file
/// Handlers that apply the operations of fleet commands to a draft of the fleet state.
#pragma once

#include "celeryline/fleet/FleetCommand.h"
#include "celeryline/fleet/FleetDraft.h"

#include <Poco/JSON/Object.h>

#include <string>

namespace celeryline::detail {

/// The JSON result of an operation; null means an empty object.
using OperationResult = Poco::JSON::Object::Ptr;

/// Retention limits that bound the size of the state; the oldest finished jobs and waves are removed first.
constexpr std::size_t maxFinishedJobs = 2000;
constexpr std::size_t maxFinishedWaves = 50;

/// Each function applies one operation and throws Error if the operation is rejected.
OperationResult applyObjects(FleetDraft& draft, const FleetCommand& command);
OperationResult deleteObjects(FleetDraft& draft, const FleetCommand& command);

OperationResult registerInstance(FleetDraft& draft, const FleetCommand& command);
OperationResult instanceLost(FleetDraft& draft, const FleetCommand& command);
OperationResult instanceReturned(FleetDraft& draft, const FleetCommand& command);
OperationResult instanceDrained(FleetDraft& draft, const FleetCommand& command);
OperationResult instanceRebooting(FleetDraft& draft, const FleetCommand& command);
OperationResult removeInstance(FleetDraft& draft, const FleetCommand& command);
OperationResult labelInstance(FleetDraft& draft, const FleetCommand& command);
OperationResult moveInstance(FleetDraft& draft, const FleetCommand& command);
OperationResult finishMove(FleetDraft& draft, const FleetCommand& command);
OperationResult drainInstance(FleetDraft& draft, const FleetCommand& command);
OperationResult undrainInstance(FleetDraft& draft, const FleetCommand& command);

OperationResult startWave(FleetDraft& draft, const FleetCommand& command);
OperationResult setWaveState(FleetDraft& draft, const FleetCommand& command);
OperationResult endWave(FleetDraft& draft, const FleetCommand& command);
OperationResult grantPermits(FleetDraft& draft, const FleetCommand& command);
OperationResult abandonInstance(FleetDraft& draft, const FleetCommand& command);

OperationResult submitJob(FleetDraft& draft, const FleetCommand& command);
OperationResult cancelJobs(FleetDraft& draft, const FleetCommand& command);
OperationResult placeJobs(FleetDraft& draft, const FleetCommand& command);
OperationResult jobEnded(FleetDraft& draft, const FleetCommand& command);

/// Removes the permit of an instance, if it has one.
/// @param draft the state to change.
/// @param name name of the instance.
void endPermit(FleetDraft& draft, const std::string& name);

/// Sets an instance to Serving in the pool that selects it and removes its permit.
/// @param draft the state to change.
/// @param instance the instance to update and store.
void putIntoService(FleetDraft& draft, Instance instance);

/// Updates pool, next pool and phase of an instance after its labels or the selectors of pools have changed.
/// @param draft the state to change; contains the new pools.
/// @param instance the instance to update and store.
void reassignPool(FleetDraft& draft, Instance instance);

} // namespace celeryline::detail
