/// @file
/// HTTP client of the command line.
#pragma once

#include "celeryline/base/Millis.h"

#include <Poco/JSON/Object.h>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <string>
#include <vector>

namespace celeryline {

/// Sends requests to the first reachable entry instance.
class CliClient {
public:
    /// @param servers addresses ("IP:port") of entry instances in order of preference.
    /// @param token operator token; if empty, none is sent.
    /// @param commandId command id for changes; if empty, one is generated.
    CliClient(std::vector<std::string> servers, std::string token, std::string commandId);

    /// @param path path and query, such as "/v1/pools".
    /// @param timeout maximum time to wait for the response.
    /// @return body of the response.
    /// @throws Error of the kind that the server reported; of kind Unavailable if no server is reachable, and
    /// of kind TimedOut if one did not respond in time.
    Poco::JSON::Object::Ptr get(const std::string& path, Millis timeout = { 15000 });

    /// Sends a change. If a connection fails, it is resent to the next server with the same command id.
    /// @param method "POST" or "DELETE".
    /// @param path path of the request.
    /// @param body body of a POST request; the command id is added to it.
    /// @return body of the response.
    /// @throws Error like get(). If the outcome is unknown, the message contains the command id.
    Poco::JSON::Object::Ptr change(
        const std::string& method, const std::string& path, Poco::JSON::Object::Ptr body);

private:
    Poco::JSON::Object::Ptr sendWithFailover(
        const std::string& method, const std::string& path, const std::string& body, Millis timeout);

    std::vector<std::string> m_servers;
    std::string m_token;
    std::string m_commandId;
};

/// Adds the options common to all operator subcommands: --server, --token-file, --output.
/// @param options where to add them.
void addClientOptions(boost::program_options::options_description& options);

/// Adds --command-id and --base-revision.
/// @param options where to add them.
void addChangeOptions(boost::program_options::options_description& options);

/// @param values parsed options.
/// @return a client configured by these options.
/// @throws Error if the token file can't be read.
CliClient createClient(const boost::program_options::variables_map& values);

/// @param values parsed options.
/// @return whether the output format is JSON.
/// @throws UsageError if --output is neither "table" nor "json".
bool isJsonOutput(const boost::program_options::variables_map& values);

/// @param text a segment of a URL path.
/// @return the segment with reserved characters percent-encoded.
std::string escapePathSegment(const std::string& text);

} // namespace celeryline
