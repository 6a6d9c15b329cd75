/// @file
/// The check-config subcommand.
#pragma once

#include "celeryline/cli/Subcommand.h"

namespace celeryline {

/// Runs `celeryline check-config FILE`.
/// @param arguments the arguments after the subcommand's name.
/// @return Success if the settings are valid.
ExitCode runCheckConfig(const std::vector<std::string>& arguments);

} // namespace celeryline
