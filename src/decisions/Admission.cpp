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

/// @return requests of another round-robin member that are served before the request at a position: at most
/// one more than the position, because the other member may come first in each round.
int aheadInTurn(int position, int others) { return std::min(others, position + 1); }

} // namespace

int queueAhead(const WaitingCounts& waiting, const std::string& organisation, const std::string& caller)
{
    int position = 0; // Within the request's own organisation.
    auto own = waiting.find(organisation);
    if (own != waiting.end()) {
        auto ownCaller = own->second.find(caller);
        int callerPosition = ownCaller == own->second.end() ? 0 : ownCaller->second;
        position = callerPosition;
        for (const auto& [name, count] : own->second) {
            position += name == caller ? 0 : aheadInTurn(callerPosition, count);
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
    // On average a slot becomes free every serviceTime / slots; the requests ahead take those slots first.
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
    int maxPerOrganisation = 0;
    int requestsOfOrganisation = 1; // Includes the new request.
    for (const auto& [organisation, callers] : input.waiting) {
        int count = sumOf(callers);
        total += count;
        requestsOfOrganisation += organisation == input.organisation ? count : 0;
        if (count > maxPerOrganisation) {
            maxPerOrganisation = count;
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
    if (requestsOfOrganisation >= maxPerOrganisation) {
        decision.shedOrganisation = input.organisation;
    }
    int requestsOfCaller = 1;
    int maxPerCaller = 0;
    if (auto shed = input.waiting.find(decision.shedOrganisation); shed != input.waiting.end()) {
        for (const auto& [caller, count] : shed->second) {
            requestsOfCaller
                += decision.shedOrganisation == input.organisation && caller == input.caller ? count : 0;
            if (count > maxPerCaller) {
                maxPerCaller = count;
                decision.shedCaller = caller;
            }
        }
    }
    bool shedsNewRequest
        = decision.shedOrganisation == input.organisation && requestsOfCaller >= maxPerCaller;
    decision.action = shedsNewRequest ? AdmissionAction::Refuse : AdmissionAction::WaitAndShed;
    decision.reason = "the queue is full and "
        + (shedsNewRequest
                ? "this caller has"
                : "caller " + decision.shedCaller + " of organisation " + decision.shedOrganisation + " has")
        + " most requests in it";
    if (shedsNewRequest) {
        decision.shedOrganisation.clear();
        decision.shedCaller.clear();
    }
    invariant(shedsNewRequest || !decision.shedCaller.empty() || maxPerCaller > 0, "a shed request exists");
    return decision;
}

RetryBudget afterFirstAttempt(RetryBudget budget, int percent)
{
    budget.tokens = std::min(budget.capacity, budget.tokens + percent / 100.0);
    return budget;
}

std::pair<bool, RetryBudget> takeRetry(RetryBudget budget)
{
    // Sums of hundredths aren't exact in binary floating point; ten times 0.1 must suffice for one retry.
    bool allowed = budget.tokens >= 1 - 1e-9;
    if (allowed) {
        budget.tokens = std::max(0.0, budget.tokens - 1);
    }
    return { allowed, budget };
}

} // namespace celeryline
