/// @file
/// The operations of fleet commands on a draft of the next state.
#pragma once

#include "celeryline/fleet/FleetCommand.h"
#include "celeryline/fleet/FleetDraft.h"

#include <Poco/JSON/Object.h>

#include <string>

namespace celeryline::detail {

/// The JSON result of an operation; null stands for an empty object.
using OperationResult = Poco::JSON::Object::Ptr;

/// Finished jobs and waves are kept up to these numbers, newest first, so that the state stays small.
constexpr std::size_t maxFinishedJobs = 2000;
constexpr std::size_t maxFinishedWaves = 50;

/// Each applies one operation and throws Error if it is refused.
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

/// Ends the permit of an instance.
/// @param draft the next state.
/// @param name the instance.
void endPermit(FleetDraft& draft, const std::string& name);

/// Lets an instance serve in the pool that its labels name, without a permit.
/// @param draft the next state.
/// @param instance the instance to change and write back.
void putIntoService(FleetDraft& draft, Instance instance);

/// Adapts owner and phase after a change of labels or selectors.
/// @param draft the next state; its pools are those to follow.
/// @param instance the instance to change and write back.
void followLabels(FleetDraft& draft, Instance instance);

} // namespace celeryline::detail
