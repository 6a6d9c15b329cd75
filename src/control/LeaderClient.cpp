#include "celeryline/control/LeaderClient.h"

#include "celeryline/control/ControlTimes.h"

#include <algorithm>

namespace celeryline {
namespace {

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

void LeaderClient::noteLeader(const std::string& address)
{
    m_leader = address;
    m_silence = afterAnswer(now());
}

Millis LeaderClient::now() const
{
    return { (m_links.timer().now() - kj::origin<kj::TimePoint>()) / kj::MILLISECONDS };
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

ForwardedResponse LeaderClient::withoutAnswer(const Attempt& attempt) const
{
    ForwardedResponse response;
    response.outcome = attempt.mayHaveRun ? ForwardOutcome::Unknown : ForwardOutcome::NotLeading;
    if (isRefusing())
        response.retryAfter = m_refusalRule.retryAfter;
    return response;
}

kj::Promise<ForwardedResponse> LeaderClient::tryOnce(const std::shared_ptr<Attempt>& attempt)
{
    Millis left { (attempt->deadline - m_links.timer().now()) / kj::MILLISECONDS };
    auto target = nextTarget();
    // A question has no effect that its caller would have to know of.
    bool mayHaveEffect = attempt->mayHaveRun && attempt->request.method != "GET";
    bool isRefused = mustRefuse(m_refusalRule, m_silence, mayHaveEffect);
    if (isRefused || left <= Millis {} || target.empty())
        return withoutAnswer(*attempt);
    auto answered = m_links.to(target).forward(attempt->request, std::min(left, controlCallTimeout));
    return answered.then(
        [this, attempt, target](CallResult<ForwardedResponse>&& call) -> kj::Promise<ForwardedResponse> {
            if (call.hasResult && call.result.outcome == ForwardOutcome::Answered) {
                noteLeader(target);
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
