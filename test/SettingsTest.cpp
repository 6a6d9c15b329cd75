#include "celeryline/settings/Settings.h"

#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using Catch::Matchers::Contains;

namespace {

std::string errorOf(const std::string& json)
{
    try {
        parseSettings(json, "a.json");
    } catch (const Error& e) {
        CHECK(e.kind() == ErrorKind::InvalidSettings);
        return e.what();
    }
    return "";
}

} // namespace

TEST_CASE("Settings may contain comments, and missing keys get defaults")
{
    auto settings = parseSettings(
        "{ // the \"first\" instance\n /* see http://docs */ \"name\": \"a\", \"dataCentre\": \"dc1\" }",
        "a.json");
    CHECK(settings.name == "a");
    CHECK(settings.httpListen == "127.0.0.1:7400");
    CHECK(settings.leases.peerTimeout == Millis { 2000 });
}

TEST_CASE("An unknown key is rejected with the closest known key as a suggestion")
{
    auto message = errorOf(R"({"name":"a","dataCentre":"d","routing":{"tryTimoutMs":5}})");
    CHECK_THAT(message, Contains("routing.tryTimoutMs") && Contains("did you mean \"routing.tryTimeoutMs\""));
}

TEST_CASE("An out-of-range value is rejected with its path, unit and range")
{
    auto message = errorOf(R"({"name":"a","dataCentre":"d","limits":{"maxBodyBytes":3}})");
    CHECK_THAT(message, Contains("limits.maxBodyBytes") && Contains("bytes") && Contains("1024"));
    CHECK_THAT(errorOf(R"({"name":"a","dataCentre":"d","leases":{"peerTimeoutMs":"2s"}})"),
        Contains("leases.peerTimeoutMs") && Contains(" in ms"));
}

TEST_CASE("A listener on a non-loopback address requires a token for each role")
{
    auto message = errorOf(R"({"name":"a","dataCentre":"d","httpListen":"0.0.0.0:7400"})");
    CHECK_THAT(message, Contains("security.callerTokenFile"));
}

TEST_CASE("A host name is rejected where an IP address is required")
{
    CHECK_THAT(errorOf(R"({"name":"a","dataCentre":"d","httpListen":"localhost:7400"})"),
        Contains("not an IP address"));
}

TEST_CASE("A voter must be a known instance with a data directory")
{
    CHECK_THAT(errorOf(R"({"name":"a","dataCentre":"d","voters":["b"]})"), Contains("voter \"b\""));
    CHECK_THAT(errorOf(R"({"name":"a","dataCentre":"d","voters":["a"]})"), Contains("dataDir"));
}

TEST_CASE("Truncated settings are rejected")
{
    const std::string whole = R"({"name":"a","dataCentre":"dc1","logging":{"level":"warn"}})";
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CHECK_THROWS_AS(parseSettings(whole.substr(0, length), "a.json"), Error);
    }
}
