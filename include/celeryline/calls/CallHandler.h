/// @file
/// Execution of callers' requests.
#pragma once

#include "celeryline/calls/CallRequest.h"
#include "celeryline/calls/CallResponse.h"
#include "celeryline/calls/ClaimClient.h"
#include "celeryline/calls/Router.h"
#include "celeryline/calls/UpstreamPool.h"
#include "celeryline/tracing/ScopedSpan.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

namespace celeryline {

/// Runs callers' requests: claims non-repeatable ones, acquires a slot, retries, and forwards to other data
/// centres. Thread-safe.
class CallHandler {
public:
    /// @param settings name, data centre, peers, routing and security are used.
    /// @param claims claims of non-repeatable requests.
    /// @param isLive whether the entry instance with a given name is live; if empty, all count as live.
    /// @param spans receives a span for the request, its claim and each attempt; may be null.
    CallHandler(const Settings& settings, Router& router, UpstreamPool& pool, ClaimClient& claims,
        const Clock& clock, std::function<bool(const std::string&)> isLive, SpanExporter* spans = nullptr);

    /// Runs a request.
    /// @param call the request.
    /// @param sink receives a response that is too large to buffer.
    /// @return the response to the caller.
    CallResponse run(const CallRequest& call, CallSink& sink);

private:
    struct Attempts;

    CallResponse runOnce(const CallRequest& call, const ServiceEntry& entry, bool isRepeatable,
        CallSink& sink, const ScopedSpan& span);
    bool tryRunner(Attempts& attempts, SlotTicket& ticket);
    bool tryPeers(Attempts& attempts, SlotRefusal refusal);
    bool tryPeer(Attempts& attempts, const PeerSettings& peer);
    bool mayRetry(Attempts& attempts, bool usesRetryBudget);
    std::string makeHead(const CallRequest& call, const std::string& address, const std::string& target,
        const std::string& requestId, bool isToPeer, const std::string& traceparent) const;

    std::string m_name;
    std::string m_dataCentre;
    std::vector<PeerSettings> m_peers;
    Millis m_tryTimeout;
    std::string m_peerToken;
    bool m_stripsAuthorization;
    Router& m_router;
    UpstreamPool& m_pool;
    ClaimClient& m_claims;
    const Clock& m_clock;
    std::function<bool(const std::string&)> m_isLive;
    SpanExporter* m_spans;
    std::atomic<std::uint64_t> m_requestCounter { 0 };
    std::atomic<std::uint32_t> m_nextPeerOffset { 0 };
};

/// @param service a service.
/// @param call a request.
/// @return whether the request may be sent more than once.
bool isRepeatable(const Service& service, const CallRequest& call);

} // namespace celeryline
