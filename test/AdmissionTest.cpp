#include "celeryline/decisions/Admission.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>

using namespace celeryline;

namespace {

AdmissionDecision decide(const WaitingCounts& waiting, const std::string& organisation,
    const std::string& caller, int freeSlots, std::int64_t deadline, int maxWaiting)
{
    return admit({ organisation, caller, Millis { deadline }, waiting, 10, freeSlots, Millis { 100 },
                     Millis { 2000 }, maxWaiting },
        Millis { 0 });
}

/// Simulates a round robin over organisations and over the callers of each, in which the given ones come
/// last.
/// @return number of requests served before the last one of the caller.
int servedBefore(WaitingCounts waiting, const std::string& organisation, const std::string& caller)
{
    ++waiting[organisation][caller];
    std::deque<std::pair<std::string, std::deque<std::string>>> turns;
    for (const auto& [name, callers] : waiting) {
        std::deque<std::string> order;
        for (const auto& [who, count] : callers) {
            who == caller ? order.push_back(who) : order.push_front(who);
        }
        name == organisation ? turns.emplace_back(name, order) : turns.emplace_front(name, order);
    }
    for (int served = 0;;) {
        auto turn = turns.front();
        turns.pop_front();
        for (auto who = turn.second.size(); who > 0; --who) {
            auto next = turn.second.front();
            turn.second.pop_front();
            turn.second.push_back(next);
            auto& left = waiting[turn.first][next];
            if (left > 0) {
                --left;
                if (turn.first == organisation && next == caller && left == 0) {
                    return served;
                }
                ++served;
                break;
            }
        }
        turns.push_back(turn);
    }
}

} // namespace

TEST_CASE("A request that can't meet its deadline is refused at once", "[Admission]")
{
    WaitingCounts waiting { { "o", { { "c", 49 } } } };
    auto late = decide(waiting, "o", "c", 0, 599, 1000);
    CHECK(late.action == AdmissionAction::Refuse);
    CHECK(late.expectedWait == Millis { 500 });
    CHECK(decide(waiting, "o", "c", 0, 600, 1000).action == AdmissionAction::Wait);
    CHECK(decide({}, "o", "c", 1, 100, 1000).action == AdmissionAction::Start);
    CHECK(decide({}, "o", "c", 1, 99, 1000).action == AdmissionAction::Refuse);
    waiting["o"]["c"] = 300;
    CHECK(decide(waiting, "o", "c", 0, 60000, 1000).action == AdmissionAction::Refuse);
    CHECK(decide(waiting, "other", "c", 0, 600, 1000).action == AdmissionAction::Wait);
}

TEST_CASE("The queue ahead is what a fair queue serves first", "[Admission]")
{
    REQUIRE(rc::check("queueAhead equals a simulated round robin", [] {
        WaitingCounts waiting;
        for (const auto* organisation : { "a", "b", "c" }) {
            for (const auto* caller : { "x", "y", "z" }) {
                waiting[organisation][caller] = *rc::gen::inRange(0, 6);
            }
        }
        RC_ASSERT(queueAhead(waiting, "b", "y") == servedBefore(waiting, "b", "y"));
    }));
}

TEST_CASE("A full queue is shared equally between organisations, then callers", "[Admission]")
{
    WaitingCounts waiting;
    auto offer = [&](const std::string& organisation, const std::string& caller) {
        auto decision = decide(waiting, organisation, caller, 0, 60000, 40);
        if (decision.action == AdmissionAction::WaitAndShed) {
            --waiting[decision.shedOrganisation][decision.shedCaller];
        }
        if (decision.action != AdmissionAction::Refuse) {
            ++waiting[organisation][caller];
        }
    };
    offer("idle", "c");
    for (int i = 0; i < 200; ++i) {
        offer("loud", "c" + std::to_string(i % 2));
    }
    CHECK(waiting["loud"]["c0"] + waiting["loud"]["c1"] == 39);
    CHECK(waiting["idle"]["c"] == 1);
    for (int i = 0; i < 100; ++i) {
        offer("loud", "c0");
        offer("quiet", "c");
        offer("loud", "late");
    }
    CHECK(waiting["quiet"]["c"] >= 19);
    CHECK(waiting["idle"]["c"] == 1);
    for (const auto& [caller, count] : waiting["loud"]) {
        CHECK(count >= 6);
        CHECK(count <= 7);
    }
}

TEST_CASE("Retries stay within their share of first attempts", "[Admission]")
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget = afterFirstAttempt(budget, 10);
        auto [allowed, next] = takeRetry(budget);
        budget = next;
        retries += allowed ? 1 : 0;
    }
    CHECK(retries == 100);
    for (int i = 0; i < 1000; ++i) {
        budget = afterFirstAttempt(budget, 10);
    }
    int burst = 0;
    for (auto next = takeRetry(budget); next.first && burst < 1000; next = takeRetry(next.second)) {
        ++burst;
    }
    CHECK(burst == 10);
}
