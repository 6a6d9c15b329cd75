#include "celeryline/labels/Selector.h"

#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace celeryline;
using Catch::Matchers::Contains;

namespace {

std::string errorOf(const std::string& text)
{
    try {
        parseSelector(text);
    } catch (const Error& e) {
        CHECK(e.kind() == ErrorKind::InvalidInput);
        return e.what();
    }
    return "";
}

rc::Gen<std::string> genWord()
{
    return rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::elementOf(std::string("abzAZ09._-/:in"))));
}

rc::Gen<SelectorRequirement> genRequirement()
{
    return rc::gen::exec([] {
        SelectorRequirement requirement;
        requirement.label = *genWord();
        requirement.op = static_cast<SelectorOperator>(*rc::gen::inRange(0, 4));
        if (requirement.op == SelectorOperator::In || requirement.op == SelectorOperator::NotIn) {
            auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(genWord()));
            std::sort(values.begin(), values.end());
            values.erase(std::unique(values.begin(), values.end()), values.end());
            requirement.values = values;
        }
        return requirement;
    });
}

} // namespace

TEST_CASE("The text form of any selector parses back to it", "[selector]")
{
    CHECK(rc::check([] {
        Selector selector { *rc::gen::container<std::vector<SelectorRequirement>>(genRequirement()) };
        RC_ASSERT(parseSelector(toText(selector)) == selector);
    }));
}

TEST_CASE("Each operator matches as documented", "[selector]")
{
    LabelSet labels { { "service", "intake" }, { "rack", "r1" } };
    CHECK(matches(parseSelector("service=intake, rack in (r2 , r1),!quarantined"), labels));
    CHECK(matches(parseSelector("tier!=test,tier notin (a,b),rack"), labels));
    CHECK_FALSE(matches(parseSelector("service=ripening"), labels));
    CHECK_FALSE(matches(parseSelector("rack notin (r1,r2)"), labels));
    CHECK_FALSE(matches(parseSelector("!rack"), labels));
    CHECK_FALSE(matches(parseSelector("tier"), labels));
}

TEST_CASE("A selector without conditions never selects the whole fleet", "[selector]")
{
    CHECK(parseSelector("  ") == Selector {});
    CHECK_FALSE(matches(Selector {}, { { "a", "b" } }));
}

TEST_CASE("A malformed selector is refused with the position of the fault", "[selector]")
{
    CHECK_THAT(
        errorOf("service="), Contains("position 9") && Contains("a value") && Contains("!quarantined"));
    CHECK_THAT(errorOf("a=b c=d"), Contains("position 5"));
    CHECK_THAT(errorOf("a=b,"), Contains("position 5") && Contains("a label name"));
    CHECK_THAT(errorOf("rack within (a)"), Contains("position 6") && Contains("notin"));
    CHECK_THAT(errorOf("rack in (a"), Contains("position 11"));
    CHECK_THAT(errorOf("rack in ()"), Contains("position 10"));
    CHECK_THAT(errorOf("rack in a"), Contains("position 9"));
    CHECK_THAT(errorOf("a!b"), Contains("position 3"));
    CHECK_THAT(errorOf("a=\xc3\xa9"), Contains("position 3"));
    CHECK_THAT(errorOf("=b"), Contains("position 1"));
    CHECK_THAT(errorOf(std::string(129, 'x')), Contains("position 1") && Contains("128"));
}

TEST_CASE("Arbitrary text is parsed or refused, never a crash", "[selector]")
{
    CHECK(rc::check([](const std::string& text) {
        try {
            parseSelector(text);
        } catch (const Error& e) {
            RC_ASSERT(e.kind() == ErrorKind::InvalidInput);
        }
    }));
}
