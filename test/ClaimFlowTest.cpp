#include "CallKit.h"
#include "ScriptedRunner.h"
#include "TestClient.h"

#include <Poco/Net/NetException.h>

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;
using Poco::Net::StreamSocket;

namespace {

void pause(int millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

/// Thrown to simulate a killed process: the caller gets no response.
struct ProcessKilled : Poco::Net::NetException {
    ProcessKilled()
        : NetException("killed")
    {
    }
};

/// Two entry instances that share one store and one runner.
struct EntryPair {
    explicit EntryPair(ScriptedRunner::Script script = ScriptedRunner::echo)
        : runner(std::move(script))
    {
        // Slot credits are not tested here, so each instance sees only itself as live.
        otherFleet.changeUpstreams([](UpstreamSnapshot& view) { view.liveInstances = { "b" }; });
        fleet.addRunner("r1", runner.address());
        otherFleet.addRunner("r1", runner.address());
        while (!a.router.reasonNotReady().empty() || !b.router.reasonNotReady().empty()) {
            pause(5);
        }
    }

    ~EntryPair()
    {
        std::thread stopper([this] { a.server.stop(Millis { 2000 }); });
        b.server.stop(Millis { 2000 });
        stopper.join();
    }

    TestResponse call(const CallInstance& instance, const std::string& body = "body", int deadline = 1000,
        const std::string& key = "k1")
    {
        TestClient client(instance.address());
        return client.call("POST", "/call/intake/bins", body,
            "Idempotency-Key: " + key + "\r\nCeleryline-Deadline-Ms: " + std::to_string(deadline) + "\r\n");
    }

    TestResponse callUntilDone(const CallInstance& instance)
    {
        TestResponse response;
        for (int i = 0; i < 50 && response.status != 200; ++i) {
            response = call(instance);
            pause(20);
        }
        return response;
    }

    ScriptedRunner runner;
    FakeFleet fleet;
    FakeFleet otherFleet;
    FakeStore store;
    CallInstance a { fleet, store, callSettings(), false };
    CallInstance b { otherFleet, store, callSettings("b"), false };
};

bool isCommand(const Command& command, const std::string& start)
{
    return command.id.compare(0, start.size(), start) == 0;
}

} // namespace

TEST_CASE(
    "A repeated request with the same key gets the first response and is not run again", "[calls][claims]")
{
    EntryPair pair;
    CHECK(pair.call(pair.a).body == "body");
    const auto replay = pair.call(pair.b);
    CHECK(replay.status == 200);
    CHECK(replay.body == "body");
    CHECK(replay.field("Celeryline-Outcome") == "done");
    CHECK(replay.field("Celeryline-Replay") == "whole");
    CHECK(replay.field("Celeryline-Instance") == "r1");
    CHECK(pair.call(pair.b, "another body").status == 422);
    CHECK(pair.call(pair.a, "another body").field("Celeryline-Outcome") == "not-run");
    CHECK(pair.runner.requests().size() == 1);
}

TEST_CASE("A key runs at most once if the first instance dies at any step", "[calls][claims]")
{
    struct Step {
        std::string command;
        bool afterApplied;
        std::size_t runsBefore; ///< Requests that reached the runner before the instance is killed.
        int nextStatus; ///< Status of the repeated request to the other instance.
    };
    EntryPair pair;
    std::size_t runs = 0;
    for (const auto& step : { Step { "claim-a", false, 0, 200 }, Step { "claim-a", true, 0, 409 },
             Step { "end-a", false, 1, 409 }, Step { "end-a", true, 1, 200 } }) {
        const auto key = step.command + (step.afterApplied ? "-after" : "-before");
        INFO(key);
        pair.store.setHook([&](const Command& command, bool isApplied) {
            if (isCommand(command, step.command) && isApplied == step.afterApplied) {
                throw ProcessKilled();
            }
        });
        CHECK(pair.call(pair.a, "body", 1000, key).status == 0);
        CHECK(pair.runner.requests().size() - runs == step.runsBefore);
        const auto resent = pair.call(pair.b, "body", 1000, key);
        CHECK(resent.status == step.nextStatus);
        CHECK(resent.field("Celeryline-Outcome") == (step.nextStatus == 200 ? "done" : "unknown"));
        const auto runsOfKey = pair.runner.requests().size() - runs;
        CHECK(runsOfKey <= 1);
        CHECK((resent.status != 200 || runsOfKey == 1));
        runs += runsOfKey;
    }
}

TEST_CASE(
    "A repeated request gets the outcome unknown while its key is in progress, and the response afterwards",
    "[calls][claims]")
{
    EntryPair pair([](StreamSocket& socket, const std::string& request) {
        pause(150);
        return ScriptedRunner::echo(socket, request);
    });
    TestResponse first;
    std::thread caller([&] { first = pair.call(pair.a); });
    pause(60);
    CHECK(pair.call(pair.b).status == 409);
    caller.join();
    CHECK(first.body == "body");
    CHECK(pair.call(pair.b).body == "body");
    CHECK(pair.runner.requests().size() == 1);
}

TEST_CASE(
    "A request whose response is lost has the outcome unknown and is never sent again", "[calls][claims]")
{
    const bool isSilent = GENERATE(false, true);
    EntryPair pair([&](StreamSocket& socket, const std::string&) {
        pause(isSilent ? 400 : 0);
        return ScriptedRunner::reset(socket);
    });
    const auto response = pair.call(pair.a, "body", 200);
    CHECK(response.status == (isSilent ? 504 : 502));
    CHECK(response.field("Celeryline-Outcome") == "unknown");
    // After the deadline the outcome is recorded in the background.
    pause(100);
    CHECK(pair.call(pair.b).status == 504);
    CHECK(pair.call(pair.a).field("Celeryline-Outcome") == "unknown");
    CHECK(pair.runner.requests().size() == 1);
}

TEST_CASE("Without a ledger a keyed request is not run, and repeatable ones still are", "[calls][claims]")
{
    EntryPair pair;
    pair.store.setHook([](const Command&, bool isApplied) {
        if (!isApplied) {
            throw Error(ErrorKind::Unavailable, "no leader", "wait");
        }
    });
    const auto response = pair.call(pair.a);
    CHECK(response.status == 503);
    CHECK(response.field("Celeryline-Outcome") == "not-run");
    CHECK(response.field("Retry-After") == "1");
    CHECK_FALSE(pair.runner.receivedBytes());
    TestClient client(pair.a.address());
    CHECK(client.call("PUT", "/call/intake/x", "b").status == 200);
}

TEST_CASE("If a grant is not confirmed in time, the request is not sent and the claim is released",
    "[calls][claims]")
{
    const bool isTimedOut = GENERATE(false, true);
    EntryPair pair;
    std::atomic<int> failingReleases { 2 };
    pair.store.setHook([&](const Command& command, bool isApplied) {
        if (isCommand(command, "claim-a-1-1") && command.id.size() == 11 && isApplied) {
            pause(isTimedOut ? 0 : 150);
            if (isTimedOut) {
                throw Error(ErrorKind::TimedOut, "no result in time", "send it again");
            }
        }
        if (isCommand(command, "end-a") && !isApplied && failingReleases-- > 0) {
            throw Error(ErrorKind::TimedOut, "no result in time", "send it again");
        }
    });
    const auto response = pair.call(pair.a, "body", 100);
    CHECK(response.status == 504);
    CHECK(response.field("Celeryline-Outcome") == "not-run");
    pause(50);
    CHECK_FALSE(pair.runner.receivedBytes());
    CHECK(pair.callUntilDone(pair.b).body == "body");
    CHECK(pair.runner.requests().size() == 1);
}

TEST_CASE("An outcome that can't be recorded immediately is recorded later", "[calls][claims]")
{
    EntryPair pair;
    std::atomic<int> failures { 3 };
    pair.store.setHook([&](const Command& command, bool isApplied) {
        if (isCommand(command, "end-") && !isApplied && failures-- > 0) {
            throw Error(ErrorKind::Unavailable, "no leader", "wait");
        }
    });
    CHECK(pair.call(pair.a).status == 200);
    CHECK(pair.call(pair.b).status == 409);
    CHECK(pair.callUntilDone(pair.b).body == "body");
    CHECK(pair.a.claims.backlog() == 0);
    CHECK(pair.runner.requests().size() == 1);
}

TEST_CASE("The claim of a request that no runner could serve is released, and a repeated request is run",
    "[calls][claims]")
{
    EntryPair pair;
    pair.fleet.changeUpstreams([](UpstreamSnapshot& view) { view.upstreams[0].draining = true; });
    CHECK(pair.call(pair.a).status == 503);
    CHECK(pair.call(pair.b).status == 200);
    CHECK(pair.runner.requests().size() == 1);
}

TEST_CASE("Many callers with one key at two instances cause one run", "[calls][claims]")
{
    EntryPair pair;
    std::vector<std::thread> callers;
    std::atomic<int> done { 0 };
    std::atomic<int> wrongOutcomes { 0 }; // Catch2 assertions must stay on one thread.
    for (int i = 0; i < 12; ++i) {
        callers.emplace_back([&, i] {
            const auto response = pair.call(i % 2 ? pair.a : pair.b);
            done += response.status == 200 && response.body == "body";
            wrongOutcomes += response.status != 200 && response.field("Celeryline-Outcome") != "unknown";
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(done >= 1);
    CHECK(wrongOutcomes == 0);
    CHECK(pair.runner.requests().size() == 1);
}
