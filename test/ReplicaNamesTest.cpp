#include "celeryline/control/ReplicaNames.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

const ReplicaId a { "a", "11112222333344445555" };
const ReplicaId b { "b", "2" };
const ReplicaId newB { "b", "3" };

} // namespace

// Guards against log lines whose length grows with the number of replicas.
TEST_CASE("A list in a log line is bounded", "[control]")
{
    REQUIRE(joinBounded({}).empty());
    REQUIRE(joinBounded({ "a", "b" }) == "a,b");
    REQUIRE(joinBounded(std::vector<std::string>(15, "x")) == "x,x,x,x,x,x,x,x,x,x,x,x,+3");
}

// Guards against a replaced disk that can't be seen in the log, since the instance keeps its name.
TEST_CASE("A voter with a new storage id differs from the one before", "[control]")
{
    REQUIRE(describe(a) == "a/11112222");
    REQUIRE(describe({ "a", "" }) == "a");
    REQUIRE(voterNames({ { a, b } }) == "a,b");
    REQUIRE(votersMissingIn({ { a, b } }, { { a, newB } }) == "b/3");
    REQUIRE(votersMissingIn({ { a, newB } }, { { a, b } }) == "b/2");
    REQUIRE(votersMissingIn({ { a, b } }, { { b } }).empty());
}
