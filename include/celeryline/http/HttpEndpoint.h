/// @file
/// Interface of HTTP request handlers.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace celeryline {

/// Handles HTTP requests under a path prefix. Implementations must be thread-safe.
class HttpEndpoint {
public:
    virtual ~HttpEndpoint() = default;

    /// Handles one request.
    /// @param request the request; read its body from request.stream().
    /// @param response the response. If an Error is thrown before it is sent, the server responds with the
    /// status code of the error's kind and the JSON body `{"error": kind, "message": text}`.
    virtual void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) = 0;
};

} // namespace celeryline
