#include "celeryline/http/ProbeEndpoint.h"

#include <string>

namespace celeryline {

using Poco::Net::HTTPResponse;

namespace {

void sendText(Poco::Net::HTTPServerResponse& response, const std::string& type, const std::string& text)
{
    response.setContentType(type);
    response.sendBuffer(text.data(), text.size());
}

} // namespace

ProbeEndpoint::ProbeEndpoint(const Metrics& metrics, std::function<std::string()> reasonNotReady)
    : m_metrics(metrics)
    , m_reasonNotReady(std::move(reasonNotReady))
{
}

void ProbeEndpoint::handle(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
{
    const auto& uri = request.getURI();
    if (uri.compare(0, 8, "/metrics") == 0) {
        sendText(response, "text/plain; version=0.0.4", m_metrics.asText());
        return;
    }
    std::string reason = uri.compare(0, 7, "/readyz") == 0 ? m_reasonNotReady() : "";
    if (!reason.empty()) {
        response.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        sendText(response, "text/plain", "not ready: " + reason + "\n");
        return;
    }
    sendText(response, "text/plain", "ok\n");
}

} // namespace celeryline
