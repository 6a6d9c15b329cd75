#include "celeryline/membership/Formation.h"

#include "celeryline/consensus/VoterConfiguration.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

const std::vector<std::string> seeds { "a", "b", "c" };

Introduction empty(const std::string& address)
{
    Introduction introduction;
    introduction.address = address;
    introduction.storageId = "id-" + address;
    return introduction;
}

} // namespace

// Guards against the formation of two logs: only the first seed may form the log, and only once.
TEST_CASE("The first seed forms the log when all founders have answered", "[membership]")
{
    Formation first("a", seeds, true, 3);
    REQUIRE_FALSE(first.formIfReady(empty("a")));
    first.recordPeer(empty("b"));
    REQUIRE_FALSE(first.formIfReady(empty("a")));
    first.recordPeer(empty("c"));
    auto entry = first.formIfReady(empty("a"));
    REQUIRE(entry);
    REQUIRE(decodeConfiguration(entry->payload).voters.size() == 3);
    REQUIRE_FALSE(first.formIfReady(empty("a")));
    Formation second("b", seeds, true, 3);
    second.recordPeer(empty("a"));
    second.recordPeer(empty("c"));
    REQUIRE_FALSE(second.formIfReady(empty("b")));
}

// Guards against a second log that is formed by a machine that lost its disk while the log exists.
TEST_CASE("Nothing is formed after the first start, or where a log exists", "[membership]")
{
    Formation later("a", seeds, false, 3);
    later.recordPeer(empty("b"));
    later.recordPeer(empty("c"));
    REQUIRE_FALSE(later.formIfReady(empty("a")));
    Formation late("a", seeds, true, 3);
    late.recordPeer(empty("b"));
    auto holder = empty("c");
    holder.hasLog = true;
    late.recordPeer(holder);
    late.recordPeer(empty("c"));
    REQUIRE_FALSE(late.formIfReady(empty("a")));
}

// Guards against more initial voters than the configured fault tolerance requires.
TEST_CASE("Only as many seeds as there are to be voters found the log", "[membership]")
{
    Formation formation("a", { "a", "b", "c" }, true, 1);
    REQUIRE(formation.formIfReady(empty("a")));
}
