#include "celeryline/http/HttpErrors.h"

#include <Poco/JSON/Object.h>

#include <sstream>

namespace celeryline {

using Poco::Net::HTTPResponse;

namespace {

std::string errorToJson(const std::string& kind, const std::string& message)
{
    Poco::JSON::Object body;
    body.set("error", kind);
    body.set("message", message);
    std::ostringstream text;
    body.stringify(text);
    return text.str();
}

} // namespace

HTTPResponse::HTTPStatus httpStatusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
    case ErrorKind::InvalidSettings:
        return HTTPResponse::HTTP_BAD_REQUEST;
    case ErrorKind::NotFound:
        return HTTPResponse::HTTP_NOT_FOUND;
    case ErrorKind::Conflict:
        return HTTPResponse::HTTP_CONFLICT;
    case ErrorKind::Unavailable:
        return HTTPResponse::HTTP_SERVICE_UNAVAILABLE;
    case ErrorKind::TimedOut:
        return HTTPResponse::HTTP_GATEWAY_TIMEOUT;
    case ErrorKind::LimitExceeded:
        return HTTPResponse::HTTP_REQUEST_ENTITY_TOO_LARGE;
    case ErrorKind::Refused:
        return HTTPResponse::HTTP_FORBIDDEN;
    case ErrorKind::Storage:
    case ErrorKind::Corrupt:
        return HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
    }
    return HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
}

void sendError(Poco::Net::HTTPServerResponse& response, const Error& error)
{
    sendJson(response, errorToJson(errorKindName(error.kind()), error.what()), httpStatusOf(error.kind()));
}

std::string formatErrorResponse(
    const std::string& status, const std::string& kind, const std::string& message)
{
    std::string body = errorToJson(kind, message);
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nCeleryline-Outcome: not-run\r\n"
        + "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

void sendJson(
    Poco::Net::HTTPServerResponse& response, const std::string& json, HTTPResponse::HTTPStatus status)
{
    response.setStatusAndReason(status);
    response.setContentType("application/json");
    response.sendBuffer(json.data(), json.size());
}

} // namespace celeryline
