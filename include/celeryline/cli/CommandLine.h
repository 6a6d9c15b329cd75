/// @file
/// Parsing of subcommand options.
#pragma once

#include "celeryline/base/Error.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <string>
#include <vector>

namespace celeryline {

/// An invalid command line; makes the process exit with ExitCode::Usage.
class UsageError final : public Error {
public:
    /// @param what description of the error.
    /// @param remedy the correct usage.
    UsageError(const std::string& what, const std::string& remedy)
        : Error(ErrorKind::InvalidInput, what, remedy)
    {
    }
};

/// Parses the arguments of a subcommand and handles `--help` and `--version`.
/// @param usage first line of the help text, such as "celeryline serve --config FILE".
/// @param options the subcommand's options; `--help` and `--version` are added.
/// @param positional names of positional arguments.
/// @param arguments the arguments after the subcommand's name.
/// @param[out] values the parsed values.
/// @return false if the help text or the version was printed and the subcommand should exit.
/// @throws UsageError for unknown options or invalid values.
bool parseCommandLine(const std::string& usage, boost::program_options::options_description& options,
    const boost::program_options::positional_options_description& positional,
    const std::vector<std::string>& arguments, boost::program_options::variables_map& values);

} // namespace celeryline
