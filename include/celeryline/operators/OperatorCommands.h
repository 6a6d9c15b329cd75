/// @file
/// Converts operators' HTTP requests to fleet commands.
#pragma once

#include "celeryline/fleet/FleetCommand.h"

#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// A change requested by an operator.
struct OperatorChange {
    std::string commandId; ///< Empty if the request has none.
    bool dryRun = false;
    FleetCommand command;
};

/// Parses a change from an HTTP request.
/// @param method "POST" or "DELETE".
/// @param path path segments after "/v1".
/// @param body the JSON body; empty for DELETE.
/// @return the change, or nullopt if no change has this method and path.
/// @throws Error of kind InvalidInput that names the invalid field and how to fix it.
///
/// Example: `readOperatorChange("POST", { "instances", "w1", "drain" }, "{}")`
std::optional<OperatorChange> readOperatorChange(
    const std::string& method, const std::vector<std::string>& path, const std::string& body);

/// @return a globally unique command id.
std::string newCommandId();

} // namespace celeryline
