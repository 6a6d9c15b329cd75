#include "celeryline/base/NamedMap.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace celeryline;

// Guards against lost or misplaced objects when chunks are split, become empty or are shared.
TEST_CASE("A NamedMap behaves like std::map, and its copies are independent", "[fleet]")
{
    std::mt19937 random(7);
    std::map<std::string, int> expected;
    std::map<std::string, int> expectedCopy;
    NamedMap<int> map;
    NamedMap<int> copy;
    for (int step = 0; step < 20000; ++step) {
        auto name = "n" + std::to_string(random() % 700);
        if (random() % 3 == 0) {
            map.erase(name);
            expected.erase(name);
        } else {
            map.set(name, step);
            expected[name] = step;
        }
        if (step % 500 == 0) {
            REQUIRE(copy == NamedMap<int>(expectedCopy));
            std::map<std::string, int> changed;
            map.forEachDifference(copy, [&](const std::string& key, const int* before, const int* after) {
                CHECK((before ? *before : -1) == (expectedCopy.count(key) != 0 ? expectedCopy[key] : -1));
                CHECK((after ? *after : -1) == (expected.count(key) != 0 ? expected[key] : -1));
                changed[key] = 1;
            });
            for (const auto& [key, value] : expected) {
                REQUIRE((changed.count(key) != 0)
                    == (expectedCopy.count(key) == 0 || expectedCopy[key] != value));
            }
            copy = map;
            expectedCopy = expected;
        }
        REQUIRE(map.count(name) == expected.count(name));
    }
    CHECK(map.size() == expected.size());
    CHECK(std::equal(map.begin(), map.end(), expected.begin(), expected.end()));
    CHECK(map.find("x") == map.end());
    CHECK_THROWS_AS(map.at("x"), std::out_of_range);
}
