#include "celeryline/calls/FairQueue.h"
#include "celeryline/calls/RetryBudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace celeryline;

TEST_CASE("Organisations are served in round-robin order, and so are the callers within them", "[queue]")
{
    FairQueue<std::string> queue;
    for (int i = 0; i < 4; ++i) {
        queue.push("big", "b1", "b1." + std::to_string(i));
    }
    queue.push("big", "b2", "b2.0");
    queue.push("small", "s", "s.0");
    std::vector<std::string> order;
    while (auto item = queue.pop()) {
        order.push_back(*item);
    }
    CHECK(order == std::vector<std::string> { "b1.0", "s.0", "b2.0", "b1.1", "b1.2", "b1.3" });
}

TEST_CASE("A full queue makes room for an organisation with few requests", "[queue]")
{
    FairQueue<int> queue;
    for (int i = 0; i < 5; ++i) {
        queue.push("big", "b", i);
    }
    CHECK_FALSE(queue.evictFor("big"));
    CHECK(queue.itemsAhead("small") == 1);
    CHECK(queue.evictFor("small") == 4);
    CHECK(queue.size() == 4);
}

TEST_CASE("The queue neither loses nor duplicates items", "[queue]")
{
    rc::check([] {
        FairQueue<int> queue;
        std::map<int, std::pair<std::string, std::string>> held;
        const auto steps = *rc::gen::inRange(0, 80);
        for (int i = 0; i < steps; ++i) {
            const auto organisation = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
            const auto caller = std::string(1, static_cast<char>('x' + *rc::gen::inRange(0, 3)));
            const auto action = *rc::gen::inRange(0, 5);
            if (action <= 2) {
                queue.push(organisation, caller, i);
                held[i] = { organisation, caller };
            } else if (action == 3) {
                const auto item = queue.pop();
                RC_ASSERT(item.has_value() == !held.empty());
                RC_ASSERT(!item || held.erase(*item) == 1u);
            } else if (!held.empty()) {
                const auto victim = *held.begin();
                RC_ASSERT(queue.remove(victim.second.first, victim.second.second, victim.first));
                RC_ASSERT(!queue.remove(victim.second.first, victim.second.second, victim.first));
                held.erase(victim.first);
            }
            RC_ASSERT(queue.size() == held.size());
        }
        while (auto item = queue.pop()) {
            RC_ASSERT(held.erase(*item) == 1u);
        }
        RC_ASSERT(held.empty());
    });
}

TEST_CASE("Retries are limited to a percentage of first attempts", "[queue]")
{
    RetryBudget budget(10);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.onFirstAttempt();
        retries += budget.tryConsume();
    }
    CHECK(retries >= 100);
    CHECK(retries <= 110);
    RetryBudget none(0);
    none.onFirstAttempt();
    CHECK_FALSE(none.tryConsume());
}
