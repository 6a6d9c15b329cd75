#include "celeryline/customers/ApiKeyIndex.h"

#include <catch2/catch.hpp>

#include <string>

using namespace celeryline;

namespace {

const std::vector<CustomerSettings>& customers()
{
    static const std::vector<CustomerSettings> customers { { "a", { "key-a1", "key-a2" }, 1, 0, {} },
        { "b", { "key-b" }, 1, 0, {} }, { "none", {}, 1, 0, {} } };
    return customers;
}

} // namespace

// Guards against a key that is accepted for another customer, and against one that almost matches.
TEST_CASE("A customer is found by each of its keys and by nothing else", "[customers]")
{
    const ApiKeyIndex index(customers());
    REQUIRE(index.size() == 3);
    REQUIRE(*index.find("key-a1") == "a");
    REQUIRE(*index.find("key-a2") == "a");
    REQUIRE(*index.find("key-b") == "b");
    for (const auto* unknown : { "", "key-a", "key-a11", "Key-a1", " key-a1", "key-a1 ", "a", "none" })
        REQUIRE(index.find(unknown) == nullptr);
    REQUIRE(index.find(std::string("key-a1\0", 7)) == nullptr);
    REQUIRE(index.find(digestOfKey("key-a1")) == nullptr);
}

// Guards against an empty index, as before the first configuration, that accepts something.
TEST_CASE("An index without customers finds nobody", "[customers]")
{
    const ApiKeyIndex index;
    REQUIRE(index.find("") == nullptr);
    REQUIRE(index.find("key-a1") == nullptr);
}

// Guards against a digest that isn't SHA-256: the value is the one of FIPS 180-2 for "abc".
TEST_CASE("Keys are compared by their SHA-256 digests", "[customers]")
{
    const std::string expected("\xba\x78\x16\xbf\x8f\x01\xcf\xea\x41\x41\x40\xde\x5d\xae\x22\x23\xb0\x03\x61"
                               "\xa3\x96\x17\x7a\x9c\xb4\x10\xff\x61\xf2\x00\x15\xad",
        32);
    REQUIRE(digestOfKey("abc") == expected);
}
