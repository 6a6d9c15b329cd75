/// @file
/// HTTP endpoint for health, readiness and metrics.
#pragma once

#include "celeryline/base/Metrics.h"
#include "celeryline/http/HttpEndpoint.h"

#include <functional>
#include <string>

namespace celeryline {

/// Serves `/healthz`, `/readyz` and `/metrics`.
class ProbeEndpoint final : public HttpEndpoint {
public:
    /// @param metrics the metrics that `/metrics` exports.
    /// @param reasonNotReady returns why this instance is not ready, or an empty string if it is.
    ProbeEndpoint(const Metrics& metrics, std::function<std::string()> reasonNotReady);

    void handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override;

private:
    const Metrics& m_metrics;
    std::function<std::string()> m_reasonNotReady;
};

} // namespace celeryline
