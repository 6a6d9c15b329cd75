#include "celeryline/control/LeaderClient.h"

#include "celeryline/base/SocketAddress.h"
#include "celeryline/control/ControlTimes.h"
#include "celeryline/settings/EventLog.h"

#include <algorithm>
#include <array>

namespace celeryline {
namespace {

constexpr kj::Duration retryDelay = 40 * kj::MILLISECONDS;
/// Bounds the log lines and their length: other processes repeat their introductions many times a minute.
constexpr std::size_t maxLoggedMalformed = 16;
constexpr std::size_t maxLoggedAddressLength = 64; ///< In bytes.

/// @return whether a response says that a request with effects was not executed. That holds for the last
/// attempt only: an earlier one may have been executed by another leader or under another configuration.
bool claimsNotExecuted(const ForwardedRequest& request, std::uint16_t status)
{
    constexpr std::array<std::uint16_t, 8> refusals { 400, 401, 403, 404, 409, 422, 429, 503 };
    return request.method != "GET" && std::find(refusals.begin(), refusals.end(), status) != refusals.end();
}

} // namespace

ControlLink& ControlLinks::to(const std::string& address)
{
    auto& link = m_links[address];
    if (!link)
        link = std::make_unique<ControlLink>(m_timer, m_network, address);
    return *link;
}

LeaderClient::LeaderClient(ControlLinks& links, std::vector<std::string> addresses)
    : m_links(links)
    , m_addresses(std::move(addresses))
{
}

void LeaderClient::addAddresses(const std::vector<std::string>& addresses)
{
    for (const auto& address : addresses) {
        if (std::find(m_addresses.begin(), m_addresses.end(), address) != m_addresses.end())
            continue;
        if (parseSocketAddress(address)) {
            m_addresses.push_back(address);
        } else {
            logMalformedAddress(address);
        }
    }
}

void LeaderClient::logMalformedAddress(const std::string& address)
{
    if (m_loggedMalformed.size() == maxLoggedMalformed)
        return;
    auto text = address.substr(0, maxLoggedAddressLength);
    if (m_loggedMalformed.insert(text).second)
        Event("malformed-address").with("address", text).writeAlways();
}

std::string LeaderClient::nextTarget()
{
    if (!m_leader.empty())
        return m_leader;
    if (m_addresses.empty())
        return "";
    return m_addresses[m_nextAddress++ % m_addresses.size()];
}

void LeaderClient::onLeaderResponse(const std::string& address)
{
    m_leader = address;
    m_responseTimer = resetResponseTimer(now());
}

Millis LeaderClient::now() const
{
    return { (m_links.timer().now() - kj::origin<kj::TimePoint>()) / kj::MILLISECONDS };
}

kj::Promise<ForwardedResponse> LeaderClient::forward(
    ForwardedRequest request, Millis timeout, Millis timeoutOnceSent, bool mayHaveRun)
{
    auto pending = std::make_shared<PendingRequest>();
    pending->request = std::move(request);
    pending->mayHaveRun = mayHaveRun;
    auto now = m_links.timer().now();
    pending->deadline = now + timeout.count * kj::MILLISECONDS;
    pending->deadlineOnceSent = now + std::max(timeout, timeoutOnceSent).count * kj::MILLISECONDS;
    return sendToTarget(pending);
}

ForwardedResponse LeaderClient::makeUnansweredResponse(const PendingRequest& pending) const
{
    ForwardedResponse response;
    response.outcome = pending.mayHaveRun ? ForwardOutcome::Unknown : ForwardOutcome::NotLeading;
    if (isRefusing())
        response.retryAfter = m_refusalPolicy.retryAfter;
    return response;
}

kj::Promise<ForwardedResponse> LeaderClient::sendToTarget(const std::shared_ptr<PendingRequest>& pending)
{
    Millis remaining { (pending->deadline - m_links.timer().now()) / kj::MILLISECONDS };
    auto target = nextTarget();
    // A GET request has no effects, so it can be refused even if it may have been executed.
    bool mayHaveEffect = pending->mayHaveRun && pending->request.method != "GET";
    bool isRefused = shouldRefuse(m_refusalPolicy, m_responseTimer, mayHaveEffect);
    if (isRefused || remaining <= Millis {} || target.empty())
        return makeUnansweredResponse(*pending);
    auto promise = m_links.to(target).forward(pending->request, std::min(remaining, controlCallTimeout));
    return promise.then(
        [this, pending, target](CallResult<ForwardedResponse>&& call) -> kj::Promise<ForwardedResponse> {
            if (call.hasResult && call.result.outcome == ForwardOutcome::Answered) {
                onLeaderResponse(target);
                if (pending->mayHaveRun && claimsNotExecuted(pending->request, call.result.status))
                    return makeUnansweredResponse(*pending);
                return kj::mv(call.result);
            }
            bool isOutcomeUnknown = call.hasResult ? call.result.outcome == ForwardOutcome::Unknown
                                                   : call.failure == CallFailure::Unknown;
            pending->mayHaveRun = pending->mayHaveRun || isOutcomeUnknown;
            if (pending->mayHaveRun)
                pending->deadline = pending->deadlineOnceSent;
            // Keeps a leader that another request has found in the meantime.
            if (call.hasResult && !call.result.leader.empty() && call.result.leader != target) {
                m_leader = call.result.leader;
            } else if (m_leader == target) {
                m_leader.clear();
            }
            return retryLater(pending);
        });
}

kj::Promise<ForwardedResponse> LeaderClient::retryLater(const std::shared_ptr<PendingRequest>& pending)
{
    return m_links.timer().afterDelay(retryDelay).then([this, pending] { return sendToTarget(pending); });
}

kj::Promise<ForwardedResponse> fulfilled(ForwardedResponse response) { return kj::mv(response); }

} // namespace celeryline
