/// @file
/// Health, readiness and metrics over HTTP.
#pragma once

#include "celeryline/base/Metrics.h"
#include "celeryline/http/HttpEndpoint.h"

#include <functional>
#include <string>

namespace celeryline {

/// Serves `/healthz`, `/readyz` and `/metrics`.
class ProbeEndpoint final : public HttpEndpoint {
public:
    /// @param metrics what `/metrics` writes.
    /// @param reasonNotReady gives why this instance is not ready; empty if it is.
    ProbeEndpoint(const Metrics& metrics, std::function<std::string()> reasonNotReady);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    const Metrics& m_metrics;
    std::function<std::string()> m_reasonNotReady;
};

} // namespace celeryline
