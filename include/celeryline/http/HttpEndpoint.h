/// @file
/// Serves HTTP requests below one path prefix.
#pragma once

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

namespace celeryline {

/// Serves HTTP requests below one path prefix. Called from several threads at once.
class HttpEndpoint {
public:
    virtual ~HttpEndpoint() = default;

    /// Serves one request.
    /// @param request the request; its body is read from request.stream().
    /// @param response the answer. If an Error is thrown before it was sent, the server answers with the
    /// status code of the error's kind and a JSON body `{"error": kind, "message": text}`.
    virtual void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) = 0;
};

} // namespace celeryline
