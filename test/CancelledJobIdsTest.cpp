#include "celeryline/jobs/CancelledJobIds.h"

#include <catch2/catch.hpp>

#include <string>

using namespace celeryline;

// Guards against a record that grows by repeated cancellations, or forgets the wrong one.
TEST_CASE("Cancelled ids are recorded once and forgotten in their order", "[cancellations]")
{
    CancelledJobIds ids;
    for (const auto* id : { "a", "b", "a", "c" })
        ids.add(id);
    REQUIRE(ids.size() == 3);
    REQUIRE(ids.newest() == 3);
    ids.forget(2);
    REQUIRE_FALSE(ids.contains("a"));
    REQUIRE_FALSE(ids.contains("b"));
    REQUIRE(ids.contains("c"));
    ids.forget(1); // Arrives too late.
    ids.forget(1000);
    REQUIRE(ids.size() == 0);
    REQUIRE(ids.forgotten() == 3);
    ids.add("d");
    REQUIRE(ids.newest() == 4);
}

// Guards against a record beyond its limit, and against one that stays full.
TEST_CASE("A full record of cancelled ids takes no more until some are forgotten", "[cancellations]")
{
    CancelledJobIds ids;
    for (std::size_t i = 0; i < CancelledJobIds::maxSize; ++i)
        ids.add(std::to_string(i));
    REQUIRE(ids.isFull());
    ids.add("one more");
    REQUIRE_FALSE(ids.contains("one more"));
    ids.forget(1);
    ids.add("one more");
    REQUIRE(ids.contains("one more"));
    REQUIRE(ids.isFull());
}

// Guards against a replica that numbers the ids differently after a restart.
TEST_CASE("Restored cancelled ids keep their order and numbers", "[cancellations]")
{
    CancelledJobIds ids;
    for (const auto* id : { "a", "b", "c" })
        ids.add(id);
    ids.forget(1);
    auto restored = CancelledJobIds::restore(ids.ids(), ids.forgotten());
    REQUIRE(restored.ids() == ids.ids());
    REQUIRE(restored.newest() == 3);
    restored.forget(2);
    REQUIRE(restored.ids() == std::vector<JobId> { "c" });
}
