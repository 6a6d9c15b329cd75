#include "celeryline/operators/AnnounceEndpoint.h"

#include "celeryline/base/Error.h"
#include "celeryline/http/HttpServer.h"
#include "celeryline/registry/AnnouncementJson.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace celeryline;
using Catch::Matchers::Contains;

namespace {

const std::string runnerJson
    = R"({"name":"r1","kind":"runner","address":"127.0.0.1:9000","dataCentre":"dc1","rack":"k1",)"
      R"("labels":{"service":"intake"},"slots":8,"connections":64,"bootId":7,"leaseMs":3000})";

std::string replaceText(std::string json, const std::string& from, const std::string& to)
{
    auto position = json.find(from);
    REQUIRE(position != std::string::npos);
    return json.replace(position, from.size(), to);
}

std::string parseError(const std::string& json)
{
    try {
        parseAnnouncement(json, "dc1", Millis { 3000 });
    } catch (const Error& e) {
        CHECK(e.kind() == ErrorKind::InvalidInput);
        return e.what();
    }
    return "";
}

struct Fixture {
    Fixture()
        : registry({ "a", 1, {}, Millis { 2000 } }, clock.now())
        , endpoint({ "a", "dc1", Millis { 3000 } }, registry, clock,
              [this](const Announcement&, const std::vector<ReportedTask>& tasks) {
                  reported = tasks;
                  return AnnounceReply { "drain", 5, 9, { { "t2", "start", 4 } } };
              })
        , server("127.0.0.1:0", limits())
    {
        server.route("/v1/upstreams", endpoint);
        server.start();
    }

    static LimitSettings limits()
    {
        LimitSettings limits;
        limits.maxConnections = 4;
        limits.receiveTimeout = { 2000 };
        limits.keepAliveTimeout = { 2000 };
        return limits;
    }

    std::string send(const std::string& method, const std::string& path, const std::string& body = "")
    {
        Poco::Net::HTTPClientSession session("127.0.0.1", server.port());
        Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        session.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::string responseText;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), responseText);
        return std::to_string(response.getStatus()) + " " + responseText;
    }

    ManualClock clock;
    UpstreamRegistry registry;
    std::vector<ReportedTask> reported;
    AnnounceEndpoint endpoint;
    HttpServer server;
};

} // namespace

TEST_CASE("An announcement over HTTP is listed until its upstream leaves", "[announce]")
{
    Fixture f;
    std::string task = R"(,"tasks":[{"id":"t1","state":"done","fence":3}]})";
    auto responseText = f.send("POST", "/v1/upstreams", runnerJson.substr(0, runnerJson.size() - 1) + task);
    CHECK_THAT(responseText,
        Contains("200 ") && Contains(R"("managedBy":"a")") && Contains(R"("instruction":"drain")"));
    CHECK_THAT(responseText,
        Contains(R"("permit":5)") && Contains(R"("revision":9)") && Contains(R"("action":"start")"));
    REQUIRE(f.reported.size() == 1);
    CHECK(f.reported[0].fence == 3);
    CHECK_THAT(
        f.send("GET", "/v1/upstreams"), Contains(R"("name":"r1")") && Contains(R"("liveInstances":["a"])"));
    CHECK_THAT(f.send("GET", "/v1/upstreams/r1"), Contains("200 ") && Contains(R"("bootId":7)"));
    CHECK_THAT(f.send("DELETE", "/v1/upstreams/r1"), Contains("200 "));
    CHECK_THAT(f.send("GET", "/v1/upstreams/r1"), Contains("404 "));
    CHECK_THAT(f.send("POST", "/v1/upstreams", runnerJson), Contains("409 ") && Contains("greater bootId"));
}

TEST_CASE("Invalid announcement requests return an error status and a remedy", "[announce]")
{
    Fixture f;
    CHECK_THAT(f.send("POST", "/v1/upstreams", "{"), Contains("400 ") && Contains("not JSON"));
    CHECK_THAT(f.send("DELETE", "/v1/upstreams/x"), Contains("404 ") && Contains("?bootId="));
    CHECK_THAT(
        f.send("DELETE", "/v1/upstreams/x?bootId=-1"), Contains("400 ") && Contains("positive integer"));
    CHECK_THAT(f.send("PUT", "/v1/upstreams"), Contains("400 ") && Contains("use POST or GET"));
    CHECK_THAT(f.send("POST", "/v1/upstreams", std::string(300000, ' ')), Contains("413 "));
}

TEST_CASE("Errors name the invalid announcement field and a remedy", "[announce]")
{
    CHECK(parseError(runnerJson).empty());
    CHECK_THAT(parseError("[]"), Contains("not a JSON object"));
    CHECK_THAT(parseError(replaceText(runnerJson, R"("r1")", R"("r 1")")),
        Contains("\"name\"") && Contains("letters"));
    CHECK_THAT(parseError(replaceText(runnerJson, "runner", "rnner")),
        Contains("\"kind\"") && Contains("\"worker\""));
    for (const auto* address :
        { "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "1.2.3.4:x", "::1:80", ":80" }) {
        CHECK_THAT(parseError(replaceText(runnerJson, "127.0.0.1:9000", address)),
            Contains("\"address\"") && Contains("IP address"));
    }
    CHECK(parseError(replaceText(runnerJson, "127.0.0.1:9000", "[::1]:80")).empty());
    CHECK_THAT(parseError(replaceText(runnerJson, "dc1", "dc2")),
        Contains("\"dataCentre\"") && Contains("own data centre"));
    CHECK_THAT(parseError(replaceText(runnerJson, R"("rack":"k1",)", "")), Contains("\"rack\" is missing"));
    CHECK_THAT(parseError(replaceText(runnerJson, "intake", "\\u00e9")), Contains("labels.service"));
    CHECK_THAT(parseError(replaceText(runnerJson, R"("slots":8)", R"("slots":0)")),
        Contains("\"slots\"") && Contains("from 1 to"));
    CHECK_THAT(
        parseError(replaceText(runnerJson, R"("slots":8)", R"("slots":"8")")), Contains("not an integer"));
    CHECK_THAT(
        parseError(replaceText(runnerJson, R"("slots":8)", R"("slots":true)")), Contains("not an integer"));
    CHECK_THAT(parseError(replaceText(runnerJson, R"("bootId":7)", R"("bootId":18446744073709551615)")),
        Contains("\"bootId\""));
    CHECK_THAT(parseError(replaceText(runnerJson, R"("leaseMs":3000)", R"("leaseMs":5)")),
        Contains("\"leaseMs\"") && Contains("100"));
    CHECK_THAT(parseError(replaceText(runnerJson, R"("slots")", R"("slotz":1,"slots")")),
        Contains("did you mean \"slots\""));
    CHECK_THAT(parseError(replaceText(runnerJson, R"("slots")", R"("draining":1,"slots")")),
        Contains("true or false"));
    CHECK_THAT(parseError(replaceText(runnerJson, R"("slots")", R"("tasks":[{"id":"t"}],"slots")")),
        Contains("tasks[0].state"));
    CHECK_THAT(parseError(replaceText(runnerJson, R"("slots")", R"("usage":{"cpuMilli":-1},"slots")")),
        Contains("usage.cpuMilli"));
}

TEST_CASE("Truncated announcements are rejected", "[announce]")
{
    for (std::size_t length = 0; length < runnerJson.size(); ++length) {
        CHECK_FALSE(parseError(runnerJson.substr(0, length)).empty());
    }
}

TEST_CASE("Announcements round-trip through JSON", "[announce]")
{
    auto request = parseAnnouncement(runnerJson, "dc1", Millis { 3000 });
    CHECK(rc::check([&](bool draining, std::uint16_t slots, std::uint8_t cpu) {
        request.upstream.draining = draining;
        request.upstream.slots = slots % 10000 + 1;
        request.upstream.usage.cpuMilli = cpu;
        request.upstream.labels["n"] = std::to_string(cpu);
        RC_ASSERT(parseAnnouncement(toJson(request), "dc1", Millis { 1 }).upstream == request.upstream);
    }));
}
