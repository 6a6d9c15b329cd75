/// @file
/// The operator subcommands.
#pragma once

#include "celeryline/cli/Subcommand.h"

#include <string>
#include <vector>

namespace celeryline {

/// Each function runs one subcommand with the arguments after its name and throws Error on failure.
ExitCode runApply(const std::vector<std::string>& arguments);
ExitCode runGet(const std::vector<std::string>& arguments);
ExitCode runDescribe(const std::vector<std::string>& arguments);
ExitCode runWatch(const std::vector<std::string>& arguments);
ExitCode runLabel(const std::vector<std::string>& arguments);
ExitCode runDrain(const std::vector<std::string>& arguments);
ExitCode runUndrain(const std::vector<std::string>& arguments);
ExitCode runMove(const std::vector<std::string>& arguments);
ExitCode runWave(const std::vector<std::string>& arguments);
ExitCode runJob(const std::vector<std::string>& arguments);
ExitCode runExplain(const std::vector<std::string>& arguments);
ExitCode runStatus(const std::vector<std::string>& arguments);
ExitCode runCompletion(const std::vector<std::string>& arguments);

} // namespace celeryline
