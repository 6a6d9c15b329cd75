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

// Guards against one customer, or the callers without one, that keep all others from cancelling.
TEST_CASE("A customer fills only its part of the record", "[cancellations][customers]")
{
    constexpr std::size_t customers = 20;
    const auto part = CancelledJobIds::partSize(customers);
    REQUIRE(CancelledJobIds::partSize(0) == CancelledJobIds::maxSize);
    REQUIRE(CancelledJobIds::partSize(1000000) == 1);
    REQUIRE(part * (customers + 1) <= CancelledJobIds::maxSize);
    CancelledJobIds ids;
    std::vector<std::string> names { "" };
    for (std::size_t i = 0; i < customers; ++i)
        names.push_back("c" + std::to_string(i));
    for (const auto& name : names) {
        REQUIRE_FALSE(ids.isFull(name, part));
        for (std::size_t i = 0; i < 2 * part; ++i)
            ids.add(name + "-" + std::to_string(i), name, part);
        REQUIRE(ids.isFull(name, part));
        REQUIRE(ids.sizeOf(name) == part);
    }
    REQUIRE(ids.size() == part * names.size());
    ids.forget(1); // The first one without a customer.
    REQUIRE_FALSE(ids.isFull("", part));
    REQUIRE(ids.isFull("c0", part));
    ids.forget(ids.newest());
    for (const auto& name : names)
        REQUIRE(ids.sizeOf(name) == 0);
}

// Guards against ids that are lost, or a customer without room, when the number of customers changes.
TEST_CASE("The parts of the record follow the number of customers", "[cancellations][customers]")
{
    CancelledJobIds ids;
    for (int i = 0; i < 1000; ++i)
        ids.add(std::to_string(i), "a", CancelledJobIds::partSize(1));
    const auto smaller = CancelledJobIds::partSize(99);
    REQUIRE(smaller < 1000);
    REQUIRE(ids.isFull("a", smaller));
    REQUIRE_FALSE(ids.isFull("b", smaller));
    ids.add("one more", "a", smaller);
    REQUIRE_FALSE(ids.contains("one more"));
    REQUIRE(ids.contains("999"));
    ids.forget(1000 - smaller + 1);
    ids.add("one more", "a", smaller);
    REQUIRE(ids.contains("one more"));
}

// Guards against a replica that counts a customer's ids differently after a restart.
TEST_CASE("Restored cancelled ids keep their customers", "[cancellations][customers]")
{
    CancelledJobIds ids;
    ids.add("1", "a", 10);
    ids.add("2", "", 10);
    ids.add("3", "b", 10);
    ids.add("4", "a", 10);
    ids.forget(1);
    auto restored = CancelledJobIds::restore(ids.ids(), ids.forgotten(), ids.customers());
    REQUIRE(restored.customers() == ids.customers());
    REQUIRE(restored.sizeOf("a") == 1);
    REQUIRE(restored.sizeOf("") == 1);
    restored.forget(4);
    REQUIRE(restored.size() == 0);
    REQUIRE(restored.sizeOf("b") == 0);
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
