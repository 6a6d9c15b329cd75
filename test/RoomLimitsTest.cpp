#include "celeryline/jobs/RoomLimits.h"

#include <catch2/catch.hpp>

using namespace celeryline;

// Guards against a small job that is passed over because a larger one found no room, and against a search for
// each job of a backlog that needs as much as one that found none.
TEST_CASE("Only what needs as much in all resources is excluded", "[placement]")
{
    RoomLimits limits;
    REQUIRE_FALSE(limits.excludes({ 64000, 64000, 8 }));
    limits.add({ 2000, 8000, 0 });
    REQUIRE(limits.excludes({ 2000, 8000, 0 }));
    REQUIRE(limits.excludes({ 3000, 8000, 1 }));
    REQUIRE_FALSE(limits.excludes({ 3000, 7999, 0 }));
    REQUIRE_FALSE(limits.excludes({ 1999, 9000, 0 }));
    limits.add({ 1000, 9000, 0 });
    limits.add({ 500, 500, 0 }); // It covers the others.
    REQUIRE(limits.excludes({ 500, 600, 0 }));
    REQUIRE_FALSE(limits.excludes({ 499, 9000, 0 }));
}
