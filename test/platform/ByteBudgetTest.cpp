#include "platform/ByteBudget.h"

#include <catch2/catch.hpp>

#include <list>
#include <random>

using namespace celeryline::platform;

namespace {

constexpr std::size_t small = ByteBudget::maxSmallRequest;

} // namespace

// Guards against callers whose bodies leave no memory for operators, runners and readiness checks.
TEST_CASE("Callers can't use the part of a budget that is reserved for control traffic", "[platform][limits]")
{
    ByteBudget budget(100 * small, 20 * small);
    ByteBudget::Reservation callers(budget, ByteUse::Callers);
    CHECK_FALSE(callers.grow(81 * small));
    std::list<ByteBudget::Reservation> requests;
    while (requests.emplace_back(budget, ByteUse::Callers).grow(small)) { }
    CHECK(budget.used() == 80 * small);
    ByteBudget::Reservation control(budget, ByteUse::Control);
    CHECK(control.grow(15 * small)); // A large one, too.
    CHECK_FALSE(control.grow(1));
    ByteBudget::Reservation heartbeat(budget, ByteUse::Control);
    CHECK(heartbeat.grow(small));
    CHECK(budget.used() == 96 * small);
}

// Guards against large bodies that wait for their end while no ordinary request finds room.
TEST_CASE("Large bodies leave a quarter of a budget to small requests", "[platform][limits]")
{
    ByteBudget budget(100 * small, 20 * small);
    ByteBudget::Reservation large(budget, ByteUse::Callers);
    CHECK_FALSE(large.grow(61 * small));
    REQUIRE(large.grow(60 * small));
    CHECK_FALSE(large.grow(1));
    ByteBudget::Reservation ordinary(budget, ByteUse::Callers);
    CHECK(ordinary.grow(small));
    CHECK_FALSE(ordinary.grow(1)); // It isn't small any more.
    CHECK(ordinary.size() == small);
}

// Guards against a sum that wraps around and against bytes that are never returned.
TEST_CASE("A budget never exceeds its limit and returns to zero", "[platform][limits][random]")
{
    constexpr int steps = 20000;
    constexpr std::size_t total = 50 * small;
    std::mt19937_64 random(20261207);
    ByteBudget budget(total, 5 * small);
    ByteBudget::Reservation huge(budget, ByteUse::Control);
    CHECK_FALSE(huge.grow(static_cast<std::size_t>(-1)));
    {
        std::list<ByteBudget::Reservation> held;
        for (int i = 0; i < steps; ++i) {
            if (held.empty() || random() % 3 == 0)
                held.emplace_back(budget, random() % 2 == 0 ? ByteUse::Callers : ByteUse::Control);
            auto chosen = std::next(held.begin(), static_cast<std::ptrdiff_t>(random() % held.size()));
            if (random() % 2 == 0) {
                chosen->grow(random() % (3 * small));
            } else {
                held.erase(chosen);
            }
            std::size_t sum = 0;
            for (const auto& each : held)
                sum += each.size();
            REQUIRE(budget.used() == sum);
            REQUIRE(sum <= total);
            REQUIRE(budget.peak() >= sum);
        }
    }
    CHECK(budget.used() == 0);
    budget.resetPeak();
    CHECK(budget.peak() == 0);
}
