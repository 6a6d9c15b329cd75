#include "celeryline/jobs/AdvicePlan.h"

#include "AdviceSimulation.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

// Guards against calls that last longer than the tickets that they return are valid.
TEST_CASE("A call names only runners for which half of the tickets' validity remains", "[advice]")
{
    REQUIRE(maxAdvisedRunners({ { 400 }, { 50 }, { 3000 } }) == 26);
    REQUIRE(adviceDuration({ { 400 }, { 50 }, { 3000 } }, 26) == Millis { 1700 });
    REQUIRE(maxAdvisedRunners({ { 400 }, { 1 }, { 3000 } }) == PlacementAdvisor::maxRunners);
    REQUIRE(maxAdvisedRunners({ { 400 }, { 5000 }, { 3000 } }) == 1);
    REQUIRE(maxAdvisedRunners({ { 4000 }, { 50 }, { 3000 } }) == 1);
    REQUIRE(maxAdvisedRunners({}) == PlacementAdvisor::maxRunners);
}
