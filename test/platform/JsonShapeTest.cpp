#include "platform/JsonShape.h"

#include <catch2/catch.hpp>
#include <rapidjson/document.h>

#include <algorithm>
#include <random>
#include <string>

using namespace celeryline::platform;

namespace {

JsonShape shapeOf(const rapidjson::Value& value)
{
    JsonShape shape { 1, 0 };
    auto add = [&shape](const rapidjson::Value& member) {
        auto inner = shapeOf(member);
        shape.values += inner.values;
        shape.depth = std::max(shape.depth, inner.depth);
    };
    if (value.IsObject()) {
        for (const auto& member : value.GetObject())
            add(member.value);
    } else if (value.IsArray()) {
        for (const auto& element : value.GetArray())
            add(element);
    } else {
        return shape;
    }
    ++shape.depth;
    return shape;
}

std::string randomJson(std::mt19937_64& random, int depth)
{
    static const std::string scalars[]
        = { "1", "-2.5e3", "true", "null", R"("")", R"("a,[{\"\\")", R"("\\\\")" };
    auto kind = depth == 0 ? 0 : random() % 3;
    if (kind == 0)
        return scalars[random() % std::size(scalars)];
    std::string text = kind == 1 ? "[" : "{";
    auto size = random() % 4;
    for (std::size_t i = 0; i < size; ++i) {
        text += i == 0 ? "" : " , ";
        text += kind == 2 ? R"("k\"],:" : )" : "";
        text += randomJson(random, depth - 1);
    }
    return text + (kind == 1 ? "]" : "}");
}

} // namespace

TEST_CASE("The shape of a JSON text is measured", "[platform][limits]")
{
    CHECK(measureJson("").depth == 0);
    CHECK(measureJson("7").values == 1);
    CHECK(measureJson(R"({"a":[1,2,{"b":"x,y[[["}],"c":null})").depth == 3);
    CHECK(measureJson(std::string(100000, '[')).depth == 100000);
    CHECK(measureJson(R"("\)").depth == 0); // Ends within an escape sequence.
    CHECK(measureJson("]]]}[").depth == 1);
}

// Guards against a text that is parsed into more values, or deeper, than was measured, for example by means
// of quotes and escapes.
TEST_CASE("No parsed text has more values or is deeper than measured", "[platform][limits][random]")
{
    constexpr int texts = 20000;
    constexpr int maxDepth = 5;
    std::mt19937_64 random(20261207);
    int parsed = 0;
    for (int i = 0; i < texts; ++i) {
        auto text = randomJson(random, maxDepth);
        if (i % 2 == 1)
            text[random() % text.size()] = "\"\\[]{},:1"[random() % 9];
        rapidjson::Document document;
        document.Parse(text.data(), text.size());
        if (document.HasParseError())
            continue;
        ++parsed;
        INFO(text);
        auto actual = shapeOf(document);
        auto measured = measureJson(text);
        REQUIRE(measured.values >= actual.values);
        REQUIRE(measured.depth >= actual.depth);
    }
    CHECK(parsed > texts / 2);
}
