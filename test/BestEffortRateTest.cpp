#include "celeryline/jobs/BestEffortRate.h"

#include <catch2/catch.hpp>

using namespace celeryline;

// Guards against best-effort tasks that keep a latency-sensitive task above its limit.
TEST_CASE("Best-effort tasks stop at once when a serving task is over its limit", "[pace]")
{
    REQUIRE(nextBestEffortRate(100, { true, 1.2 }) == 0);
    REQUIRE(nextBestEffortRate(100, { true, 0.9 }) == 50);
}

// Guards against oscillation: a fast increase would bring the interference back at once.
TEST_CASE("Best-effort tasks speed up slowly", "[pace]")
{
    std::int64_t rate = 0;
    int reports = 0;
    while (rate < 100 && reports < 100) {
        rate = nextBestEffortRate(rate, { true, 0.3 });
        ++reports;
    }
    REQUIRE(reports == 20);
    REQUIRE(nextBestEffortRate(40, { true, 0.8 }) == 40);
}

// Guards against best-effort tasks that stay throttled without a latency-sensitive task to protect.
TEST_CASE("Without serving tasks there is no limit", "[pace]") { REQUIRE(nextBestEffortRate(10, {}) == 100); }
