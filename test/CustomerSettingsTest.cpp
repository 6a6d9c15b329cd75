#include "celeryline/customers/CustomerSettings.h"

#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <limits>
#include <string>
#include <vector>

using namespace celeryline;

namespace {

CustomerSettings makeCustomer(const std::string& name, std::vector<std::string> keys)
{
    CustomerSettings customer;
    customer.name = name;
    customer.apiKeys = std::move(keys);
    return customer;
}

/// @return the error message for customers that must be refused.
std::string refusal(const std::vector<CustomerSettings>& customers)
{
    try {
        checkCustomers(customers);
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

// Guards against refusing what operators may send: several keys, a repeated key, no keys, weight 0.
TEST_CASE("Valid customers pass the check", "[customers]")
{
    auto idle = makeCustomer("idle", {});
    idle.weight = 0;
    idle.limit = { 0, 0, 0 };
    checkCustomers({});
    checkCustomers({ makeCustomer("a", { "key-a1", "key-a2", "key-a1" }), makeCustomer("b", { "key-b" }),
        idle, makeCustomer("c", { std::string(1024, 'k') }) });
}

// Guards against customers whose identity is ambiguous, which would give one customer's jobs to another.
TEST_CASE("Customers that can't be told apart are refused", "[customers]")
{
    auto shared = refusal({ makeCustomer("first", { "s3cret" }), makeCustomer("second", { "x", "s3cret" }) });
    REQUIRE(contains(shared, "first"));
    REQUIRE(contains(shared, "second"));
    REQUIRE_FALSE(contains(shared, "s3cret"));
    REQUIRE(contains(refusal({ makeCustomer("twice", { "a" }), makeCustomer("twice", { "b" }) }), "twice"));
    REQUIRE(contains(refusal({ makeCustomer("twice", { "a" }), makeCustomer("twice", { "a" }) }), "twice"));
    REQUIRE(contains(refusal({ makeCustomer("", { "s3cret" }) }), "no name"));
}

// Guards against keys that no caller can send, and against error messages that reveal a key.
TEST_CASE("A malformed key is refused with the customer's name and without the key", "[customers]")
{
    const std::vector<std::string> malformed { "", " s3cret", "s3cret ", "s3 cret", "s3cret\n", "s3cret\t",
        std::string("s3\0cret", 7), "s3cret\x7f", "s3cr\xc3\xa9t", "s3cret" + std::string(1020, 'k') };
    for (const auto& key : malformed) {
        auto message = refusal({ makeCustomer("fine", { "ok" }), makeCustomer("faulty", { "ok2", key }) });
        REQUIRE(contains(message, "faulty"));
        REQUIRE_FALSE(contains(message, "fine"));
        REQUIRE_FALSE(contains(message, "s3"));
    }
}

// Guards against weights and limits with which shares and quotas can't be computed.
TEST_CASE("A weight or limit out of range is refused with the customer's name", "[customers]")
{
    for (auto weight : { -1.0, std::nan(""), std::numeric_limits<double>::infinity(),
             -std::numeric_limits<double>::min() }) {
        auto customer = makeCustomer("heavy", { "s3cret" });
        customer.weight = weight;
        REQUIRE(contains(refusal({ customer }), "heavy"));
        REQUIRE_FALSE(contains(refusal({ customer }), "s3cret"));
    }
    for (const auto& limit : { Resources { -1, 0, 0 }, Resources { 0, -1, 0 }, Resources { 0, 0, -1 } }) {
        auto customer = makeCustomer("negative", { "s3cret" });
        customer.limit = limit;
        REQUIRE(contains(refusal({ customer }), "negative"));
    }
}

TEST_CASE("A customer is found by its name", "[customers]")
{
    const std::vector<CustomerSettings> customers { makeCustomer("a", { "1" }), makeCustomer("b", { "2" }) };
    REQUIRE(findCustomer(customers, "b")->apiKeys == std::vector<std::string> { "2" });
    REQUIRE(findCustomer(customers, "c") == nullptr);
    REQUIRE(findCustomer(customers, "") == nullptr);
}
