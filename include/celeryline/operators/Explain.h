/// @file
/// Why an instance, job or wave waits.
#pragma once

#include "celeryline/fleet/FleetState.h"

#include <string>

namespace celeryline {

/// @param fleet the fleet state.
/// @param name an instance.
/// @param now wall time, as log entries are stamped with.
/// @return one sentence with names and numbers that says what the instance does and what it waits for.
/// @throws Error of kind NotFound.
std::string explainInstance(const FleetState& fleet, const std::string& name, Millis now);

/// @param id a job.
/// @return one sentence that says where the job is and why it waits.
std::string explainJob(const FleetState& fleet, const std::string& id, Millis now);

/// @param name a wave.
/// @return one sentence that says how far the wave is and which budget, instance or operator holds it up.
std::string explainWave(const FleetState& fleet, const std::string& name, Millis now);

} // namespace celeryline
