#include "platform/CredentialLimiter.h"

#include <catch2/catch.hpp>
#include <kj/async-io.h>

#include <string>

using namespace celeryline;
using namespace celeryline::platform;

namespace {

ForwardedRequest makeRequest(const std::string& key, const std::string& target = "/work/00000000000000c1")
{
    ForwardedRequest request;
    request.method = "GET";
    request.host = "jobs.example:8080";
    request.target = target;
    request.credential = key;
    return request;
}

ForwardedResponse makeAnswer(std::uint16_t status, ForwardOutcome outcome = ForwardOutcome::Answered)
{
    ForwardedResponse response;
    response.status = status;
    response.outcome = outcome;
    return response;
}

struct LimiterFixture {
    /// Sends requests with distinct invalid keys until one is refused.
    /// @return the number of those that the leader rejected.
    int exhaust()
    {
        for (int i = 0;; ++i) {
            auto admitted = limiter.admit(makeRequest("invalid" + std::to_string(i)));
            if (!admitted)
                return i;
            admitted->settle(makeAnswer(401));
        }
    }

    kj::AsyncIoContext io = kj::setupAsyncIo();
    Metrics metrics;
    CredentialLimiter limiter { io.provider->getTimer(), metrics, randomSecret() };
};

} // namespace

// Guards against a refusal that callers can't tell from a rejection, or of which operators learn nothing.
TEST_CASE("Requests beyond the limit are refused with 503 and the time to come back", "[platform][customers]")
{
    LimiterFixture f;
    REQUIRE(f.exhaust() <= 520);
    auto refusal = f.limiter.refuse();
    REQUIRE(refusal.status == 503);
    REQUIRE(refusal.outcome == ForwardOutcome::Answered);
    REQUIRE(refusal.retryAfter >= Millis { 1000 });
    f.limiter.refreshGauges();
    auto text = f.metrics.asText();
    REQUIRE(text.find("celeryline_unknown_credentials_refused_total 1") != std::string::npos);
    REQUIRE(text.find("celeryline_credential_tokens") != std::string::npos);
    REQUIRE(text.find("invalid") == std::string::npos);
}

// Guards against callers that are refused because of others, or because of a response that isn't about keys.
TEST_CASE("Only a response that depends on the key decides whether it is known", "[platform][customers]")
{
    LimiterFixture f;
    auto settle = [&f](const std::string& key, std::uint16_t status) {
        f.limiter.admit(makeRequest(key))->settle(makeAnswer(status));
    };
    for (auto status : { 200, 403, 405, 409, 410, 422, 429 })
        settle("known" + std::to_string(status), static_cast<std::uint16_t>(status));
    f.limiter.admit(makeRequest("", "/open/00000000000000c2"))->settle(makeAnswer(410));
    for (auto status : { 400, 404, 500, 503 })
        settle("unknown" + std::to_string(status), static_cast<std::uint16_t>(status));
    f.limiter.admit(makeRequest("unknown1"))->settle(makeAnswer(200, ForwardOutcome::NotLeading));
    f.limiter.admit(makeRequest("unknown2"))->settle(makeAnswer(200, ForwardOutcome::Unknown));
    f.exhaust();
    for (auto status : { 200, 403, 405, 409, 410, 422, 429 })
        REQUIRE(f.limiter.admit(makeRequest("known" + std::to_string(status), "/work/00000000000000ff?x=1")));
    REQUIRE(f.limiter.admit(makeRequest("", "/open/")));
    REQUIRE(f.limiter.admit(makeRequest("whatever", "/open/00000000000000c9")));
    for (const auto* suffix : { "400", "404", "500", "503", "1", "2" })
        REQUIRE_FALSE(f.limiter.admit(makeRequest("unknown" + std::string(suffix))));
    REQUIRE_FALSE(f.limiter.admit(makeRequest("")));
}

// Guards against tokens that are lost, or requests that cost nothing, when a caller disconnects.
TEST_CASE("A request whose caller left counts as rejected", "[platform][customers]")
{
    LimiterFixture f;
    f.limiter.admit(makeRequest("invalid"))->settle(makeAnswer(401));
    int admitted = 0;
    while (f.limiter.admit(makeRequest("left" + std::to_string(admitted))))
        ++admitted;
    REQUIRE(admitted >= 511);
    REQUIRE(admitted <= 520);
}

// Guards against ids of jobs as a part of the credential: each request without a key would be unknown.
TEST_CASE("The queue of a request is its host and path without the id of a job", "[platform][customers]")
{
    const std::string id = "00000000000000c1";
    REQUIRE(queueOfTarget("h:80", "/work/" + id) == "h/work/");
    REQUIRE(queueOfTarget("h", "/work/" + id + "?x=" + id) == "h/work/");
    REQUIRE(queueOfTarget("h", "/work/") == "h/work/");
    REQUIRE(queueOfTarget("h", "/work-" + id) == "h/work-");
    REQUIRE(queueOfTarget("h", "/work/none") == "h/work/none");
    REQUIRE(queueOfTarget("h", id) == "h" + id);
    REQUIRE(queueOfTarget("", "").empty());
    REQUIRE(randomSecret().size() == 32);
    REQUIRE(randomSecret() != randomSecret());
}
