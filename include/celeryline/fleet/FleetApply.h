/// @file
/// Application of fleet commands to a fleet state.
#pragma once

#include "celeryline/fleet/FleetCommand.h"
#include "celeryline/fleet/FleetState.h"

#include <string>
#include <utility>

namespace celeryline {

/// Applies a command to a fleet state. Deterministic and free of side effects.
/// @param fleet the current state.
/// @param entryTime time of the log entry that contains the command.
/// @param command a command of kind Fleet.
/// @return the resulting state and the result for the submitter. The state is unchanged if the command was
/// rejected or had no effect.
///
/// Example: `auto [next, result] = applyFleetCommand(fleet, now, encodeFleetCommand("c1", drainOf("w1")));`
std::pair<FleetState, CommandResult> applyFleetCommand(
    const FleetState& fleet, Millis entryTime, const Command& command);

} // namespace celeryline
