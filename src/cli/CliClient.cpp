#include "celeryline/cli/CliClient.h"

#include "celeryline/cli/CommandLine.h"
#include "celeryline/http/RoleGuard.h"
#include "celeryline/labels/JsonFields.h"
#include "celeryline/operators/OperatorCommands.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <array>

namespace celeryline {

namespace po = boost::program_options;
using Poco::JSON::Object;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

namespace {

constexpr std::array<ErrorKind, 10> errorKinds { ErrorKind::InvalidSettings, ErrorKind::InvalidInput,
    ErrorKind::NotFound, ErrorKind::Conflict, ErrorKind::Unavailable, ErrorKind::TimedOut,
    ErrorKind::LimitExceeded, ErrorKind::Refused, ErrorKind::Storage, ErrorKind::Corrupt };

/// @return the error described by an unsuccessful response.
Error parseErrorResponse(const std::string& body, const HTTPResponse& response)
{
    ErrorKind kind = response.getStatus() >= 500 ? ErrorKind::Unavailable : ErrorKind::InvalidInput;
    std::string message = std::to_string(response.getStatus()) + " " + response.getReason();
    try {
        auto fields = parseJsonFields(body);
        auto name = fields.optionalString("error");
        for (auto candidate : errorKinds) {
            kind = name == errorKindName(candidate) ? candidate : kind;
        }
        message = fields.optionalString("message", message);
    } catch (const Error&) {
        message += " (the response has no JSON body)";
    }
    // The message of the server has the form "what; remedy".
    auto split = message.rfind("; ");
    return split == std::string::npos ? Error(kind, message, "check the address of the server")
                                      : Error(kind, message.substr(0, split), message.substr(split + 2));
}

/// Sends a request and reads the response.
/// @return body of the response.
/// @throws Poco::Exception if the server is unreachable or does not respond in time.
std::string sendHttpRequest(const std::string& server, HTTPRequest& request, const std::string& body,
    Millis timeout, HTTPResponse& response)
{
    Poco::Net::HTTPClientSession session { Poco::Net::SocketAddress(server) };
    session.setTimeout(Poco::Timespan(2, 0), Poco::Timespan(5, 0), Poco::Timespan(timeout.count * 1000));
    session.sendRequest(request) << body;
    std::string responseBody;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), responseBody);
    return responseBody;
}

} // namespace

CliClient::CliClient(std::vector<std::string> servers, std::string token, std::string commandId)
    : m_servers(std::move(servers))
    , m_token(std::move(token))
    , m_commandId(std::move(commandId))
{
}

Object::Ptr CliClient::sendWithFailover(
    const std::string& method, const std::string& path, const std::string& body, Millis timeout)
{
    std::string failures;
    bool hasTimedOut = false;
    for (const auto& server : m_servers) {
        HTTPRequest request(method, path, HTTPRequest::HTTP_1_1);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        if (!m_token.empty()) {
            request.set("Authorization", "Bearer " + m_token);
        }
        HTTPResponse response;
        try {
            auto responseBody = sendHttpRequest(server, request, body, timeout, response);
            if (response.getStatus() < 300) {
                return parseJsonObject(responseBody, "the response");
            }
            auto error = parseErrorResponse(responseBody, response);
            if (error.kind() != ErrorKind::Unavailable) {
                throw Error(error);
            }
            failures += (failures.empty() ? "" : ", ") + server + " (" + error.what() + ")";
        } catch (const Poco::TimeoutException&) {
            hasTimedOut = true;
            failures += (failures.empty() ? "" : ", ") + server + " (response timed out)";
        } catch (const Poco::Exception& e) {
            failures += (failures.empty() ? "" : ", ") + server + " (" + e.displayText() + ")";
        }
    }
    throw Error(hasTimedOut ? ErrorKind::TimedOut : ErrorKind::Unavailable,
        "no entry instance responded: " + failures,
        "specify a reachable one with --server IP:PORT or try again later");
}

Object::Ptr CliClient::get(const std::string& path, Millis timeout)
{
    return sendWithFailover(HTTPRequest::HTTP_GET, path, "", timeout);
}

Object::Ptr CliClient::change(const std::string& method, const std::string& path, Object::Ptr body)
{
    const std::string id = m_commandId.empty() ? newCommandId() : m_commandId;
    std::string target = path;
    std::string text;
    if (method == HTTPRequest::HTTP_POST) {
        body->set("commandId", id);
        text = toText(body);
    } else {
        target += "?commandId=" + escapePathSegment(id);
    }
    try {
        return sendWithFailover(method, target, text, { 15000 });
    } catch (const Error& e) {
        if (e.kind() != ErrorKind::TimedOut && e.kind() != ErrorKind::Unavailable) {
            throw;
        }
        throw Error(e.kind(), e.what(), "resending with --command-id " + id + " is safe");
    }
}

void addClientOptions(po::options_description& options)
{
    options.add_options()("server", po::value<std::vector<std::string>>()->composing(),
        "IP:PORT of an entry instance; can be given more than once, unreachable ones are skipped "
        "(default 127.0.0.1:7400)")(
        "token-file", po::value<std::string>()->default_value(""), "file with the operator token")(
        "output,o", po::value<std::string>()->default_value("table"), "output format: table or json");
}

void addChangeOptions(po::options_description& options)
{
    options.add_options()("command-id", po::value<std::string>()->default_value(""),
        "id of the change; resending it with the same id is safe")("base-revision",
        po::value<std::uint64_t>(), "reject the change if the object was modified after this revision");
}

CliClient createClient(const po::variables_map& values)
{
    std::vector<std::string> servers { "127.0.0.1:7400" };
    if (values.count("server") != 0) {
        servers = values["server"].as<std::vector<std::string>>();
    }
    auto commandId = values.count("command-id") != 0 ? values["command-id"].as<std::string>() : "";
    return { servers, readToken(values["token-file"].as<std::string>()), commandId };
}

bool isJsonOutput(const po::variables_map& values)
{
    const auto& output = values["output"].as<std::string>();
    if (output != "table" && output != "json") {
        throw UsageError("--output is \"" + output + "\"", "use --output table or --output json");
    }
    return output == "json";
}

std::string escapePathSegment(const std::string& text)
{
    std::string escaped;
    Poco::URI::encode(text, "/?#&=+;", escaped);
    return escaped;
}

} // namespace celeryline
