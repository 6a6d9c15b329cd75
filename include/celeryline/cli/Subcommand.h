/// @file
/// The subcommands of the command line.
#pragma once

#include "celeryline/base/ErrorKind.h"

#include <functional>
#include <string>
#include <vector>

namespace celeryline {

/// Exit codes of the binary; documented in docs/OPERATIONS.md.
enum class ExitCode : int {
    Done = 0,
    Internal = 1,
    Usage = 2,
    InvalidInput = 3,
    Conflict = 4,
    NotReachable = 5,
    TimedOut = 6,
    NotFound = 7,
    Refused = 8
};

/// One subcommand.
struct Subcommand {
    std::string name;
    std::string summary; ///< One line for the list of subcommands.
    std::function<ExitCode(const std::vector<std::string>& arguments)> run;
};

/// @param kind an error kind.
/// @return the exit code that stands for it.
ExitCode exitCodeOf(ErrorKind kind);

/// @return all subcommands, in the order of the help text.
const std::vector<Subcommand>& subcommands();

/// Runs the subcommand that the arguments name.
/// @param arguments the command line without the program's name.
/// @return the process's exit code.
int runSubcommand(const std::vector<std::string>& arguments);

} // namespace celeryline
