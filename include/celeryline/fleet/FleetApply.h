/// @file
/// Applying fleet commands.
#pragma once

#include "celeryline/fleet/FleetCommand.h"
#include "celeryline/fleet/FleetState.h"

#include <string>
#include <utility>

namespace celeryline {

/// Applies a command to a fleet state. Deterministic and without side effects.
/// @param fleet the state before.
/// @param entryTime log entry time of the command.
/// @param command a command of kind Fleet.
/// @return the state after, and the result that the submitter receives. The state is the same if the command
/// was refused or changed nothing.
///
/// Example: `auto [next, result] = applyFleetCommand(fleet, now, encodeFleetCommand("c1", drainOf("w1")));`
std::pair<FleetState, CommandResult> applyFleetCommand(
    const FleetState& fleet, Millis entryTime, const Command& command);

} // namespace celeryline
