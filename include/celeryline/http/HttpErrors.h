/// @file
/// HTTP error responses.
#pragma once

#include "celeryline/base/Error.h"

#include <Poco/Net/HTTPServerResponse.h>

namespace celeryline {

/// @return the HTTP status for an error kind.
Poco::Net::HTTPResponse::HTTPStatus httpStatusOf(ErrorKind kind);

/// Sends an error as its HTTP status and the JSON body `{"error": kind, "message": text}`.
/// @param response a response that has not been sent yet.
/// @param error the error.
void sendError(Poco::Net::HTTPServerResponse& response, const Error& error);

/// Sends a JSON response.
/// @param response a response that has not been sent yet.
/// @param json the body.
/// @param status the status code.
void sendJson(Poco::Net::HTTPServerResponse& response, const std::string& json,
    Poco::Net::HTTPResponse::HTTPStatus status = Poco::Net::HTTPResponse::HTTP_OK);

/// Formats an error response for a connection on which no request could be parsed.
/// @param status status code and reason phrase, such as "400 Bad Request".
/// @param kind name of the error kind.
/// @param message what is wrong and how to fix it.
/// @return header and body, with `Celeryline-Outcome: not-run` and `Connection: close`.
std::string formatErrorResponse(
    const std::string& status, const std::string& kind, const std::string& message);

} // namespace celeryline
