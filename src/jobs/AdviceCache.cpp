#include "celeryline/jobs/AdviceCache.h"

namespace celeryline {
namespace {

/// A ticket must still be valid when the order that carries it reaches the runner.
constexpr Millis ticketSafetyMargin { 300 };
constexpr Millis retryDelayAfterFailure { 200 };
constexpr Millis retryDelayAfterRefusal { 1000 };

} // namespace

bool AdviceCache::mustAsk(const TaskName& step, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    return found == m_steps.end() || (!found->second.isAsking && now >= found->second.askAgainAt);
}

std::optional<Millis> AdviceCache::askedAt(const TaskName& step) const
{
    auto found = m_steps.find(keyOf(step));
    return found == m_steps.end() ? std::nullopt : std::optional<Millis>(found->second.askedAt);
}

void AdviceCache::markAsked(const TaskName& step, Millis now)
{
    auto& entry = m_steps[keyOf(step)];
    entry.isAsking = true;
    entry.askedAt = now;
    entry.askAgainAt = now;
}

void AdviceCache::storeAnswer(
    const TaskName& step, const std::optional<PlacementAdvice>& advice, Millis askedAt, Millis now)
{
    auto& entry = m_steps[keyOf(step)];
    entry.isAsking = false;
    if (!advice) {
        entry.askAgainAt = now + retryDelayAfterFailure;
        return;
    }
    entry.advice = *advice;
    entry.validUntil = askedAt + advice->validFor;
    // None of the requested runners was approved; others may appear.
    entry.askAgainAt
        = entry.advice.tickets.empty() ? now + retryDelayAfterRefusal : entry.validUntil - ticketSafetyMargin;
}

const std::string* AdviceCache::ticket(const TaskName& step, const std::string& runner, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    if (found == m_steps.end() || now + ticketSafetyMargin > found->second.validUntil)
        return nullptr;
    auto ticket = found->second.advice.tickets.find(runner);
    return ticket == found->second.advice.tickets.end() ? nullptr : &ticket->second;
}

void AdviceCache::removeRunner(const std::string& runner, Millis now)
{
    for (auto& [key, entry] : m_steps) {
        if (entry.advice.tickets.erase(runner) != 0 && entry.advice.tickets.empty())
            entry.askAgainAt = now;
    }
}

void AdviceCache::removeEnded(const std::function<bool(const TaskName&)>& isOver)
{
    for (auto it = m_steps.begin(); it != m_steps.end();) {
        const auto& [job, occurrence, step] = it->first;
        bool isUnused = !it->second.isAsking && isOver({ job, occurrence, step, 0 });
        it = isUnused ? m_steps.erase(it) : std::next(it);
    }
}

} // namespace celeryline
