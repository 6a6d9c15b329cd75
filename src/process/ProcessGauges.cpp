#include "celeryline/process/ProcessGauges.h"

namespace celeryline {

ProcessGauges::ProcessGauges(Metrics& metrics, const GaugeSources& sources)
    : m_metrics(metrics)
    , m_sources(sources)
    , m_revision(metrics.gauge("celeryline_fleet_revision", "Fleet revision that is in force here."))
    , m_quorum(metrics.gauge("celeryline_quorum", "1 if a leader with a majority is heard, otherwise 0."))
    , m_leader(metrics.gauge("celeryline_leader", "1 if this instance leads, otherwise 0."))
    , m_liveUpstreams(
          metrics.gauge("celeryline_live_upstreams", "Upstreams of this data centre with a live lease."))
    , m_unrecordedClaims(metrics.gauge("celeryline_claims_unrecorded",
          "Ends of non-repeatable requests that are not yet recorded in the ledger."))
    , m_droppedSpans(
          metrics.gauge("celeryline_spans_dropped", "Spans dropped since the start of the process."))
    , m_activeRequests(
          metrics.gauge("celeryline_http_requests_active", "HTTP requests that are being served."))
{
}

void ProcessGauges::update()
{
    auto status = m_sources.store.status();
    m_revision.Set(static_cast<double>(m_sources.fleet.fleet()->revision));
    m_quorum.Set(status.hasQuorum ? 1 : 0);
    m_leader.Set(status.role == ConsensusRole::Leader ? 1 : 0);
    m_liveUpstreams.Set(static_cast<double>(m_sources.upstreams.upstreams()->upstreams.size()));
    m_unrecordedClaims.Set(static_cast<double>(m_sources.claims.backlog()));
    m_droppedSpans.Set(static_cast<double>(m_sources.spans.dropped()));
    m_activeRequests.Set(m_sources.http.activeRequests());
    for (const auto& peer : m_sources.monitor.peers()) {
        auto& gauges = gaugesOf(peer.heartbeat.name);
        auto traffic = m_sources.transport.traffic(peer.heartbeat.name);
        gauges.live->Set(peer.isLive ? 1 : 0);
        gauges.sentBytes->Set(static_cast<double>(traffic.sent));
        gauges.receivedBytes->Set(static_cast<double>(traffic.received));
    }
}

ProcessGauges::PeerGauges& ProcessGauges::gaugesOf(const std::string& peer)
{
    auto& gauges = m_peers[peer];
    if (!gauges.live) {
        gauges.live = &m_metrics.gauge(
            "celeryline_peer_live", "1 if the entry instance is heard.", { { "peer", peer } });
        gauges.sentBytes = &m_metrics.gauge("celeryline_peer_sent_bytes",
            "TCP payload sent to the entry instance on connections opened here.", { { "peer", peer } });
        gauges.receivedBytes = &m_metrics.gauge("celeryline_peer_received_bytes",
            "TCP payload received from the entry instance on connections opened here.", { { "peer", peer } });
    }
    return gauges;
}

} // namespace celeryline
