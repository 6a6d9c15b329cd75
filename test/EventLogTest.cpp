#include "celeryline/settings/EventLog.h"

#include <catch2/catch.hpp>

using namespace celeryline;

// Guards against a log that takes the processor from the work it describes.
TEST_CASE("Lines beyond the budget are dropped and counted", "[events]")
{
    EventBudget budget(10, 3);
    int written = 0;
    for (int i = 0; i < 20; ++i)
        written += budget.take({ 1000 }) ? 1 : 0;
    REQUIRE(written == 3);
    REQUIRE(budget.takeDropped() == 17);
    REQUIRE(budget.takeDropped() == 0);
    REQUIRE(budget.take({ 1100 }));
    REQUIRE_FALSE(budget.take({ 1100 }));
}

// Guards against a line that a reader of JSON can't take, after a name with quotes in it.
TEST_CASE("An event with any text in it can be written", "[events]")
{
    REQUIRE_NOTHROW(
        Event("test").with("name", "a \"quoted\"\nname").with("count", 3).with("isOn", true).write());
}
