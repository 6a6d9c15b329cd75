/// @file
/// The serve subcommand.
#pragma once

#include "celeryline/cli/Subcommand.h"

namespace celeryline {

/// Runs `celeryline serve --config FILE`: runs an entry instance until SIGTERM or SIGINT is received, then
/// shuts down gracefully.
/// @param arguments the arguments after the subcommand's name.
/// @return Success after a graceful shutdown.
ExitCode runServe(const std::vector<std::string>& arguments);

} // namespace celeryline
