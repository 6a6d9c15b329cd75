/// @file
/// Parsing of a subcommand's options.
#pragma once

#include "celeryline/base/Error.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <string>
#include <vector>

namespace celeryline {

/// A wrong command line; ends the process with the exit code for usage errors.
class UsageError final : public Error {
public:
    /// @param what what is wrong.
    /// @param remedy how to write it.
    UsageError(const std::string& what, const std::string& remedy)
        : Error(ErrorKind::InvalidInput, what, remedy)
    {
    }
};

/// Parses a subcommand's arguments; adds and serves `--help` and `--version`.
/// @param usage first line of the help text, such as "celeryline serve --config FILE".
/// @param options the subcommand's options; `--help` and `--version` are added.
/// @param positional names of positional arguments.
/// @param arguments what follows the subcommand's name.
/// @param[out] values the parsed values.
/// @return false if help or the version was printed and there is nothing more to do.
/// @throws UsageError for unknown options or wrong values.
bool parseCommandLine(const std::string& usage, boost::program_options::options_description& options,
    const boost::program_options::positional_options_description& positional,
    const std::vector<std::string>& arguments, boost::program_options::variables_map& values);

} // namespace celeryline
