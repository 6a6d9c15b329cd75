#include "celeryline/decisions/Admission.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>

namespace celeryline {

namespace {

int sumOf(const std::map<std::string, int>& callers)
{
    int sum = 0;
    for (const auto& [caller, count] : callers) {
        sum += count;
    }
    return sum;
}

/// Members of a round robin are served in turn: before the request at a position of one member, each other
/// member has been served at most once more than that position.
int aheadInTurn(int position, int others) { return std::min(others, position + 1); }

} // namespace

int queueAhead(const WaitingCounts& waiting, const std::string& organisation, const std::string& caller)
{
    int position = 0; // Within its own organisation.
    auto own = waiting.find(organisation);
    if (own != waiting.end()) {
        auto ownCaller = own->second.find(caller);
        int mine = ownCaller == own->second.end() ? 0 : ownCaller->second;
        position = mine;
        for (const auto& [name, count] : own->second) {
            position += name == caller ? 0 : aheadInTurn(mine, count);
        }
    }
    int ahead = position;
    for (const auto& [name, callers] : waiting) {
        ahead += name == organisation ? 0 : aheadInTurn(position, sumOf(callers));
    }
    return ahead;
}

AdmissionDecision admit(const AdmissionInput& input, Millis now)
{
    AdmissionDecision decision;
    if (input.slots <= 0) {
        decision.retryAfter = Millis { 1000 };
        decision.reason = "the service has no slots here";
        return decision;
    }
    int ahead = queueAhead(input.waiting, input.organisation, input.caller);
    // A slot ends every serviceTime / slots; the request gets the one after those ahead of it.
    auto rounds = input.freeSlots > ahead ? 0 : ahead - input.freeSlots + 1;
    decision.expectedWait = Millis { rounds * input.serviceTime.count / input.slots };
    auto wait = std::to_string(decision.expectedWait.count) + " ms with " + std::to_string(ahead) + " ahead";
    if (now + decision.expectedWait + input.serviceTime > input.deadline) {
        decision.retryAfter = std::max(Millis { 1000 }, decision.expectedWait);
        decision.reason = "it would wait " + wait + " and miss its deadline in "
            + std::to_string((input.deadline - now).count) + " ms";
        return decision;
    }
    if (rounds == 0) {
        decision.action = AdmissionAction::Start;
        decision.reason = "a slot is free";
        return decision;
    }
    if (decision.expectedWait > input.maxQueue) {
        decision.retryAfter = std::max(Millis { 1000 }, decision.expectedWait - input.maxQueue);
        decision.reason = "it would wait " + wait + ", the service permits "
            + std::to_string(input.maxQueue.count) + " ms";
        return decision;
    }
    int total = 0;
    int most = 0;
    int own = 1; // With the new request.
    for (const auto& [organisation, callers] : input.waiting) {
        int count = sumOf(callers);
        total += count;
        own += organisation == input.organisation ? count : 0;
        if (count > most) {
            most = count;
            decision.shedOrganisation = organisation;
        }
    }
    if (total < input.maxWaiting) {
        decision.action = AdmissionAction::Wait;
        decision.shedOrganisation.clear();
        decision.reason = "waits " + wait;
        return decision;
    }
    decision.retryAfter = std::max(Millis { 1000 }, decision.expectedWait);
    if (own >= most) {
        decision.shedOrganisation = input.organisation;
    }
    int mine = 1;
    int mostOfCaller = 0;
    if (auto shed = input.waiting.find(decision.shedOrganisation); shed != input.waiting.end()) {
        for (const auto& [caller, count] : shed->second) {
            mine += decision.shedOrganisation == input.organisation && caller == input.caller ? count : 0;
            if (count > mostOfCaller) {
                mostOfCaller = count;
                decision.shedCaller = caller;
            }
        }
    }
    bool ownTurn = decision.shedOrganisation == input.organisation && mine >= mostOfCaller;
    decision.action = ownTurn ? AdmissionAction::Refuse : AdmissionAction::WaitAndShed;
    decision.reason = "the queue is full and "
        + (ownTurn
                ? "this caller has"
                : "caller " + decision.shedCaller + " of organisation " + decision.shedOrganisation + " has")
        + " most requests in it";
    if (ownTurn) {
        decision.shedOrganisation.clear();
        decision.shedCaller.clear();
    }
    invariant(ownTurn || !decision.shedCaller.empty() || mostOfCaller > 0, "a shed request exists");
    return decision;
}

RetryBudget afterFirstAttempt(RetryBudget budget, int percent)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + percent / 100.0);
    return budget;
}

std::pair<bool, RetryBudget> takeRetry(RetryBudget budget)
{
    // Sums of hundredths are not exact in binary; ten of 0.1 must pay for one retry.
    bool allowed = budget.tokens >= 1 - 1e-9;
    if (allowed) {
        budget.tokens = std::max(0.0, budget.tokens - 1);
    }
    return { allowed, budget };
}

} // namespace celeryline
