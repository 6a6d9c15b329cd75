// JobMaster: calls of the advice service.
#include "celeryline/jobs/AdvicePlan.h"
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr Millis retryDelayAfterFailure { 200 };
/// The delay doubles with each consecutive failure, up to 16 times the first one.
constexpr std::uint32_t maxDelayDoublings = 4;

} // namespace

void JobMaster::askForAdvice()
{
    const auto& queues = m_store.configuration().queues;
    auto needsAdvice = [](const QueueSettings& queue) { return queue.needsAdvice; };
    auto now = m_clock();
    // The service handles one call at a time, so a second call would only wait there while its tickets
    // expire.
    if (m_advisor == nullptr || m_isAdvicePending || now.steady < m_adviceRetryAt
        || std::none_of(queues.begin(), queues.end(), needsAdvice))
        return;
    auto call = chooseAdviceCall(m_store, m_candidates, m_adviceCache, now.wall, now.steady);
    if (!call)
        return;
    m_adviceCache.markAsked(call->step);
    m_isAdvicePending = true;
    const auto& timing = findQueue(m_store.configuration(), call->queue)->adviceTiming;
    auto timeout = adviceTimeout(timing, call->runners.size(), m_timeoutDoublings);
    describeStep("advice-asked", call->step)
        .with("runners", call->runners.size())
        .with("timeoutMs", timeout)
        .write();
    m_advisor->ask(call->step, call->runners, timeout,
        [this, call = *call, timeout, term = m_log.term()](const std::optional<PlacementAdvice>& advice) {
            // A call of an earlier term occupies the service, too.
            m_isAdvicePending = false;
            bool isQuick = 2 * (m_clock().steady - call.askedAt).count < timeout.count;
            noteAdviceHealth(advice.has_value(), isQuick);
            if (term == m_log.term())
                onAdvice(call, advice);
        });
}

void JobMaster::noteAdviceHealth(bool hasAnswered, bool isQuick)
{
    auto now = m_clock().steady;
    if (hasAnswered) {
        // A service that needs the longer timeout keeps it.
        m_timeoutDoublings -= isQuick && m_timeoutDoublings != 0 ? 1 : 0;
        if (m_adviceFailures != 0)
            Event("advice-found").with("failures", m_adviceFailures).writeAlways();
        m_adviceFailures = 0;
        return;
    }
    if (m_adviceFailures == 0)
        Event("advice-lost").writeAlways();
    auto doublings = std::min(m_adviceFailures, maxDelayDoublings);
    m_adviceRetryAt = now + Millis { retryDelayAfterFailure.count << doublings };
    ++m_adviceFailures;
    // A call that fails at once needs no more time.
    m_timeoutDoublings = isQuick ? m_timeoutDoublings : std::min(m_timeoutDoublings + 1, maxTimeoutDoublings);
}

void JobMaster::onAdvice(const AdviceCall& call, const std::optional<PlacementAdvice>& advice)
{
    auto now = m_clock().steady;
    m_adviceCache.storeAnswer(call, advice, now);
    describeAnswer(call.step, advice, now - call.askedAt).write();
    m_mustPlan = true;
}

} // namespace celeryline
