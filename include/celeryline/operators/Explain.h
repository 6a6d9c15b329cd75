/// @file
/// Explains in text what instances, jobs and waves are waiting for.
#pragma once

#include "celeryline/fleet/FleetState.h"

#include <string>

namespace celeryline {

/// Describes what an instance does and what it is waiting for.
/// @param fleet the fleet state.
/// @param name name of the instance.
/// @param now wall-clock time, the clock of log entry timestamps.
/// @return one sentence with names and numbers.
/// @throws Error of kind NotFound if the instance does not exist.
std::string explainInstance(const FleetState& fleet, const std::string& name, Millis now);

/// Describes the state of a job and why it is waiting.
/// @param id id of the job.
/// @return one sentence.
/// @throws Error of kind NotFound if the job does not exist.
std::string explainJob(const FleetState& fleet, const std::string& id, Millis now);

/// Describes the progress of a wave and which budget, instance or operator blocks it.
/// @param name name of the wave.
/// @return one sentence.
/// @throws Error of kind NotFound if the wave does not exist.
std::string explainWave(const FleetState& fleet, const std::string& name, Millis now);

} // namespace celeryline
