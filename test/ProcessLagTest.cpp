#include "celeryline/control/ProcessLag.h"

#include <catch2/catch.hpp>

using namespace celeryline;

// Guards against a leader that goes on accepting jobs while what it receives waits for half a second: its
// timers were on time, so it didn't count as overloaded (issue 37).
TEST_CASE("A leader whose voters' replies are late is overloaded", "[control]")
{
    ProcessLag lag({ { 400 }, { 225 } });
    lag.record({ 5 }, { 40 }, { 1000 });
    REQUIRE_FALSE(lag.isOverloaded({ 1000 }));
    REQUIRE(lag.recent({ 1000 }) == Millis { 40 });
    lag.record({ 5 }, { 225 }, { 1025 });
    REQUIRE(lag.isOverloaded({ 1025 }));
    REQUIRE(lag.recent({ 1025 }) == Millis { 225 });
    REQUIRE_FALSE(lag.isOverloaded({ 2600 }));
}

// Guards against a process that isn't the leader, or waits for nothing, and takes requests although it lags.
TEST_CASE("A process whose timers are late is overloaded", "[control]")
{
    ProcessLag lag({ { 400 }, { 225 } });
    lag.record({ 400 }, {}, { 1000 });
    REQUIRE(lag.isOverloaded({ 1000 }));
}
