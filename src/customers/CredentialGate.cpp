#include "celeryline/customers/CredentialGate.h"

#include "celeryline/customers/ApiKeyIndex.h"

#include <algorithm>
#include <cmath>
#include <cstring>

namespace celeryline {
namespace {

constexpr double millisPerSecond = 1000;

} // namespace

bool CredentialGate::Memory::use(const Credential& credential)
{
    auto found = m_index.find(credential);
    if (found == m_index.end())
        return false;
    m_order.splice(m_order.begin(), m_order, found->second);
    return true;
}

void CredentialGate::Memory::add(const Credential& credential)
{
    if (use(credential))
        return;
    if (m_index.size() >= m_capacity) {
        m_index.erase(m_order.back());
        m_order.pop_back();
    }
    m_order.push_front(credential);
    m_index.emplace(credential, m_order.begin());
}

void CredentialGate::Memory::remove(const Credential& credential)
{
    auto found = m_index.find(credential);
    if (found == m_index.end())
        return;
    m_order.erase(found->second);
    m_index.erase(found);
}

CredentialGate::CredentialGate(std::string secret, const CredentialGateOptions& options)
    : m_secret(std::move(secret))
    , m_options(options)
    , m_keys(options.maxKeys)
    , m_queues(options.maxQueues)
    , m_tokens(options.capacity)
{
}

std::optional<CredentialGate::Ticket> CredentialGate::admit(
    std::string_view key, std::string_view queue, Millis now)
{
    Ticket ticket;
    ticket.queue = digestOf({}, queue);
    ticket.hasKey = !key.empty();
    ticket.credential = ticket.hasKey ? digestOf(key, queue) : ticket.queue;
    ticket.isKnown = isKnown(ticket);
    if (ticket.isKnown || !isActive(now))
        return ticket;
    refill(now);
    if (!shareToken(ticket.credential))
        return std::nullopt;
    ticket.sharesToken = true;
    return ticket;
}

bool CredentialGate::isKnown(const Ticket& ticket)
{
    // A queue that needs no key accepts any.
    bool isOpenQueue = m_queues.use(ticket.queue);
    return isOpenQueue || (ticket.hasKey && m_keys.use(ticket.credential));
}

bool CredentialGate::isActive(Millis now) const
{
    return m_lastRejection && now < *m_lastRejection + m_options.activeTime;
}

bool CredentialGate::shareToken(const Credential& credential)
{
    auto found = m_inFlight.find(credential);
    auto inFlight = found == m_inFlight.end() ? InFlight {} : found->second;
    if (inFlight.isRejected || inFlight.requests >= inFlight.tokens * m_options.requestsPerToken) {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        ++inFlight.tokens;
    }
    ++inFlight.requests;
    m_inFlight[credential] = inFlight;
    return true;
}

void CredentialGate::settle(const Ticket& ticket, Outcome outcome, Millis now)
{
    refill(now);
    if (ticket.sharesToken)
        releaseToken(ticket.credential, outcome);
    if (outcome == Outcome::Rejected) {
        m_lastRejection = now;
        m_keys.remove(ticket.credential);
        m_queues.remove(ticket.queue); // It may have been public in an earlier configuration.
    }
    bool mayBeRejected = outcome == Outcome::Rejected || (outcome == Outcome::Abandoned && isActive(now));
    // Each costs a token of its own, whether or not it shared one.
    if (mayBeRejected && !ticket.isKnown)
        m_tokens -= 1;
    if (outcome == Outcome::Accepted)
        remember(ticket);
    m_tokens = std::clamp(m_tokens, -m_options.capacity, m_options.capacity);
}

void CredentialGate::releaseToken(const Credential& credential, Outcome outcome)
{
    auto found = m_inFlight.find(credential);
    auto& inFlight = found->second;
    --inFlight.requests;
    inFlight.isRejected
        = outcome == Outcome::Rejected || (inFlight.isRejected && outcome != Outcome::Accepted);
    auto needed = (inFlight.requests + m_options.requestsPerToken - 1) / m_options.requestsPerToken;
    if (inFlight.tokens > needed) {
        m_tokens += inFlight.tokens - needed;
        inFlight.tokens = needed;
    }
    if (inFlight.requests == 0)
        m_inFlight.erase(found);
}

void CredentialGate::remember(const Ticket& ticket)
{
    if (!ticket.hasKey) {
        m_queues.add(ticket.queue);
    } else if (!m_queues.contains(ticket.queue)) {
        m_keys.add(ticket.credential);
    }
}

Millis CredentialGate::timeToToken(Millis now) const
{
    auto sinceRefill = static_cast<double>((now - m_lastRefill).count);
    auto missing = 1 - m_tokens - sinceRefill * m_options.refillPerSecond / millisPerSecond;
    if (missing <= 0)
        return {};
    return { static_cast<std::int64_t>(std::ceil(missing * millisPerSecond / m_options.refillPerSecond)) };
}

void CredentialGate::refill(Millis now)
{
    if (now <= m_lastRefill)
        return;
    auto elapsed = static_cast<double>((now - m_lastRefill).count);
    m_tokens = std::min(m_options.capacity, m_tokens + elapsed * m_options.refillPerSecond / millisPerSecond);
    m_lastRefill = now;
}

CredentialGate::Credential CredentialGate::digestOf(std::string_view key, std::string_view queue) const
{
    // Nested, so that nobody can extend a digest. The inner digests have a fixed length, so a key and a queue
    // can't be divided differently.
    auto inner = digestOfKey(m_secret + digestOfKey(m_secret + std::string(key)) + std::string(queue));
    auto digest = digestOfKey(m_secret + inner);
    Credential credential;
    std::memcpy(credential.data(), digest.data(), sizeof(credential));
    return credential;
}

} // namespace celeryline
