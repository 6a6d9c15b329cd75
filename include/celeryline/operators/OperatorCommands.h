/// @file
/// Operators' HTTP requests as fleet commands.
#pragma once

#include "celeryline/fleet/FleetCommand.h"

#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// A change that an operator asks for.
struct OperatorChange {
    std::string commandId; ///< Empty if the operator gave none.
    bool dryRun = false;
    FleetCommand command;
};

/// Reads a change from an HTTP request.
/// @param method "POST" or "DELETE".
/// @param path segments of the path after "/v1".
/// @param body the body; empty for DELETE.
/// @return the change, or nothing if the path stands for no change.
/// @throws Error of kind InvalidInput that names the field and the remedy.
///
/// Example: `readOperatorChange("POST", { "instances", "w1", "drain" }, "{}")`
std::optional<OperatorChange> readOperatorChange(
    const std::string& method, const std::vector<std::string>& path, const std::string& body);

/// @return a command id that no other call on any machine gives.
std::string newCommandId();

} // namespace celeryline
