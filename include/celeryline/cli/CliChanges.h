/// @file
/// Sending changes from the command line.
#pragma once

#include "celeryline/cli/CliClient.h"
#include "celeryline/cli/Subcommand.h"

#include <string>

namespace celeryline {

/// Sends a change and prints its difference and revision.
/// @param values parsed options, with those of addClientOptions() and addChangeOptions().
/// @param method "POST" or "DELETE".
/// @param path the path.
/// @param body the request's body.
/// @return ExitCode::Done.
/// @throws Error if the change was refused or its outcome isn't known.
ExitCode sendChange(const boost::program_options::variables_map& values, const std::string& method,
    const std::string& path, Poco::JSON::Object::Ptr body);

} // namespace celeryline
