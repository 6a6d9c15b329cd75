/// @file
/// HTTP endpoint for callers' requests below `/call/`.
#pragma once

#include "celeryline/base/Metrics.h"
#include "celeryline/calls/CallHandler.h"
#include "celeryline/calls/CallReader.h"
#include "celeryline/http/HttpEndpoint.h"

namespace celeryline {

/// Serves `/call/SERVICE/PATH...`. Every response carries the header `Celeryline-Outcome`.
class CallEndpoint final : public HttpEndpoint {
public:
    /// @param settings limits, routing and the peer token file are used.
    /// @param handler runs the requests.
    /// @param clock clock of the deadlines.
    /// @param metrics receives the counter of refused requests.
    CallEndpoint(const Settings& settings, CallHandler& handler, const Clock& clock, Metrics& metrics);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    CallReader m_reader;
    CallHandler& m_handler;
    prometheus::Counter& m_refused;
};

} // namespace celeryline
