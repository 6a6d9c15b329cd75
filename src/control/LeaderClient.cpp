#include "celeryline/control/LeaderClient.h"

#include <algorithm>

namespace celeryline {
namespace {

/// Longer than a commit takes on a slow disk; after it, another control process may lead.
constexpr Millis tryTimeout { 800 };
constexpr kj::Duration retryPause = 40 * kj::MILLISECONDS;

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
        if (std::find(m_addresses.begin(), m_addresses.end(), address) == m_addresses.end())
            m_addresses.push_back(address);
    }
}

std::string LeaderClient::nextTarget()
{
    if (!m_leader.empty())
        return m_leader;
    if (m_addresses.empty())
        return "";
    return m_addresses[m_next++ % m_addresses.size()];
}

kj::Promise<ForwardedResponse> LeaderClient::forward(
    ForwardedRequest request, Millis timeout, Millis timeoutOnceSent)
{
    auto attempt = std::make_shared<Attempt>();
    attempt->request = std::move(request);
    auto now = m_links.timer().now();
    attempt->deadline = now + timeout.count * kj::MILLISECONDS;
    attempt->deadlineOnceSent = now + std::max(timeout, timeoutOnceSent).count * kj::MILLISECONDS;
    return tryOnce(attempt);
}

kj::Promise<ForwardedResponse> LeaderClient::tryOnce(const std::shared_ptr<Attempt>& attempt)
{
    Millis left { (attempt->deadline - m_links.timer().now()) / kj::MILLISECONDS };
    auto target = nextTarget();
    if (left <= Millis {} || target.empty()) {
        ForwardedResponse response;
        response.outcome = attempt->mayHaveRun ? ForwardOutcome::Unknown : ForwardOutcome::NotLeading;
        return response;
    }
    auto answered = m_links.to(target).forward(attempt->request, std::min(left, tryTimeout));
    return answered.then(
        [this, attempt, target](CallResult<ForwardedResponse>&& call) -> kj::Promise<ForwardedResponse> {
            if (call.hasResult && call.result.outcome == ForwardOutcome::Answered) {
                m_leader = target;
                return kj::mv(call.result);
            }
            bool isUnknown = call.hasResult ? call.result.outcome == ForwardOutcome::Unknown
                                            : call.failure == CallFailure::Unknown;
            attempt->mayHaveRun = attempt->mayHaveRun || isUnknown;
            if (attempt->mayHaveRun)
                attempt->deadline = attempt->deadlineOnceSent;
            // Another request may have found the leader meanwhile.
            if (call.hasResult && !call.result.leader.empty() && call.result.leader != target) {
                m_leader = call.result.leader;
            } else if (m_leader == target) {
                m_leader.clear();
            }
            return tryAgain(attempt);
        });
}

kj::Promise<ForwardedResponse> LeaderClient::tryAgain(const std::shared_ptr<Attempt>& attempt)
{
    return m_links.timer().afterDelay(retryPause).then([this, attempt] { return tryOnce(attempt); });
}

} // namespace celeryline
