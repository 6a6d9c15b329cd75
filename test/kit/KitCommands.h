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

/// Generates load and prints rates, latencies and outcomes.
/// @param arguments what follows the subcommand's name.
/// @return 0 if no answer was wrong.
int runLoad(const std::vector<std::string>& arguments);

/// Compares the outcomes reported to callers with the requests that the runners ran.
/// @param arguments what follows the subcommand's name.
/// @return 0 if there are no violations.
int runCheckJournal(const std::vector<std::string>& arguments);

} // namespace celeryline::kit
