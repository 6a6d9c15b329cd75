#include "CallKit.h"
#include "ScriptedRunner.h"
#include "TestClient.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

TEST_CASE("A request is forwarded to a runner and the response carries the outcome", "[calls]")
{
    ScriptedRunner runner(ScriptedRunner::echo);
    FakeFleet fleet;
    fleet.addRunner("r1", runner.address());
    FakeStore store;
    CallInstance instance(fleet, store, callSettings(), false);
    TestClient client(instance.address());
    for (int i = 0; i < 3; ++i) {
        const auto body = "body " + std::to_string(i);
        const auto response
            = client.call("PUT", "/call/intake/bins/7?x=1", body, "traceparent: 00-a-b-01\r\n");
        CHECK(response.status == 200);
        CHECK(response.body == body);
        CHECK(response.field("Celeryline-Outcome") == "done");
        CHECK(response.field("Celeryline-Instance") == "r1");
    }
    CHECK(runner.connections() == 1);
    CHECK(runner.requests()[0].find("PUT /bins/7?x=1 HTTP/1.1\r\n") == 0);
    CHECK(runner.requests()[0].find("traceparent: 00-a-b-01\r\n") != std::string::npos);
}

TEST_CASE("Draining runners and instances that are not serving get no new work", "[calls]")
{
    ScriptedRunner runner(ScriptedRunner::echo);
    FakeFleet fleet;
    fleet.addRunner("r1", runner.address());
    FakeStore store;
    CallInstance instance(fleet, store, callSettings(), false);
    TestClient client(instance.address());
    Instance entry;
    entry.name = "r1";
    entry.phase = InstancePhase::Draining;
    fleet.addInstance(entry);
    auto response = client.call("GET", "/call/intake/");
    CHECK(response.status == 503);
    CHECK(response.field("Celeryline-Outcome") == "not-run");
    CHECK(response.field("Retry-After") == "1");
    entry.phase = InstancePhase::Serving;
    fleet.addInstance(entry);
    CHECK(client.call("GET", "/call/intake/").status == 200);
    fleet.changeUpstreams([](UpstreamSnapshot& view) { view.upstreams[0].draining = true; });
    CHECK(client.call("GET", "/call/intake/").status == 503);
    CHECK(runner.requests().size() == 1);
    CHECK(client.call("GET", "/call/nothing/").status == 404);
}

TEST_CASE("Requests with malformed headers are refused and not run", "[calls]")
{
    ScriptedRunner runner(ScriptedRunner::echo);
    FakeFleet fleet;
    fleet.addRunner("r1", runner.address());
    FakeStore store;
    CallInstance instance(fleet, store, callSettings(), false);
    for (const std::string fields : { "Celeryline-Deadline-Ms: 0\r\n", "Celeryline-Deadline-Ms: 60001\r\n",
             "Celeryline-Deadline-Ms: 1e3\r\n", "Idempotency-Key: a b\r\n", "Idempotency-Key: \r\n",
             "Celeryline-Hops: 2\r\n", "Celeryline-Repeatable: yes\r\n",
             "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", "Transfer-Encoding: gzip\r\n" }) {
        INFO(fields);
        TestClient client(instance.address());
        const auto response = client.call("POST", "/call/intake/x", "b", fields);
        CHECK(response.status == 400);
        CHECK(response.field("Celeryline-Outcome") == "not-run");
    }
    CHECK_FALSE(runner.receivedBytes());
}

TEST_CASE("A body that trickles in, breaks off or is too large is never run", "[calls]")
{
    ScriptedRunner runner(ScriptedRunner::echo);
    FakeFleet fleet;
    fleet.addRunner("r1", runner.address());
    FakeStore store;
    CallInstance instance(fleet, store, callSettings(), false);
    SECTION("single bytes don't extend the receive timeout")
    {
        for (const bool isChunked : { false, true }) {
            TestClient client(instance.address());
            client.send(std::string("POST /call/intake/x HTTP/1.1\r\nHost: a\r\n")
                + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Content-Length: 1000\r\n\r\n"));
            const auto startTime = std::chrono::steady_clock::now();
            for (int i = 0; i < 40 && !client.hasInput(); ++i) {
                client.send("0");
                std::this_thread::sleep_for(std::chrono::milliseconds(25));
            }
            const auto response = client.receive();
            CHECK((response.status == 408 || response.status == 400));
            CHECK(response.field("Celeryline-Outcome") == "not-run");
            CHECK(std::chrono::steady_clock::now() - startTime < std::chrono::milliseconds(700));
        }
    }
    SECTION("a truncated or malformed chunked body is refused")
    {
        for (const std::string body :
            { "5\r\nab", "5\r\nabcde\r\n", "zz\r\n", "5\r\nabcdefg\r\n0\r\n\r\n" }) {
            TestClient client(instance.address());
            client.send(
                "POST /call/intake/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
            client.shutdownSend();
            const auto response = client.receive();
            CHECK(response.status >= 400);
            CHECK(response.field("Celeryline-Outcome") == "not-run");
        }
    }
    SECTION("a body over the limit is refused with and without Content-Length")
    {
        TestClient client(instance.address());
        CHECK(client.call("POST", "/call/intake/x", std::string(100001, 'x')).status == 413);
        TestClient other(instance.address());
        other.send("POST /call/intake/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 0; i < 3; ++i) {
            other.send("c350\r\n" + std::string(50000, 'x') + "\r\n");
        }
        CHECK(other.receive().status == 413);
    }
    CHECK_FALSE(runner.receivedBytes());
}

TEST_CASE("A chunked body within the limit is received completely", "[calls]")
{
    ScriptedRunner runner(ScriptedRunner::echo);
    FakeFleet fleet;
    fleet.addRunner("r1", runner.address());
    FakeStore store;
    CallInstance instance(fleet, store, callSettings(), false);
    TestClient client(instance.address());
    for (int i = 0; i < 2; ++i) {
        client.send("POST /call/intake/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "3\r\nabc\r\n2;e=1\r\nde\r\n0\r\nT: 1\r\n\r\n");
        CHECK(client.receive().body == "abcde");
    }
}
