#include "celeryline/jobs/CounterHistory.h"

#include <catch2/catch.hpp>

using namespace celeryline;

// Guards against things that count as old before they are.
TEST_CASE("A value is old when its age has passed since it was recorded", "[cancellations]")
{
    CounterHistory history({ 100 });
    history.sample(3, { 1000 });
    history.sample(3, { 1050 });
    history.sample(8, { 1060 });
    REQUIRE(history.oldValue() == 0);
    history.sample(9, { 1099 });
    REQUIRE(history.oldValue() == 0);
    history.sample(9, { 1100 });
    REQUIRE(history.oldValue() == 3);
    history.sample(9, { 1160 });
    REQUIRE(history.oldValue() == 8);
    history.sample(9, { 5000 });
    REQUIRE(history.oldValue() == 9);
}

// Guards against ages that are counted from before the state was replaced.
TEST_CASE("A cleared history counts ages anew", "[cancellations]")
{
    CounterHistory history({ 100 });
    history.sample(3, { 1000 });
    history.sample(3, { 2000 });
    history.clear();
    history.sample(3, { 2010 });
    REQUIRE(history.oldValue() == 0);
    history.sample(3, { 2110 });
    REQUIRE(history.oldValue() == 3);
}
