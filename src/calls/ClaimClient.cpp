#include "celeryline/calls/ClaimClient.h"

#include "celeryline/base/Base64.h"
#include "celeryline/base/ByteCoding.h"
#include "celeryline/base/Error.h"
#include "celeryline/fleet/ClaimLedger.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

#include <xxhash.h>

namespace celeryline {

namespace {

constexpr Millis retryDelay { 100 };
constexpr Millis retryTimeout { 2000 };
/// Further outcomes are dropped: their claims stay in the state Begun, so that repeated requests get the
/// outcome unknown and are never run again.
constexpr std::size_t maxBacklog = 4096;

std::string stringify(const Poco::JSON::Object& object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Poco::JSON::Object commandBody(const char* op, const Claim& claim)
{
    Poco::JSON::Object body;
    body.set("op", op);
    body.set("service", claim.service);
    body.set("key", claim.key);
    body.set("digest", claim.digest);
    body.set("attempt", claim.attempt);
    return body;
}

std::string serializeResponse(const CallResponse& response)
{
    ByteWriter writer;
    writer.number(response.fields.size());
    for (const auto& field : response.fields) {
        writer.text(field.first);
        writer.text(field.second);
    }
    writer.text(response.body);
    return writer.bytes();
}

void deserializeResponse(const std::string& bytes, CallResponse& response)
{
    ByteReader reader(bytes);
    for (auto remaining = reader.number(); remaining > 0; --remaining) {
        auto name = reader.text();
        response.fields.emplace_back(std::move(name), reader.text());
    }
    response.body = reader.text();
}

prometheus::Counter& claimCounter(Metrics& metrics, const char* verdict)
{
    return metrics.counter("celeryline_claims_total", "Claims of non-repeatable requests, by verdict.",
        { { "verdict", verdict } });
}

} // namespace

std::string requestDigest(const std::string& method, const std::string& target, const std::string& body)
{
    ByteWriter writer;
    writer.text(method);
    writer.text(target);
    writer.text(body);
    const auto hash = XXH3_128bits(writer.bytes().data(), writer.bytes().size());
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64));
    return text.data();
}

ClaimClient::ClaimClient(std::string instance, std::uint64_t bootEpoch, std::size_t maxAnswerBytes,
    Store& store, const Clock& clock, Metrics& metrics)
    : m_instance(std::move(instance))
    , m_bootEpoch(bootEpoch)
    , m_maxAnswerBytes(maxAnswerBytes)
    , m_store(store)
    , m_clock(clock)
    , m_granted(claimCounter(metrics, "granted"))
    , m_replayed(claimCounter(metrics, "replayed"))
    , m_refused(claimCounter(metrics, "refused"))
    , m_thread([this] { runRetries(); })
{
}

ClaimClient::~ClaimClient()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

Claim ClaimClient::claim(
    const std::string& service, const std::string& key, const std::string& digest, Millis deadline)
{
    Claim claim;
    claim.service = service;
    claim.key = key;
    claim.digest = digest;
    claim.attempt = m_instance + "-" + std::to_string(m_bootEpoch) + "-" + std::to_string(++m_lastAttempt);
    auto body = commandBody("claim", claim);
    body.set("owner", m_instance);
    const Command command { CommandKind::Ledger, "claim-" + claim.attempt, stringify(body) };
    const auto remaining = deadline - m_clock.now();
    const auto timeoutMessage = refusal(504, Outcome::NotRun,
        "the request could not be recorded before its deadline and was not run; send it again");
    if (remaining.count <= 0) {
        claim.response = timeoutMessage;
        return claim;
    }
    try {
        claim.response = toResponse(m_store.submit(command, remaining), claim);
    } catch (const Error& e) {
        claim.response = e.kind() == ErrorKind::Unavailable
            ? refusal(503, Outcome::NotRun, std::string("the request can't be recorded now: ") + e.what())
            : timeoutMessage;
        if (e.kind() != ErrorKind::Unavailable) {
            retryInBackground(makeEndCommand(claim, claim.response));
        }
    }
    if (claim.verdict == ClaimVerdict::Granted && m_clock.now() >= deadline) {
        claim.verdict = ClaimVerdict::Refused;
        claim.response = timeoutMessage;
        retryInBackground(makeEndCommand(claim, claim.response));
    }
    auto& counter = claim.verdict == ClaimVerdict::Granted ? m_granted
        : claim.verdict == ClaimVerdict::Replay            ? m_replayed
                                                           : m_refused;
    counter.Increment();
    return claim;
}

CallResponse ClaimClient::toResponse(const CommandResult& result, Claim& claim)
{
    if (!result.accepted) {
        const int status = result.errorKind == ErrorKind::Conflict ? 422 : 503;
        return refusal(status, Outcome::NotRun, result.body);
    }
    try {
        const auto body = Poco::JSON::Parser().parse(result.body).extract<Poco::JSON::Object::Ptr>();
        if (body->getValue<bool>("granted")) {
            claim.verdict = ClaimVerdict::Granted;
            return {};
        }
        const auto state = body->getValue<std::string>("state");
        if (state == claimStateName(ClaimState::Begun)) {
            return refusal(409, Outcome::Unknown,
                "a request with this Idempotency-Key is in progress or its outcome is unknown; retry with "
                "the same key");
        }
        if (state == claimStateName(ClaimState::NotRun)) {
            return refusal(503, Outcome::NotRun, "the claim was released; send the request again");
        }
        auto response = refusal(504, Outcome::Unknown,
            "a request with this Idempotency-Key was sent and its outcome is unknown; it is not run again");
        if (state == claimStateName(ClaimState::Done)) {
            claim.verdict = ClaimVerdict::Replay;
            response = CallResponse();
            response.outcome = Outcome::Done;
            response.status = body->getValue<int>("status");
            const bool isWhole = body->has("answer");
            if (isWhole) {
                deserializeResponse(fromBase64(body->getValue<std::string>("answer")), response);
            }
            response.fields.emplace_back("Celeryline-Replay", isWhole ? "whole" : "status-only");
        }
        response.instance = body->getValue<std::string>("instance");
        return response;
    } catch (const Poco::Exception& e) {
        // An unreadable grant is not used; the claim is released by its attempt id.
        retryInBackground(makeEndCommand(claim, refusal(503, Outcome::NotRun, "")));
        return refusal(503, Outcome::NotRun, "the ledger's result can't be parsed: " + e.displayText());
    }
}

Command ClaimClient::makeEndCommand(const Claim& claim, const CallResponse& response) const
{
    auto body = commandBody("end", claim);
    const auto state = response.outcome == Outcome::Done ? ClaimState::Done
        : response.outcome == Outcome::NotRun            ? ClaimState::NotRun
                                                         : ClaimState::Unknown;
    body.set("state", claimStateName(state));
    body.set("status", response.status);
    body.set("instance", response.instance);
    if (state == ClaimState::Done && !response.wasStreamed) {
        const auto packed = serializeResponse(response);
        if (packed.size() <= m_maxAnswerBytes) {
            body.set("answer", toBase64(packed));
        }
    }
    return { CommandKind::Ledger, "end-" + claim.attempt, stringify(body) };
}

void ClaimClient::finish(const Claim& claim, const CallResponse& response, Millis deadline)
{
    auto command = makeEndCommand(claim, response);
    const auto remaining = std::min(deadline - m_clock.now(), retryTimeout);
    if (remaining.count <= 0 || !trySubmit(command, remaining)) {
        retryInBackground(std::move(command));
    }
}

bool ClaimClient::trySubmit(const Command& command, Millis timeout)
{
    try {
        m_store.submit(command, timeout);
        return true;
    } catch (const Error&) {
        return false;
    }
}

void ClaimClient::retryInBackground(Command command)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_backlog.size() < maxBacklog) {
            m_backlog.push_back(std::move(command));
        }
    }
    m_changed.notify_all();
}

void ClaimClient::runRetries()
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        if (m_backlog.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const auto command = m_backlog.front();
        lock.unlock();
        const bool isRecorded = trySubmit(command, retryTimeout);
        lock.lock();
        if (isRecorded) {
            m_backlog.pop_front();
            m_changed.notify_all();
        } else if (!m_isStopping) {
            m_changed.wait_for(lock, retryDelay.toChrono(), [this] { return m_isStopping; });
        }
    }
}

void ClaimClient::flush(Millis limit)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, limit.toChrono(), [this] { return m_backlog.empty(); });
}

std::size_t ClaimClient::backlog() const
{
    const std::lock_guard lock(m_mutex);
    return m_backlog.size();
}

} // namespace celeryline
