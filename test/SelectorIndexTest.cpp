#include "../bench/SelectorIndex.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace celeryline;

TEST_CASE("The index finds what a linear scan finds, after any changes", "[selector]")
{
    auto genDigit = rc::gen::inRange(0, 4);
    CHECK(rc::check([&] {
        SelectorIndex index;
        std::map<std::uint32_t, LabelSet> objects;
        for (const auto& id : *rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0u, 20u))) {
            LabelSet labels;
            for (const auto* name : { "a", "b", "c" }) {
                auto digit = *genDigit;
                if (digit > 0) {
                    labels[name] = std::to_string(digit);
                }
            }
            objects[id] = labels;
            index.set(id, labels);
        }
        for (const auto* text :
            { "a=1", "a in (1,2),b!=3", "a,!c", "!a", "a notin (1),b", "zz=1", "zz", "c,b,a=3", "" }) {
            auto selector = parseSelector(text);
            std::vector<std::uint32_t> expected;
            for (const auto& [id, labels] : objects) {
                if (!labels.empty() && matches(selector, labels)) {
                    expected.push_back(id);
                }
            }
            RC_ASSERT(index.matching(selector) == expected);
        }
    }));
}
