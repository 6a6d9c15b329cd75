/// @file
/// The subcommands of the test kit.
#pragma once

#include <string>
#include <vector>

namespace celeryline::kit {

/// Runs stand-in runners or workers until SIGTERM.
/// @param arguments what follows the subcommand's name.
/// @return the exit code.
int runUpstreams(const std::vector<std::string>& arguments);

/// Sends requests as callers do and prints rates, latencies and outcomes.
/// @param arguments what follows the subcommand's name.
/// @return 0 if every answer was right.
int runLoad(const std::vector<std::string>& arguments);

/// Compares what callers were told with what the runners ran.
/// @param arguments what follows the subcommand's name.
/// @return 0 if no promise was broken.
int runCheckJournal(const std::vector<std::string>& arguments);

} // namespace celeryline::kit
