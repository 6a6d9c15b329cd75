#include "CallKit.h"
#include "ScriptedRunner.h"
#include "TestClient.h"

#include <catch2/catch.hpp>

#include <random>
#include <set>

using namespace celeryline;
using namespace celeryline::test;
using Poco::Net::StreamSocket;

namespace {

void pause(int millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

bool resetConnection(StreamSocket& socket, const std::string&) { return ScriptedRunner::reset(socket); }

bool closeLate(StreamSocket&, const std::string&)
{
    pause(400);
    return false;
}

std::string closedAddress()
{
    const Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
    return closed.address().toString();
}

} // namespace

TEST_CASE("Repeatable requests are retried on another runner, others are not", "[calls]")
{
    const bool isSilent = GENERATE(false, true);
    ScriptedRunner failingRunner(isSilent ? closeLate : resetConnection);
    ScriptedRunner healthyRunner(ScriptedRunner::echo);
    FakeFleet fleet;
    fleet.addRunner("bad", failingRunner.address(), 1);
    FakeStore store;
    CallInstance instance(fleet, store);
    TestClient client(instance.address());
    const auto once = client.call("POST", "/call/intake/x", "once", "Celeryline-Deadline-Ms: 250\r\n");
    CHECK(once.status == (isSilent ? 504 : 502));
    CHECK(once.field("Celeryline-Outcome") == "unknown");
    CHECK(failingRunner.requests().size() == 1);
    // A new name makes the router forget that the runner is suspect.
    fleet.changeUpstreams([](UpstreamSnapshot& view) { view.upstreams[0].name = "bad again"; });
    fleet.addRunner("good", healthyRunner.address());
    for (int i = 0; i < 4; ++i) {
        const auto response = client.call(i % 2 ? "GET" : "POST", "/call/intake/x", "again",
            i % 2 ? "" : "Celeryline-Repeatable: true\r\n");
        CHECK(response.status == 200);
        CHECK(response.field("Celeryline-Instance") == "good");
    }
    CHECK(healthyRunner.requests().size() == 4);
}

TEST_CASE("After a refused connection even a non-repeatable request is sent to another runner", "[calls]")
{
    ScriptedRunner healthyRunner(ScriptedRunner::echo);
    FakeFleet fleet;
    fleet.addRunner("bad", closedAddress());
    fleet.addRunner("good", healthyRunner.address());
    FakeStore store;
    CallInstance instance(fleet, store, callSettings(), false);
    TestClient client(instance.address());
    for (int i = 0; i < 6; ++i) {
        CHECK(client.call("POST", "/call/intake/x", "x").status == 200);
    }
    CHECK(healthyRunner.requests().size() == 6);
}

TEST_CASE("Retries stay within the retry budget", "[calls]")
{
    ScriptedRunner first(resetConnection);
    ScriptedRunner second(resetConnection);
    FakeFleet fleet;
    fleet.addRunner("r1", first.address());
    fleet.addRunner("r2", second.address());
    FakeStore store;
    CallInstance instance(fleet, store, callSettings(), false);
    TestClient client(instance.address());
    constexpr std::size_t requests = 100;
    for (std::size_t i = 0; i < requests; ++i) {
        CHECK(client.call("GET", "/call/intake/x").field("Celeryline-Outcome") == "unknown");
    }
    const auto attempts = first.requests().size() + second.requests().size();
    CHECK(attempts <= requests + requests / 10 + 10);
    CHECK(attempts > requests);
}

TEST_CASE("A connection that goes silent costs one try while new ones work", "[calls]")
{
    // The runner stops responding on its first connection after two requests.
    std::atomic<int> served { 0 };
    ScriptedRunner runner([&](StreamSocket& socket, const std::string& request) {
        if (++served == 3) {
            pause(400);
            return false;
        }
        return ScriptedRunner::echo(socket, request);
    });
    FakeFleet fleet;
    fleet.addRunner("r1", runner.address());
    FakeStore store;
    CallInstance instance(fleet, store);
    TestClient client(instance.address());
    const auto startTime = std::chrono::steady_clock::now();
    for (int i = 0; i < 10; ++i) {
        CHECK(client.call("PUT", "/call/intake/x", std::to_string(i)).body == std::to_string(i));
    }
    CHECK(std::chrono::steady_clock::now() - startTime < std::chrono::milliseconds(400));
}

TEST_CASE("If a streamed response is truncated, the connection to the caller is closed", "[calls]")
{
    const std::string body(300000, 'x');
    std::atomic<bool> isCut { false };
    ScriptedRunner runner([&](StreamSocket& socket, const std::string&) {
        const bool cutsThis = isCut; // The test may set isCut while the script is still running.
        ScriptedRunner::send(
            socket, ScriptedRunner::response(body).substr(0, cutsThis ? 200000 : std::string::npos));
        return !cutsThis;
    });
    FakeFleet fleet;
    fleet.addRunner("r1", runner.address());
    FakeStore store;
    CallInstance instance(fleet, store, callSettings(), false);
    TestClient client(instance.address());
    CHECK(client.call("GET", "/call/intake/x").body == body);
    isCut = true;
    CHECK(client.call("GET", "/call/intake/x").status == 0);
}

TEST_CASE("Responses without a body are forwarded", "[calls]")
{
    ScriptedRunner runner([](StreamSocket& socket, const std::string& request) {
        const bool isHead = request.compare(0, 4, "HEAD") == 0;
        ScriptedRunner::send(socket,
            isHead ? "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" : "HTTP/1.1 204 No Content\r\n\r\n");
        return true;
    });
    FakeFleet fleet;
    fleet.addRunner("r1", runner.address());
    FakeStore store;
    CallInstance instance(fleet, store, callSettings(), false);
    TestClient client(instance.address());
    CHECK(client.call("HEAD", "/call/intake/x").field("Content-Length") == "7");
    CHECK(client.call("GET", "/call/intake/x").status == 204);
    CHECK(client.call("HEAD", "/call/intake/x").status == 200);
}

TEST_CASE("Another data centre serves what the local one can't, over one hop", "[calls]")
{
    ScriptedRunner runner(ScriptedRunner::echo);
    FakeStore store;
    Instance remote;
    remote.name = "r9";
    remote.dataCentre = "dc2";
    remote.labels = { { "service", "intake" } };
    FakeFleet remoteFleet;
    remoteFleet.changeUpstreams([](UpstreamSnapshot& view) { view.liveInstances = { "far" }; });
    remoteFleet.addRunner("r9", runner.address());
    auto remoteSettings = callSettings("far");
    remoteSettings.dataCentre = "dc2";
    CallInstance remoteEntry(remoteFleet, store, remoteSettings);
    FakeFleet fleet;
    fleet.addInstance(remote);
    auto settings = callSettings();
    settings.peers = { { "gone", "dc2", closedAddress(), "" }, { "far", "dc2", remoteEntry.address(), "" } };
    CallInstance instance(fleet, store, settings);
    TestClient client(instance.address());
    for (const std::string fields : { "", "Idempotency-Key: k1\r\n", "Idempotency-Key: k1\r\n" }) {
        const auto response = client.call("POST", "/call/intake/x", "b", fields);
        CHECK(response.status == 200);
        CHECK(response.body == "b");
        CHECK(response.field("Celeryline-Instance") == "r9");
    }
    CHECK(runner.requests().size() == 2);
    // A forwarded request is not forwarded again.
    auto& attempts = instance.router.find("intake").queue->attempts;
    const auto before = attempts.Value();
    CHECK(client.call("POST", "/call/intake/x", "b", "Celeryline-Hops: 1\r\n").status == 503);
    CHECK(attempts.Value() == before);
    remoteFleet.changeUpstreams([](UpstreamSnapshot& view) { view.upstreams.clear(); });
    const auto refused = client.call("POST", "/call/intake/x", "b", "Idempotency-Key: k2\r\n");
    CHECK(refused.status == 503);
    CHECK(refused.field("Celeryline-Outcome") == "not-run");
}

TEST_CASE("Under random faults answers are never swapped and not-run means that nothing ran", "[calls]")
{
    std::mutex mutex;
    std::mt19937 random(7);
    const auto respondWithFault = [&](StreamSocket& socket, const std::string& request) {
        unsigned fault = 0;
        {
            const std::lock_guard lock(mutex);
            fault = random() % 24;
        }
        const auto response = ScriptedRunner::response(ScriptedRunner::bodyOf(request));
        switch (fault) {
        case 0:
            return ScriptedRunner::reset(socket);
        case 1:
            ScriptedRunner::send(socket, response.substr(0, response.size() / 2));
            return ScriptedRunner::reset(socket);
        case 2:
            pause(200); // Exceeds the try timeout.
            break;
        case 3:
            ScriptedRunner::send(socket, response + response);
            return true;
        case 4:
            ScriptedRunner::send(socket, response.substr(0, response.size() - 1));
            return false;
        case 5:
            return false;
        default:
            break;
        }
        ScriptedRunner::send(socket, response);
        return fault != 6;
    };
    ScriptedRunner firstRunner(respondWithFault);
    ScriptedRunner secondRunner(respondWithFault);
    FakeFleet fleet;
    fleet.addRunner("r1", firstRunner.address(), 4);
    fleet.addRunner("r2", secondRunner.address(), 4);
    FakeStore store;
    CallInstance instance(fleet, store);
    std::set<std::string> notRun;
    std::atomic<int> done { 0 };
    std::vector<std::thread> callers;
    for (int c = 0; c < 12; ++c) {
        callers.emplace_back([&, c] {
            for (int i = 0; i < 40; ++i) {
                const auto body = "<" + std::to_string(c) + "." + std::to_string(i) + ">";
                TestClient client(instance.address());
                std::string fields = "Celeryline-Deadline-Ms: 250\r\n";
                fields += i % 4 == 0 ? "Idempotency-Key: " + body + "\r\n" : "";
                const auto response = client.call(i % 2 ? "PUT" : "POST", "/call/intake/x", body, fields);
                const auto outcome = response.field("Celeryline-Outcome");
                const std::lock_guard lock(mutex);
                if (outcome == "done") {
                    ++done;
                    CHECK(response.body == body);
                } else if (outcome == "not-run") {
                    notRun.insert(body);
                } else {
                    CHECK(outcome == "unknown");
                }
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(done > 300);
    std::map<std::string, int> runs;
    for (const auto* runner : { &firstRunner, &secondRunner }) {
        CHECK(runner->maxConcurrent() <= 64);
        for (const auto& request : runner->requests()) {
            const auto body = ScriptedRunner::bodyOf(request);
            CHECK(notRun.count(body) == 0);
            if (request.find("Idempotency-Key") != std::string::npos || request.compare(0, 4, "POST") == 0) {
                CHECK(++runs[body] == 1);
            }
        }
    }
}
