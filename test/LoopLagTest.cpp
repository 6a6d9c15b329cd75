#include "celeryline/control/LoopLag.h"

#include <catch2/catch.hpp>

using namespace celeryline;

// Guards against a process that accepts work although its pending work already waits for too long.
TEST_CASE("The delay of a timer counts for about a second", "[control]")
{
    LoopLag lag;
    lag.record({ 10000 }, { 10000 });
    REQUIRE(lag.recent({ 10000 }) == Millis {});
    lag.record({ 10025 }, { 10425 });
    REQUIRE(lag.recent({ 10425 }) == Millis { 400 });
    lag.record({ 10900 }, { 10900 });
    REQUIRE(lag.recent({ 10900 }) == Millis { 400 });
    lag.record({ 11500 }, { 11500 });
    REQUIRE(lag.recent({ 11500 }) == Millis {});
}
