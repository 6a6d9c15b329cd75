/// @file
/// The subcommand that checks a settings file.
#pragma once

#include "celeryline/cli/Subcommand.h"

namespace celeryline {

/// Runs `celeryline check-config FILE`.
/// @param arguments what follows the subcommand's name.
/// @return Done if the settings are valid.
ExitCode runCheckConfig(const std::vector<std::string>& arguments);

} // namespace celeryline
