// Tests of customers in the operators' configuration.
#include "platform/WireCodec.h"

#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace celeryline;
using namespace celeryline::platform;

namespace {

/// @param customers the value of the list of customers; empty to leave out the field.
std::string document(const std::string& customers, const std::string& routeField = "")
{
    auto field = customers.empty() ? "" : ",\"tenants\":" + customers;
    return R"({"version":7,"routes":[{"name":"q","host":"a.example","path_prefix":"/x/","timeout_ms":3000,)"
        + routeField + R"("service":"s"}],"services":[{"name":"s"}])" + field + "}";
}

std::string refusal(const std::string& text)
{
    try {
        decodeConfiguration(text);
    } catch (const Error& e) {
        REQUIRE(e.kind() == ErrorKind::InvalidInput);
        return e.what();
    }
    return "";
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a field of a customer that is ignored or taken for another.
TEST_CASE("Customers are decoded", "[platform][customers]")
{
    auto decoded = decodeConfiguration(document(R"([{"name":"full","api_keys":["k1","k2"],"weight":2.5,
        "priority":3,"max_count":{"cpu":16000,"mem_mb":4096,"gpu":2}},{"name":"plain","api_keys":["k3"]}])"));
    REQUIRE(decoded.customers.size() == 2);
    REQUIRE(decoded.customers[0] == CustomerSettings { "full", { "k1", "k2" }, 2.5, 3, { 16000, 4096, 2 } });
    REQUIRE(decoded.customers[1] == CustomerSettings { "plain", { "k3" }, 1, 0, {} });
}

// Guards against limits, weights and priorities that are missing in part.
TEST_CASE("Missing and null fields of a customer have their defaults", "[platform][customers]")
{
    auto decoded = decodeConfiguration(document(R"([{"name":"a","api_keys":null,"weight":null,"priority":null,
        "max_count":{"cpu":1000,"mem_mb":null}},{"name":"b","max_count":null}])"));
    REQUIRE(decoded.customers[0] == CustomerSettings { "a", {}, 1, 0, { 1000, 0, 0 } });
    REQUIRE(decoded.customers[1] == CustomerSettings { "b", {}, 1, 0, {} });
}

// Guards against a queue that needs a key nobody can have, and against one that can be used without.
TEST_CASE("A queue requires a key if the configuration lists customers and the queue isn't public",
    "[platform][customers]")
{
    const std::string customers = R"([{"name":"a","api_keys":["k"]}])";
    auto requiresKey
        = [](const std::string& text) { return decodeConfiguration(text).queues[0].requiresKey; };
    REQUIRE(requiresKey(document(customers)));
    REQUIRE(requiresKey(document(customers, "\"public\":false,")));
    REQUIRE(requiresKey(document(customers, "\"public\":null,")));
    REQUIRE_FALSE(requiresKey(document(customers, "\"public\":true,")));
    REQUIRE_FALSE(requiresKey(document("")));
    REQUIRE_FALSE(requiresKey(document("", "\"public\":false,")));
    REQUIRE_FALSE(requiresKey(document("null")));
    // An empty list removes all keys: it must not open the queues to everybody.
    REQUIRE(requiresKey(document("[]")));
    REQUIRE(contains(refusal(document(customers, "\"public\":\"yes\",")), "public"));
}

// Guards against a configuration in force whose customers are ambiguous, and against reasons that reveal
// keys.
TEST_CASE(
    "Invalid customers are refused with a reason that names the customer and no key", "[platform][customers]")
{
    const std::string valid = R"({"name":"fine","api_keys":["s3cret-1"]},)";
    const std::vector<std::string> faulty {
        R"({"name":"faulty","api_keys":["s3cret-1"]})",
        R"({"name":"faulty","api_keys":["s3cret-2"]},{"name":"faulty","api_keys":["s3cret-3"]})",
        R"({"name":"faulty","api_keys":[""]})",
        R"({"name":"faulty","api_keys":["s3cret-2",""]})",
        R"({"name":"faulty","api_keys":["s3cret 2"]})",
        R"({"name":"faulty","api_keys":["s3cret-2\n"]})",
        R"({"name":"faulty","api_keys":["s3cret-2\u0000"]})",
        R"({"name":"faulty","api_keys":["s3cret-2\u00e9"]})",
        R"({"name":"faulty","api_keys":["s3cret-2",3]})",
        R"({"name":"faulty","api_keys":["s3cret-2",null]})",
        R"({"name":"faulty","api_keys":["s3cret-2",["s3cret-3"]]})",
        R"({"name":"faulty","api_keys":["s3cret-2",{"s3cret-3":1}]})",
        R"({"name":"faulty","api_keys":[true]})",
        R"({"name":"faulty","api_keys":"s3cret-2"})",
        R"({"name":"faulty","api_keys":{"s3cret-2":"s3cret-3"}})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"weight":"s3cret-2"})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"weight":-0.5})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"weight":{}})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"priority":1.5})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"priority":-1})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"priority":"s3cret-2"})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"max_count":["s3cret-2"]})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"max_count":{"cpu":-1}})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"max_count":{"mem_mb":1.5}})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"max_count":{"gpu":"s3cret-2"}})",
        R"({"name":"faulty","api_keys":["s3cret-2"],"max_count":{"cpu":9007199254740993}})",
    };
    for (const auto& customer : faulty) {
        auto message = refusal(document("[" + valid + customer + "]"));
        INFO(customer << ": " << message);
        REQUIRE(contains(message, "\"faulty\""));
        REQUIRE_FALSE(contains(message, "s3cret"));
    }
}

// Guards against an entry without a usable name whose refusal doesn't say which entry is meant.
TEST_CASE("A customer without a name is refused with its position", "[platform][customers]")
{
    for (const auto* customer : { R"({"api_keys":["s3cret-2"]})", R"({"name":"","api_keys":["s3cret-2"]})",
             R"({"name":null,"api_keys":["s3cret-2"]})", R"({"name":["s3cret-2"],"api_keys":["s3cret-2"]})",
             R"("s3cret-2")", R"(["s3cret-2"])", "null", "3" }) {
        auto message
            = refusal(document(R"([{"name":"fine","api_keys":["s3cret-1"]},)" + std::string(customer) + "]"));
        INFO(customer << ": " << message);
        REQUIRE(contains(message, "entry 1 of \"tenants\""));
        REQUIRE_FALSE(contains(message, "s3cret"));
    }
    for (const auto* customers : { "{}", "\"s3cret-2\"", "{\"s3cret-2\":[]}", "true" }) {
        auto message = refusal(document(customers));
        REQUIRE(contains(message, "tenants"));
        REQUIRE_FALSE(contains(message, "s3cret"));
    }
}

// Guards against a parser that quotes the text near an error, which may be a key.
TEST_CASE("Damaged JSON in a list of keys is refused without quoting it", "[platform][customers]")
{
    const auto whole = document(R"([{"name":"a","api_keys":["s3cret-1","s3cret-2"],"weight":1}])");
    for (std::size_t size = 0; size < whole.size(); ++size) {
        auto message = refusal(whole.substr(0, size));
        REQUIRE_FALSE(message.empty());
        REQUIRE_FALSE(contains(message, "s3cr"));
    }
    for (std::size_t i = whole.find("[\"s3cret"); i < whole.size(); ++i) {
        for (const auto* damage : { "\"", "\\", "\xff", "\n", "]", "," }) {
            auto text = whole;
            text.replace(i, 1, damage);
            REQUIRE_FALSE(contains(refusal(text), "s3cr"));
        }
    }
}
