#include "celeryline/calls/CallHandler.h"

#include "celeryline/http/RoleGuard.h"

#include <Poco/String.h>

#include <algorithm>

namespace celeryline {

namespace {

constexpr int maxAttempts = 4;
constexpr std::uint32_t maxPeerConnections = 64;

/// Passes a runner's streamed response to the caller's sink, with outcome and instance.
class CallSinkAdapter final : public ResponseSink {
public:
    CallSinkAdapter(CallSink& sink, CallResponse& head)
        : m_sink(sink)
        , m_head(head)
    {
    }

    void begin(const RunnerResponse& response, std::int64_t length) override
    {
        m_head.status = response.status;
        m_head.outcome = Outcome::Done;
        m_head.fields = response.fields;
        const auto* instance = findField(response.fields, "Celeryline-Instance");
        if (m_head.instance.empty() && instance) {
            m_head.instance = *instance;
        }
        m_sink.begin(m_head, length);
    }

    void write(const char* data, std::size_t size) override { m_sink.write(data, size); }

private:
    CallSink& m_sink;
    CallResponse& m_head;
};

std::optional<TraceContext> traceOf(const CallRequest& call)
{
    const auto* header = findField(call.fields, "traceparent");
    return header ? parseTraceparent(*header) : std::nullopt;
}

std::string refusalText(SlotRefusal refusal, const std::string& service)
{
    switch (refusal) {
    case SlotRefusal::NoRunner:
        return "no runner serves \"" + service + "\"; try again later";
    case SlotRefusal::QueueFull:
        return "the queue of \"" + service + "\" is full; try again later";
    default:
        return "\"" + service + "\" has no free slot in time; try again later";
    }
}

} // namespace

CallResponse refusal(int status, Outcome outcome, const std::string& message)
{
    CallResponse response;
    response.status = status;
    response.outcome = outcome;
    response.fields.emplace_back("Content-Type", "application/json");
    response.body = std::string("{\"error\":\"") + outcomeName(outcome) + "\",\"message\":\"";
    for (const char c : message) {
        if (c == '"' || c == '\\') {
            response.body.push_back('\\');
        }
        response.body.push_back(static_cast<unsigned char>(c) < 0x20 ? ' ' : c);
    }
    response.body += "\"}";
    return response;
}

bool isRepeatable(const Service& service, const CallRequest& call)
{
    const auto& methods = service.repeatableMethods;
    return call.key.empty()
        && (call.isMarkedRepeatable
            || std::find(methods.begin(), methods.end(), call.method) != methods.end());
}

/// State of one request across its attempts.
struct CallHandler::Attempts {
    const CallRequest& call;
    const ServiceEntry& entry;
    CallSink& sink;
    const ScopedSpan& span; ///< Span of the request.
    bool isRepeatable = false;
    int sentAttempts = 0; ///< Attempts of which bytes may have been sent.
    std::vector<std::string> failedTargets; ///< Failed runners and refusing data centres.
    CallResponse response;
};

CallHandler::CallHandler(const Settings& settings, Router& router, UpstreamPool& pool, ClaimClient& claims,
    const Clock& clock, std::function<bool(const std::string&)> isLive, SpanExporter* spans)
    : m_name(settings.name)
    , m_dataCentre(settings.dataCentre)
    , m_peers(settings.peers)
    , m_tryTimeout(settings.routing.tryTimeout)
    , m_peerToken(readToken(settings.security.peerTokenFile))
    , m_stripsAuthorization(!settings.security.callerTokenFile.empty())
    , m_router(router)
    , m_pool(pool)
    , m_claims(claims)
    , m_clock(clock)
    , m_isLive(std::move(isLive))
    , m_spans(spans)
{
}

CallResponse CallHandler::run(const CallRequest& call, CallSink& sink)
{
    const auto startTime = std::chrono::steady_clock::now();
    const auto entry = m_router.find(call.service);
    if (!entry) {
        return refusal(404, Outcome::NotRun,
            "service \"" + call.service + "\" does not exist; list services with: celeryline get services");
    }
    ScopedSpan span(m_spans, "call " + call.service, SpanKind::Server, traceOf(call));
    CallResponse response;
    // A forwarded request was claimed by the instance that received it from the caller.
    if (call.key.empty() || call.hops > 0) {
        response = runOnce(call, entry, isRepeatable(entry.route->service, call), sink, span);
    } else {
        const auto claim = [&] {
            ScopedSpan claimSpan(m_spans, "claim", SpanKind::Internal, span.context());
            return m_claims.claim(
                call.service, call.key, requestDigest(call.method, call.target, call.body), call.deadline);
        }();
        response = claim.response;
        if (claim.verdict == ClaimVerdict::Granted) {
            response = runOnce(call, entry, false, sink, span);
            m_claims.finish(claim, response, call.deadline);
        }
    }
    auto& counter = response.outcome == Outcome::Done ? entry.queue->done
        : response.outcome == Outcome::NotRun         ? entry.queue->notRun
                                                      : entry.queue->unknown;
    counter.Increment();
    span.set("celeryline.outcome", outcomeName(response.outcome));
    span.set("http.response.status_code", std::to_string(response.status));
    entry.queue->duration.Observe(
        std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime).count());
    return response;
}

CallResponse CallHandler::runOnce(const CallRequest& call, const ServiceEntry& entry, bool isRepeatable,
    CallSink& sink, const ScopedSpan& span)
{
    Attempts attempts { call, entry, sink, span, isRepeatable, 0, {}, {} };
    entry.queue->retryBudget.onFirstAttempt();
    for (int i = 0; i < maxAttempts; ++i) {
        auto slot = m_router.acquire(
            entry, { call.organisation, call.caller, call.deadline, attempts.failedTargets });
        if (slot.ticket && m_router.canUseSlots() ? tryRunner(attempts, slot.ticket)
                                                  : tryPeers(attempts, slot.refusal)) {
            return std::move(attempts.response);
        }
    }
    return std::move(attempts.response);
}

bool CallHandler::mayRetry(Attempts& attempts, bool usesRetryBudget)
{
    if (m_clock.now() >= attempts.call.deadline
        || (usesRetryBudget && !attempts.entry.queue->retryBudget.tryConsume())) {
        return false;
    }
    attempts.entry.queue->retryCount.Increment();
    return true;
}

bool CallHandler::tryRunner(Attempts& attempts, SlotTicket& ticket)
{
    const auto& call = attempts.call;
    const auto& runner = ticket.runner();
    ScopedSpan span(m_spans, "runner " + runner.name, SpanKind::Client, attempts.span.context());
    CallResponse head;
    head.instance = runner.name;
    CallSinkAdapter sink(attempts.sink, head);
    Exchange exchange;
    exchange.address = runner.address;
    exchange.requestId = m_name + "-" + std::to_string(m_requestCounter.fetch_add(1) + 1);
    exchange.head
        = makeHead(call, runner.address, call.target, exchange.requestId, false, span.traceparent());
    exchange.body = &call.body;
    exchange.isHead = call.method == "HEAD";
    exchange.deadline = call.deadline;
    exchange.maxConnections = ticket.maxConnections();
    exchange.sink = &sink;
    if (attempts.isRepeatable && attempts.entry.queue->retryBudget.hasToken()) {
        exchange.firstByteTimeout = m_tryTimeout;
    }
    attempts.entry.queue->attempts.Increment();
    auto result = m_pool.run(exchange);
    if (result.delivery == Delivery::Completed) {
        head.status = result.response.status;
        head.outcome = Outcome::Done;
        if (!result.wasStreamed) {
            head.fields = std::move(result.response.fields);
            head.body = std::move(result.response.body);
        }
        head.wasStreamed = result.wasStreamed;
        attempts.response = std::move(head);
        return true;
    }
    span.fail();
    attempts.failedTargets.push_back(runner.name);
    ticket.suspectRunner();
    const bool wasSent = result.delivery == Delivery::Unknown;
    const auto text = "runner " + runner.name + ": " + result.error;
    if (wasSent) {
        attempts.entry.queue->droppedResponses.Increment();
        ++attempts.sentAttempts;
        const bool isTimeout = result.timedOut;
        attempts.response = refusal(isTimeout ? 504 : 502, Outcome::Unknown,
            text + "; the request may have been run, check before sending it again");
    } else if (attempts.sentAttempts == 0) {
        attempts.response = refusal(503, Outcome::NotRun, text + "; try again later");
    }
    attempts.response.instance = runner.name;
    attempts.response.wasStreamed = result.wasStreamed;
    if (result.wasStreamed || (wasSent && !attempts.isRepeatable)) {
        return true;
    }
    return !mayRetry(attempts, wasSent);
}

bool CallHandler::tryPeers(Attempts& attempts, SlotRefusal refusal)
{
    const auto& call = attempts.call;
    if (attempts.sentAttempts == 0) {
        const int status = m_clock.now() >= call.deadline ? 504 : 503;
        attempts.response = celeryline::refusal(status, Outcome::NotRun, refusalText(refusal, call.service));
    }
    if (call.hops > 0 || (attempts.sentAttempts > 0 && !attempts.isRepeatable)) {
        return true;
    }
    const auto offset = m_nextPeerOffset.fetch_add(1, std::memory_order_relaxed);
    for (std::size_t i = 0; i < m_peers.size() && m_clock.now() < call.deadline; ++i) {
        const auto& peer = m_peers[(offset + i) % m_peers.size()];
        const bool isCandidate = peer.dataCentre != m_dataCentre && !peer.http.empty()
            && attempts.entry.route->dataCentres.count(peer.dataCentre) > 0
            && std::find(attempts.failedTargets.begin(), attempts.failedTargets.end(), peer.dataCentre)
                == attempts.failedTargets.end();
        if (isCandidate && (!m_isLive || m_isLive(peer.name)) && tryPeer(attempts, peer)) {
            return true;
        }
    }
    return true;
}

/// @return whether the response is final.
bool CallHandler::tryPeer(Attempts& attempts, const PeerSettings& peer)
{
    const auto& call = attempts.call;
    ScopedSpan span(m_spans, "data centre " + peer.dataCentre, SpanKind::Client, attempts.span.context());
    CallResponse head;
    CallSinkAdapter sink(attempts.sink, head);
    Exchange exchange;
    exchange.address = peer.http;
    exchange.requestId = m_name + "-" + std::to_string(m_requestCounter.fetch_add(1) + 1);
    exchange.head = makeHead(
        call, peer.http, "/call/" + call.service + call.target, exchange.requestId, true, span.traceparent());
    exchange.body = &call.body;
    exchange.isHead = call.method == "HEAD";
    exchange.deadline = call.deadline;
    exchange.maxConnections = maxPeerConnections;
    exchange.sink = &sink;
    attempts.entry.queue->attempts.Increment();
    auto result = m_pool.run(exchange);
    if (result.delivery == Delivery::NotSent) {
        return false;
    }
    const auto* outcome = findField(result.response.fields, "Celeryline-Outcome");
    const auto* instance = findField(result.response.fields, "Celeryline-Instance");
    head.instance = instance ? *instance : "";
    if (result.delivery == Delivery::Completed && outcome && *outcome == outcomeName(Outcome::NotRun)) {
        // A data centre that refused the request is not tried again for it.
        attempts.failedTargets.push_back(peer.dataCentre);
        return false;
    }
    if (result.delivery == Delivery::Completed && outcome) {
        const bool isDone = *outcome == outcomeName(Outcome::Done);
        head.status = result.response.status;
        head.outcome = isDone ? Outcome::Done : Outcome::Unknown;
        head.wasStreamed = result.wasStreamed;
        if (!result.wasStreamed) {
            head.fields = std::move(result.response.fields);
            head.body = std::move(result.response.body);
        }
        attempts.response = std::move(head);
        if (isDone || !attempts.isRepeatable) {
            return true;
        }
    } else {
        attempts.entry.queue->droppedResponses.Increment();
        attempts.response = refusal(result.timedOut ? 504 : 502, Outcome::Unknown,
            "data centre " + peer.dataCentre + ": " + result.error
                + "; the request may have been run, check before sending it again");
        attempts.response.wasStreamed = result.wasStreamed;
    }
    ++attempts.sentAttempts;
    return attempts.response.wasStreamed || !attempts.isRepeatable || !mayRetry(attempts, true);
}

std::string CallHandler::makeHead(const CallRequest& call, const std::string& address,
    const std::string& target, const std::string& requestId, bool isToPeer,
    const std::string& traceparent) const
{
    std::string head;
    head.reserve(512);
    head.append(call.method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(address);
    head.append("\r\nCeleryline-Request: ").append(requestId);
    const auto remaining = std::max<std::int64_t>(1, (call.deadline - m_clock.now()).count);
    head.append("\r\nCeleryline-Deadline-Ms: ").append(std::to_string(remaining));
    if (isToPeer) {
        head.append("\r\nCeleryline-Hops: ").append(std::to_string(call.hops + 1));
        if (!m_peerToken.empty()) {
            head.append("\r\nCeleryline-Peer-Token: ").append(m_peerToken);
        }
    }
    if (!traceparent.empty()) {
        head.append("\r\ntraceparent: ").append(traceparent);
    }
    for (const auto& field : call.fields) {
        if (!traceparent.empty() && Poco::icompare(field.first, "traceparent") == 0) {
            continue;
        }
        // The caller's token authenticates it to entry instances and must not reach runners.
        if (!isToPeer && m_stripsAuthorization && Poco::icompare(field.first, "Authorization") == 0) {
            continue;
        }
        head.append("\r\n").append(field.first).append(": ").append(field.second);
    }
    if (!call.body.empty() || (call.method != "GET" && call.method != "HEAD")) {
        head.append("\r\nContent-Length: ").append(std::to_string(call.body.size()));
    }
    head.append("\r\n\r\n");
    return head;
}

} // namespace celeryline
