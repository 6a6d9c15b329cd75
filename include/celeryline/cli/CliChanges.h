/// @file
/// Submitting changes from the command line.
#pragma once

#include "celeryline/cli/CliClient.h"
#include "celeryline/cli/Subcommand.h"

#include <string>

namespace celeryline {

/// Submits a change and prints the resulting difference and revision.
/// @param values parsed options, including those of addClientOptions() and addChangeOptions().
/// @param method "POST" or "DELETE".
/// @param path path of the request.
/// @param body body of the request.
/// @return ExitCode::Success.
/// @throws Error if the change was rejected or its outcome is unknown.
ExitCode sendChange(const boost::program_options::variables_map& values, const std::string& method,
    const std::string& path, Poco::JSON::Object::Ptr body);

} // namespace celeryline
