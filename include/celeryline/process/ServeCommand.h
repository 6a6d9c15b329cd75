/// @file
/// The subcommand that runs an entry instance.
#pragma once

#include "celeryline/cli/Subcommand.h"

namespace celeryline {

/// Runs `celeryline serve --config FILE` until SIGTERM or SIGINT, which stop it gracefully.
/// @param arguments what follows the subcommand's name.
/// @return Done after a graceful shutdown.
ExitCode runServe(const std::vector<std::string>& arguments);

} // namespace celeryline
