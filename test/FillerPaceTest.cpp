#include "celeryline/jobs/FillerPace.h"

#include <catch2/catch.hpp>

using namespace celeryline;

// Load: a filling task that disturbs a serving one beyond its limit.
TEST_CASE("Filling tasks stop at once when a serving task is over its limit", "[pace]")
{
    REQUIRE(nextFillerPace(100, { true, 1.2 }) == 0);
    REQUIRE(nextFillerPace(100, { true, 0.9 }) == 50);
}

// Load: the disturbance ends; a fast rise would bring it back at once.
TEST_CASE("Filling tasks speed up slowly", "[pace]")
{
    std::int64_t pace = 0;
    int reports = 0;
    while (pace < 100 && reports < 100) {
        pace = nextFillerPace(pace, { true, 0.3 });
        ++reports;
    }
    REQUIRE(reports == 20);
    REQUIRE(nextFillerPace(40, { true, 0.8 }) == 40);
}

// Guards against filling tasks that stay slow with nobody to protect.
TEST_CASE("Without serving tasks there is no limit", "[pace]") { REQUIRE(nextFillerPace(10, {}) == 100); }
