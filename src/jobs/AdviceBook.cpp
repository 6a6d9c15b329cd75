#include "celeryline/jobs/AdviceBook.h"

namespace celeryline {
namespace {

/// A ticket must still be valid when the order with it reaches the runner.
constexpr Millis ticketMargin { 300 };
constexpr Millis pauseAfterFailure { 200 };

} // namespace

bool AdviceBook::mustAsk(const TaskName& step, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    return found == m_steps.end() || (!found->second.isAsking && now >= found->second.askAgainAt);
}

void AdviceBook::noteAsked(const TaskName& step, Millis now)
{
    auto& entry = m_steps[keyOf(step)];
    entry.isAsking = true;
    entry.askAgainAt = now;
}

void AdviceBook::note(
    const TaskName& step, const std::optional<PlacementAdvice>& advice, Millis askedAt, Millis now)
{
    auto& entry = m_steps[keyOf(step)];
    entry.isAsking = false;
    if (!advice) {
        entry.askAgainAt = now + pauseAfterFailure;
        return;
    }
    entry.advice = *advice;
    entry.validUntil = askedAt + advice->validFor;
    entry.askAgainAt = entry.validUntil - ticketMargin;
}

const std::string* AdviceBook::ticket(const TaskName& step, const std::string& runner, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    if (found == m_steps.end() || now + ticketMargin > found->second.validUntil)
        return nullptr;
    auto ticket = found->second.advice.tickets.find(runner);
    return ticket == found->second.advice.tickets.end() ? nullptr : &ticket->second;
}

void AdviceBook::forgetOld(Millis now)
{
    constexpr Millis keptAfterEnd { 10000 };
    for (auto it = m_steps.begin(); it != m_steps.end();) {
        bool isOld = !it->second.isAsking && now > it->second.askAgainAt + keptAfterEnd;
        it = isOld ? m_steps.erase(it) : std::next(it);
    }
}

} // namespace celeryline
