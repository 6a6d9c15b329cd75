#include "celeryline/settings/EventLog.h"

#include <catch2/catch.hpp>

using namespace celeryline;

// Guards against logging that uses an excessive share of the CPU time.
TEST_CASE("Lines beyond the rate limit are dropped and counted", "[events]")
{
    EventRateLimiter rateLimiter(10, 3);
    int written = 0;
    for (int i = 0; i < 20; ++i)
        written += rateLimiter.tryAcquire({ 1000 }) ? 1 : 0;
    REQUIRE(written == 3);
    REQUIRE(rateLimiter.takeDroppedCount() == 17);
    REQUIRE(rateLimiter.takeDroppedCount() == 0);
    REQUIRE(rateLimiter.tryAcquire({ 1100 }));
    REQUIRE_FALSE(rateLimiter.tryAcquire({ 1100 }));
}

// Guards against invalid JSON when a value contains quotes or line breaks.
TEST_CASE("An event with special characters in a value can be written", "[events]")
{
    REQUIRE_NOTHROW(
        Event("test").with("name", "a \"quoted\"\nname").with("count", 3).with("isOn", true).write());
}
