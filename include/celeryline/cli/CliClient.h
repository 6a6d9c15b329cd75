/// @file
/// The command line's HTTP client.
#pragma once

#include "celeryline/base/Millis.h"

#include <Poco/JSON/Object.h>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <string>
#include <vector>

namespace celeryline {

/// Sends requests to the first entry instance that can be reached.
class CliClient {
public:
    /// @param servers "IP:port" of entry instances, in the order to try them.
    /// @param token the operators' token; empty sends none.
    /// @param commandId id of the changes; empty generates one.
    CliClient(std::vector<std::string> servers, std::string token, std::string commandId);

    /// @param path path and query, such as "/v1/pools".
    /// @param timeout how long to wait for the response.
    /// @return the response's body.
    /// @throws Error of the kind that the server named; of kind Unavailable if no server can be reached.
    Poco::JSON::Object::Ptr get(const std::string& path, Millis timeout = { 15000 });

    /// Sends a change. It is sent again to the next server with the same command id if a connection breaks.
    /// @param method "POST" or "DELETE".
    /// @param path the path.
    /// @param body the body; the command id is added.
    /// @return the response's body.
    /// @throws Error as get(). If the outcome isn't known, the message holds the command id.
    Poco::JSON::Object::Ptr change(
        const std::string& method, const std::string& path, Poco::JSON::Object::Ptr body);

private:
    Poco::JSON::Object::Ptr sendToAny(
        const std::string& method, const std::string& path, const std::string& body, Millis timeout);

    std::vector<std::string> m_servers;
    std::string m_token;
    std::string m_commandId;
};

/// Adds the options that all operators' subcommands have: --server, --token-file, --output.
/// @param options where to add them.
void addClientOptions(boost::program_options::options_description& options);

/// Adds --command-id and --base-revision.
/// @param options where to add them.
void addChangeOptions(boost::program_options::options_description& options);

/// @param values parsed options.
/// @return a client for them.
/// @throws Error if the token file can't be read.
CliClient clientFor(const boost::program_options::variables_map& values);

/// @param values parsed options.
/// @return whether the output is for programs.
/// @throws UsageError if --output is neither "table" nor "json".
bool wantsJson(const boost::program_options::variables_map& values);

/// @param text part of a path.
/// @return it with reserved characters escaped.
std::string escapedSegment(const std::string& text);

} // namespace celeryline
