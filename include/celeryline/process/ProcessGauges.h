/// @file
/// Gauges for the state of an entry instance.
#pragma once

#include "celeryline/base/Metrics.h"
#include "celeryline/calls/ClaimClient.h"
#include "celeryline/consensus/Store.h"
#include "celeryline/fleet/FleetReader.h"
#include "celeryline/http/HttpServer.h"
#include "celeryline/registry/UpstreamView.h"
#include "celeryline/rpc/PeerMonitor.h"
#include "celeryline/rpc/RpcTransport.h"
#include "celeryline/tracing/SpanExporter.h"

#include <map>
#include <string>

namespace celeryline {

/// The modules whose state is exported as gauges.
struct GaugeSources {
    const Store& store;
    const FleetReader& fleet;
    const UpstreamView& upstreams;
    const PeerMonitor& monitor;
    RpcTransport& transport;
    const ClaimClient& claims;
    const SpanExporter& spans;
    const HttpServer& http;
};

/// Gauges for the state of an entry instance, exported at `/metrics`.
class ProcessGauges {
public:
    /// @param metrics registry for the gauges.
    /// @param sources the exported modules; must outlive this object.
    ProcessGauges(Metrics& metrics, const GaugeSources& sources);

    /// Updates the gauges from the sources. Call about once per second, always from the same thread.
    void update();

private:
    struct PeerGauges {
        prometheus::Gauge* live = nullptr;
        prometheus::Gauge* sentBytes = nullptr;
        prometheus::Gauge* receivedBytes = nullptr;
    };

    PeerGauges& gaugesOf(const std::string& peer);

    Metrics& m_metrics;
    GaugeSources m_sources;
    prometheus::Gauge& m_revision;
    prometheus::Gauge& m_quorum;
    prometheus::Gauge& m_leader;
    prometheus::Gauge& m_liveUpstreams;
    prometheus::Gauge& m_unrecordedClaims;
    prometheus::Gauge& m_droppedSpans;
    prometheus::Gauge& m_activeRequests;
    std::map<std::string, PeerGauges> m_peers;
};

} // namespace celeryline
