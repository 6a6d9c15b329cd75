#include "celeryline/jobs/AdviceCache.h"

#include <algorithm>

namespace celeryline {
namespace {

/// A ticket must still be valid when the order that carries it reaches the runner.
constexpr Millis ticketSafetyMargin { 300 };
/// Limit on the margin of tickets with a short validity, as a part of it.
constexpr std::int64_t maxMarginDivisor = 4;
/// How long a ticket is used after the response even if its validity, counted from the call, is over.
constexpr Millis lateTicketUse { 500 };
/// How long late tickets aren't used after a runner has refused one.
constexpr Millis lateTicketPause { 10000 };
constexpr Millis retryDelayAfterFailure { 200 };
/// The delay doubles with each consecutive failure, up to 16 times the first one.
constexpr std::uint32_t maxDelayDoublings = 4;
/// The policy for a step doesn't change, so a refusal is checked again only in case that the service erred.
constexpr Millis refusalRetention { 10000 };
/// Number of named runners after which earlier calls count half in the approved share.
constexpr double maxNamedInShare = 200;

} // namespace

const char* stepAdviceName(StepAdvice advice)
{
    switch (advice) {
    case StepAdvice::NotAsked:
        return "not-asked";
    case StepAdvice::Asking:
        return "asking";
    case StepAdvice::Failing:
        return "failing";
    case StepAdvice::Refused:
        return "refused";
    case StepAdvice::Expired:
        return "expired";
    case StepAdvice::Approved:
        return "approved";
    }
    return "";
}

void AdviceCache::clear()
{
    m_steps.clear();
    m_approvals.clear();
    m_isAsking = false;
    m_changedRunners.clear();
}

bool AdviceCache::mayAsk(const TaskName& step, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    if (found == m_steps.end())
        return true;
    const auto& entry = found->second;
    return !entry.isAsking && now >= entry.retryAt && now >= entry.recheckAt;
}

bool AdviceCache::wasAsked(const TaskName& step) const
{
    auto found = m_steps.find(keyOf(step));
    return found != m_steps.end() && found->second.wasAsked;
}

void AdviceCache::markAsked(const TaskName& step)
{
    auto& entry = m_steps[keyOf(step)];
    entry.isAsking = true;
    entry.wasAsked = true;
    m_isAsking = true;
    m_changedRunners.clear();
}

void AdviceCache::postpone(const TaskName& step, Millis until) { m_steps[keyOf(step)].recheckAt = until; }

void AdviceCache::storeAnswer(
    const AdviceCall& call, const std::optional<PlacementAdvice>& advice, Millis now)
{
    auto& entry = m_steps[keyOf(call.step)];
    entry.isAsking = false;
    m_isAsking = false;
    if (!advice) {
        auto doublings = std::min(entry.failures++, maxDelayDoublings);
        entry.retryAt = now + Millis { retryDelayAfterFailure.count << doublings };
        return;
    }
    entry.failures = 0;
    auto& approvals = m_approvals[call.queue];
    for (const auto& runner : call.runners) {
        if (m_changedRunners.count(runner) != 0)
            continue; // A ticket is valid during one life of the runner only.
        auto approved = advice->tickets.find(runner);
        approvals.named += 1;
        if (approved == advice->tickets.end()) {
            entry.refusedAt[runner] = now;
            continue;
        }
        approvals.approved += 1;
        entry.refusedAt.erase(runner);
        entry.tickets[runner] = makeTicket(approved->second, advice->validFor, call.askedAt, now);
    }
    if (approvals.named > maxNamedInShare)
        approvals = { approvals.named / 2, approvals.approved / 2 };
}

AdviceCache::Ticket AdviceCache::makeTicket(
    const std::string& text, Millis validFor, Millis askedAt, Millis now) const
{
    auto margin = std::min(ticketSafetyMargin, Millis { validFor.count / maxMarginDivisor });
    Ticket ticket { text, askedAt + validFor, margin };
    auto lateUse = std::min(lateTicketUse, validFor - margin);
    if (ticket.validUntil < now + margin + lateUse && now >= m_noLateTicketsUntil) {
        ticket.isLate = true;
        ticket.validUntil = now + margin + lateUse;
    }
    return ticket;
}

bool AdviceCache::isValid(const Ticket& ticket, Millis now) const
{
    bool isPaused = ticket.isLate && now < m_noLateTicketsUntil;
    return !isPaused && now + ticket.safetyMargin <= ticket.validUntil;
}

RunnerAdvice AdviceCache::adviceOn(const TaskName& step, const std::string& runner, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    if (found == m_steps.end())
        return RunnerAdvice::Unknown;
    const auto& entry = found->second;
    auto ticket = entry.tickets.find(runner);
    if (ticket != entry.tickets.end())
        return isValid(ticket->second, now) ? RunnerAdvice::Approved : RunnerAdvice::Expired;
    return entry.refusedAt.count(runner) != 0 ? RunnerAdvice::Refused : RunnerAdvice::Unknown;
}

StepAdvice AdviceCache::adviceOn(const TaskName& step, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    if (found == m_steps.end() || (!found->second.wasAsked && found->second.tickets.empty()))
        return StepAdvice::NotAsked;
    const auto& entry = found->second;
    if (hasTicket(step, now))
        return StepAdvice::Approved;
    if (entry.isAsking)
        return StepAdvice::Asking;
    if (entry.failures != 0)
        return StepAdvice::Failing;
    return entry.tickets.empty() ? StepAdvice::Refused : StepAdvice::Expired;
}

bool AdviceCache::mayAskAgain(const TaskName& step, const std::string& runner, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    if (found == m_steps.end())
        return false;
    auto refused = found->second.refusedAt.find(runner);
    return refused != found->second.refusedAt.end() && now >= refused->second + refusalRetention;
}

bool AdviceCache::hasTicket(const TaskName& step, Millis now) const
{
    auto found = m_steps.find(keyOf(step));
    return found != m_steps.end()
        && std::any_of(found->second.tickets.begin(), found->second.tickets.end(),
            [&](const auto& ticket) { return isValid(ticket.second, now); });
}

const std::string* AdviceCache::ticket(const TaskName& step, const std::string& runner, Millis now) const
{
    return adviceOn(step, runner, now) == RunnerAdvice::Approved ? latestTicket(step, runner) : nullptr;
}

const std::string* AdviceCache::latestTicket(const TaskName& step, const std::string& runner) const
{
    auto found = m_steps.find(keyOf(step));
    if (found == m_steps.end())
        return nullptr;
    auto ticket = found->second.tickets.find(runner);
    return ticket == found->second.tickets.end() ? nullptr : &ticket->second.text;
}

double AdviceCache::approvedShare(const std::string& queue) const
{
    auto found = m_approvals.find(queue);
    auto approvals = found == m_approvals.end() ? Approvals {} : found->second;
    // Begins at one half and is never 0, so that few answers don't decide.
    return (approvals.approved + 1) / (approvals.named + 2);
}

void AdviceCache::refuseTicket(const TaskName& step, const std::string& runner, Millis now)
{
    auto found = m_steps.find(keyOf(step));
    if (found == m_steps.end())
        return;
    auto ticket = found->second.tickets.find(runner);
    if (ticket == found->second.tickets.end())
        return;
    ticket->second.validUntil = {};
    if (ticket->second.isLate)
        m_noLateTicketsUntil = now + lateTicketPause;
}

void AdviceCache::removeRunner(const std::string& runner)
{
    if (m_isAsking)
        m_changedRunners.insert(runner);
    for (auto& [key, entry] : m_steps) {
        entry.tickets.erase(runner);
        entry.refusedAt.erase(runner);
        entry.recheckAt = {};
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
