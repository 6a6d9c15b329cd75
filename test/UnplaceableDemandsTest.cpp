#include "celeryline/jobs/UnplaceableDemands.h"

#include <catch2/catch.hpp>

using namespace celeryline;

// Guards against a small job that is skipped because a larger one didn't fit, and against a repeated search
// for jobs with the same demand as one that didn't fit.
TEST_CASE("Only what needs as much in all resources is excluded", "[placement]")
{
    UnplaceableDemands unplaceable;
    REQUIRE_FALSE(unplaceable.excludes({ 64000, 64000, 8 }));
    unplaceable.add({ 2000, 8000, 0 });
    REQUIRE(unplaceable.excludes({ 2000, 8000, 0 }));
    REQUIRE(unplaceable.excludes({ 3000, 8000, 1 }));
    REQUIRE_FALSE(unplaceable.excludes({ 3000, 7999, 0 }));
    REQUIRE_FALSE(unplaceable.excludes({ 1999, 9000, 0 }));
    unplaceable.add({ 1000, 9000, 0 });
    unplaceable.add({ 500, 500, 0 }); // Dominates the other entries.
    REQUIRE(unplaceable.excludes({ 500, 600, 0 }));
    REQUIRE_FALSE(unplaceable.excludes({ 499, 9000, 0 }));
}
