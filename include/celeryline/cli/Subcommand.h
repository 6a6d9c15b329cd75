/// @file
/// The subcommands of the command line.
#pragma once

#include "celeryline/base/ErrorKind.h"

#include <functional>
#include <string>
#include <vector>

namespace celeryline {

/// Exit codes of the process; documented in docs/OPERATIONS.md.
enum class ExitCode : int {
    Success = 0,
    Internal = 1,
    Usage = 2,
    InvalidInput = 3,
    Conflict = 4,
    Unreachable = 5,
    TimedOut = 6,
    NotFound = 7,
    Refused = 8
};

/// A subcommand.
struct Subcommand {
    std::string name;
    std::string summary; ///< One-line description for the help text.
    std::function<ExitCode(const std::vector<std::string>& arguments)> run;
};

/// @param kind an error kind.
/// @return the corresponding exit code.
ExitCode exitCodeFor(ErrorKind kind);

/// @return all subcommands, in the order of the help text.
const std::vector<Subcommand>& subcommands();

/// Runs the subcommand named by the first argument and reports errors on standard error.
/// @param arguments the command line without the program name.
/// @return exit code of the process.
int runSubcommand(const std::vector<std::string>& arguments);

} // namespace celeryline
