/// @file
/// Serves callers' requests below `/call/`.
#pragma once

#include "celeryline/base/Metrics.h"
#include "celeryline/calls/CallHandler.h"
#include "celeryline/calls/CallReader.h"
#include "celeryline/http/HttpEndpoint.h"

namespace celeryline {

/// Serves callers' requests: `/call/SERVICE/PATH...`. Every answer carries its outcome.
class CallEndpoint final : public HttpEndpoint {
public:
    /// @param settings limits and routing are used.
    /// @param handler runs the requests.
    /// @param clock measures deadlines.
    /// @param metrics counts refused requests.
    CallEndpoint(const Settings& settings, CallHandler& handler, const Clock& clock, Metrics& metrics);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    CallReader m_reader;
    CallHandler& m_handler;
    prometheus::Counter& m_refused;
};

} // namespace celeryline
