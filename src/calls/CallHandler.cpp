#include "celeryline/calls/CallHandler.h"

#include "celeryline/http/RoleGuard.h"

#include <Poco/String.h>

#include <algorithm>

namespace celeryline {

namespace {

constexpr int maxTries = 4;
constexpr std::uint32_t maxPeerConnections = 64;

/// Passes a large answer on with the headers that celeryline adds.
class HeadAdder final : public AnswerSink {
public:
    HeadAdder(CallSink& sink, CallAnswer& head)
        : m_sink(sink)
        , m_head(head)
    {
    }

    void begin(const RunnerAnswer& answer, std::int64_t length) override
    {
        m_head.status = answer.status;
        m_head.outcome = Outcome::Done;
        m_head.fields = answer.fields;
        const auto* instance = findField(answer.fields, "Celeryline-Instance");
        if (m_head.instance.empty() && instance) {
            m_head.instance = *instance;
        }
        m_sink.begin(m_head, length);
    }

    void write(const char* data, std::size_t size) override { m_sink.write(data, size); }

private:
    CallSink& m_sink;
    CallAnswer& m_head;
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
        return "no runner serves \"" + service + "\" now; try again later";
    case SlotRefusal::QueueFull:
        return "too many requests wait for \"" + service + "\"; try again later";
    default:
        return "\"" + service + "\" has no capacity in time; try again later";
    }
}

} // namespace

CallAnswer refusal(int status, Outcome outcome, const std::string& message)
{
    CallAnswer answer;
    answer.status = status;
    answer.outcome = outcome;
    answer.fields.emplace_back("Content-Type", "application/json");
    answer.body = std::string("{\"error\":\"") + outcomeName(outcome) + "\",\"message\":\"";
    for (const char c : message) {
        if (c == '"' || c == '\\') {
            answer.body.push_back('\\');
        }
        answer.body.push_back(static_cast<unsigned char>(c) < 0x20 ? ' ' : c);
    }
    answer.body += "\"}";
    return answer;
}

bool isRepeatable(const Service& service, const CallRequest& call)
{
    const auto& methods = service.repeatableMethods;
    return call.key.empty()
        && (call.isMarkedRepeatable
            || std::find(methods.begin(), methods.end(), call.method) != methods.end());
}

/// The tries of one request.
struct CallHandler::Tries {
    const CallRequest& call;
    const ServiceEntry& entry;
    CallSink& sink;
    const ScopedSpan& span; ///< Of the request.
    bool isRepeatable = false;
    int begun = 0; ///< Tries of which bytes may have left.
    std::vector<std::string> tried; ///< Runners and peers that failed.
    CallAnswer answer;
};

CallHandler::CallHandler(const Settings& settings, Router& router, UpstreamPool& pool, ClaimClient& claims,
    const Clock& clock, std::function<bool(const std::string&)> isLive, SpanExporter* spans)
    : m_name(settings.name)
    , m_dataCentre(settings.dataCentre)
    , m_peers(settings.peers)
    , m_tryTimeout(settings.routing.tryTimeout)
    , m_peerToken(readToken(settings.security.peerTokenFile))
    , m_hidesToken(!settings.security.callerTokenFile.empty())
    , m_router(router)
    , m_pool(pool)
    , m_claims(claims)
    , m_clock(clock)
    , m_isLive(std::move(isLive))
    , m_spans(spans)
{
}

CallAnswer CallHandler::run(const CallRequest& call, CallSink& sink)
{
    const auto began = std::chrono::steady_clock::now();
    const auto entry = m_router.find(call.service);
    if (!entry) {
        return refusal(404, Outcome::NotRun,
            "service \"" + call.service + "\" does not exist; list services with: celeryline get services");
    }
    ScopedSpan span(m_spans, "call " + call.service, SpanKind::Server, traceOf(call));
    CallAnswer answer;
    // With a hop the instance that received the request has claimed it.
    if (call.key.empty() || call.hops > 0) {
        answer = runOnce(call, entry, isRepeatable(entry.route->service, call), sink, span);
    } else {
        const auto claim = [&] {
            ScopedSpan claimSpan(m_spans, "claim", SpanKind::Internal, span.context());
            return m_claims.claim(
                call.service, call.key, requestDigest(call.method, call.target, call.body), call.deadline);
        }();
        answer = claim.answer;
        if (claim.verdict == ClaimVerdict::Granted) {
            answer = runOnce(call, entry, false, sink, span);
            m_claims.finish(claim, answer, call.deadline);
        }
    }
    auto& counter = answer.outcome == Outcome::Done ? entry.queue->done
        : answer.outcome == Outcome::NotRun         ? entry.queue->notRun
                                                    : entry.queue->unknown;
    counter.Increment();
    span.set("celeryline.outcome", outcomeName(answer.outcome));
    span.set("http.response.status_code", std::to_string(answer.status));
    entry.queue->duration.Observe(
        std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
    return answer;
}

CallAnswer CallHandler::runOnce(const CallRequest& call, const ServiceEntry& entry, bool isRepeatable,
    CallSink& sink, const ScopedSpan& span)
{
    Tries tries { call, entry, sink, span, isRepeatable, 0, {}, {} };
    entry.queue->retries.onFirstTry();
    for (int i = 0; i < maxTries; ++i) {
        auto slot = m_router.acquire(entry, { call.organisation, call.caller, call.deadline, tries.tried });
        if (slot.ticket && m_router.mayStart() ? tryRunner(tries, slot.ticket)
                                               : tryPeers(tries, slot.refusal)) {
            return std::move(tries.answer);
        }
    }
    return std::move(tries.answer);
}

bool CallHandler::mayRetry(Tries& tries, bool mustPay)
{
    if (m_clock.now() >= tries.call.deadline || (mustPay && !tries.entry.queue->retries.tryTake())) {
        return false;
    }
    tries.entry.queue->retried.Increment();
    return true;
}

bool CallHandler::tryRunner(Tries& tries, SlotTicket& ticket)
{
    const auto& call = tries.call;
    const auto& runner = ticket.runner();
    ScopedSpan span(m_spans, "runner " + runner.name, SpanKind::Client, tries.span.context());
    CallAnswer head;
    head.instance = runner.name;
    HeadAdder sink(tries.sink, head);
    Exchange exchange;
    exchange.address = runner.address;
    exchange.requestId = m_name + "-" + std::to_string(m_lastRequest.fetch_add(1) + 1);
    exchange.head
        = makeHead(call, runner.address, call.target, exchange.requestId, false, span.traceparent());
    exchange.body = &call.body;
    exchange.isHead = call.method == "HEAD";
    exchange.deadline = call.deadline;
    exchange.maxConnections = ticket.maxConnections();
    exchange.sink = &sink;
    if (tries.isRepeatable && tries.entry.queue->retries.hasToken()) {
        exchange.firstByteTimeout = m_tryTimeout;
    }
    tries.entry.queue->tries.Increment();
    auto result = m_pool.run(exchange);
    if (result.end == ExchangeEnd::Answered) {
        head.status = result.answer.status;
        head.outcome = Outcome::Done;
        if (!result.wasStreamed) {
            head.fields = std::move(result.answer.fields);
            head.body = std::move(result.answer.body);
        }
        head.wasStreamed = result.wasStreamed;
        tries.answer = std::move(head);
        return true;
    }
    span.fail();
    tries.tried.push_back(runner.name);
    ticket.suspectRunner();
    const bool wasSent = result.end == ExchangeEnd::Unknown;
    const auto text = "runner " + runner.name + ": " + result.fault;
    if (wasSent) {
        tries.entry.queue->droppedAnswers.Increment();
        ++tries.begun;
        const bool isLate = result.timedOut;
        tries.answer = refusal(isLate ? 504 : 502, Outcome::Unknown,
            text + "; the request may have been run, check before sending it again");
    } else if (tries.begun == 0) {
        tries.answer = refusal(503, Outcome::NotRun, text + "; try again later");
    }
    tries.answer.instance = runner.name;
    tries.answer.wasStreamed = result.wasStreamed;
    if (result.wasStreamed || (wasSent && !tries.isRepeatable)) {
        return true;
    }
    return !mayRetry(tries, wasSent);
}

bool CallHandler::tryPeers(Tries& tries, SlotRefusal refusal)
{
    const auto& call = tries.call;
    if (tries.begun == 0) {
        const int status = m_clock.now() >= call.deadline ? 504 : 503;
        tries.answer = celeryline::refusal(status, Outcome::NotRun, refusalText(refusal, call.service));
    }
    if (call.hops > 0 || (tries.begun > 0 && !tries.isRepeatable)) {
        return true;
    }
    const auto turn = m_peerTurn.fetch_add(1, std::memory_order_relaxed);
    for (std::size_t i = 0; i < m_peers.size() && m_clock.now() < call.deadline; ++i) {
        const auto& peer = m_peers[(turn + i) % m_peers.size()];
        const bool isOther = peer.dataCentre != m_dataCentre && !peer.http.empty()
            && tries.entry.route->dataCentres.count(peer.dataCentre) > 0
            && std::find(tries.tried.begin(), tries.tried.end(), peer.dataCentre) == tries.tried.end();
        if (isOther && (!m_isLive || m_isLive(peer.name)) && tryPeer(tries, peer)) {
            return true;
        }
    }
    return true;
}

/// @return whether the request has its answer.
bool CallHandler::tryPeer(Tries& tries, const PeerSettings& peer)
{
    const auto& call = tries.call;
    ScopedSpan span(m_spans, "data centre " + peer.dataCentre, SpanKind::Client, tries.span.context());
    CallAnswer head;
    HeadAdder sink(tries.sink, head);
    Exchange exchange;
    exchange.address = peer.http;
    exchange.requestId = m_name + "-" + std::to_string(m_lastRequest.fetch_add(1) + 1);
    exchange.head = makeHead(
        call, peer.http, "/call/" + call.service + call.target, exchange.requestId, true, span.traceparent());
    exchange.body = &call.body;
    exchange.isHead = call.method == "HEAD";
    exchange.deadline = call.deadline;
    exchange.maxConnections = maxPeerConnections;
    exchange.sink = &sink;
    tries.entry.queue->tries.Increment();
    auto result = m_pool.run(exchange);
    if (result.end == ExchangeEnd::NotSent) {
        return false;
    }
    const auto* outcome = findField(result.answer.fields, "Celeryline-Outcome");
    const auto* instance = findField(result.answer.fields, "Celeryline-Instance");
    head.instance = instance ? *instance : "";
    if (result.end == ExchangeEnd::Answered && outcome && *outcome == outcomeName(Outcome::NotRun)) {
        // A full data centre is not asked again for the same request.
        tries.tried.push_back(peer.dataCentre);
        return false;
    }
    if (result.end == ExchangeEnd::Answered && outcome) {
        const bool isDone = *outcome == outcomeName(Outcome::Done);
        head.status = result.answer.status;
        head.outcome = isDone ? Outcome::Done : Outcome::Unknown;
        head.wasStreamed = result.wasStreamed;
        if (!result.wasStreamed) {
            head.fields = std::move(result.answer.fields);
            head.body = std::move(result.answer.body);
        }
        tries.answer = std::move(head);
        if (isDone || !tries.isRepeatable) {
            return true;
        }
    } else {
        tries.entry.queue->droppedAnswers.Increment();
        tries.answer = refusal(result.timedOut ? 504 : 502, Outcome::Unknown,
            "data centre " + peer.dataCentre + ": " + result.fault
                + "; the request may have been run, check before sending it again");
        tries.answer.wasStreamed = result.wasStreamed;
    }
    ++tries.begun;
    return tries.answer.wasStreamed || !tries.isRepeatable || !mayRetry(tries, true);
}

std::string CallHandler::makeHead(const CallRequest& call, const std::string& address,
    const std::string& target, const std::string& requestId, bool toPeer,
    const std::string& traceparent) const
{
    std::string head;
    head.reserve(512);
    head.append(call.method).append(" ").append(target).append(" HTTP/1.1\r\nHost: ").append(address);
    head.append("\r\nCeleryline-Request: ").append(requestId);
    const auto left = std::max<std::int64_t>(1, (call.deadline - m_clock.now()).count);
    head.append("\r\nCeleryline-Deadline-Ms: ").append(std::to_string(left));
    if (toPeer) {
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
        // The caller's token is for entry instances, not for runners.
        if (!toPeer && m_hidesToken && Poco::icompare(field.first, "Authorization") == 0) {
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
