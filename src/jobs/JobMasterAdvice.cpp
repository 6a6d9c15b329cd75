// JobMaster: calls of the advice service.
#include "celeryline/jobs/AdvicePlan.h"
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"

#include <algorithm>

namespace celeryline {
namespace {

/// The service handles one call at a time, so a second call would only wait there while its tickets expire.
constexpr std::size_t maxAdviceCalls = 1;

} // namespace

void JobMaster::askForAdvice()
{
    const auto& queues = m_store.configuration().queues;
    auto needsAdvice = [](const QueueSettings& queue) { return queue.needsAdvice; };
    if (m_advisor == nullptr || m_pendingAdviceCalls >= maxAdviceCalls
        || std::none_of(queues.begin(), queues.end(), needsAdvice))
        return;
    auto now = m_clock();
    auto call = chooseAdviceCall(m_store, m_candidates, m_adviceCache, now.wall, now.steady);
    if (!call)
        return;
    m_adviceCache.markAsked(call->step);
    ++m_pendingAdviceCalls;
    describeStep("advice-asked", call->step)
        .with("runners", call->runners.size())
        .with("calls", m_pendingAdviceCalls)
        .write();
    m_advisor->ask(call->step, call->runners,
        [this, call = *call, term = m_log.term()](const std::optional<PlacementAdvice>& advice) {
            if (term == m_log.term())
                onAdvice(call, advice);
        });
}

void JobMaster::onAdvice(const AdviceCall& call, const std::optional<PlacementAdvice>& advice)
{
    auto now = m_clock().steady;
    --m_pendingAdviceCalls;
    m_adviceCache.storeAnswer(call, advice, now);
    describeAnswer(call.step, advice, now - call.askedAt).write();
    m_mustPlan = true;
}

} // namespace celeryline
