/// @file
/// Errors as HTTP answers.
#pragma once

#include "celeryline/base/Error.h"

#include <Poco/Net/HTTPServerResponse.h>

namespace celeryline {

/// @param kind an error kind.
/// @return the HTTP status that stands for it.
Poco::Net::HTTPResponse::HTTPStatus httpStatusOf(ErrorKind kind);

/// Answers with the status of an error and the JSON body `{"error": kind, "message": text}`.
/// @param response the answer, not sent yet.
/// @param error what went wrong.
void sendError(Poco::Net::HTTPServerResponse& response, const Error& error);

/// Answers with JSON text.
/// @param response the answer, not sent yet.
/// @param json the body.
/// @param status the status code.
void sendJson(Poco::Net::HTTPServerResponse& response, const std::string& json,
    Poco::Net::HTTPResponse::HTTPStatus status = Poco::Net::HTTPResponse::HTTP_OK);

/// Builds an answer for a connection on which no request could be read.
/// @param status status code and reason, such as "400 Bad Request".
/// @param kind name of the error kind.
/// @param message what is wrong and the remedy.
/// @return the whole answer; its outcome is not-run and it closes the connection.
std::string rawErrorAnswer(const std::string& status, const std::string& kind, const std::string& message);

} // namespace celeryline
