#include "celeryline/jobs/AdviceBook.h"

namespace celeryline {
namespace {

/// A ticket must still be valid when the order with it reaches the runner.
constexpr Millis ticketMargin { 300 };
constexpr Millis pauseAfterFailure { 200 };
constexpr Millis pauseAfterRefusal { 1000 };

} // namespace

bool AdviceBook::mustAsk(const TaskName& step, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    return found == m_steps.end() || (!found->second.isAsking && now >= found->second.askAgainAt);
}

std::optional<Millis> AdviceBook::askedAt(const TaskName& step) const
{
    auto found = m_steps.find(keyOf(step));
    return found == m_steps.end() ? std::nullopt : std::optional<Millis>(found->second.askedAt);
}

void AdviceBook::noteAsked(const TaskName& step, Millis now)
{
    auto& entry = m_steps[keyOf(step)];
    entry.isAsking = true;
    entry.askedAt = now;
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
    // No runner that was asked for may run the step; others may come.
    entry.askAgainAt
        = entry.advice.tickets.empty() ? now + pauseAfterRefusal : entry.validUntil - ticketMargin;
}

const std::string* AdviceBook::ticket(const TaskName& step, const std::string& runner, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    if (found == m_steps.end() || now + ticketMargin > found->second.validUntil)
        return nullptr;
    auto ticket = found->second.advice.tickets.find(runner);
    return ticket == found->second.advice.tickets.end() ? nullptr : &ticket->second;
}

void AdviceBook::forgetRunner(const std::string& runner, Millis now)
{
    for (auto& [key, entry] : m_steps) {
        if (entry.advice.tickets.erase(runner) != 0 && entry.advice.tickets.empty())
            entry.askAgainAt = now;
    }
}

void AdviceBook::forgetEnded(const std::function<bool(const TaskName&)>& isOver)
{
    for (auto it = m_steps.begin(); it != m_steps.end();) {
        const auto& [job, occurrence, step] = it->first;
        bool isUnused = !it->second.isAsking && isOver({ job, occurrence, step, 0 });
        it = isUnused ? m_steps.erase(it) : std::next(it);
    }
}

} // namespace celeryline
