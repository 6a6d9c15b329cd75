#include "celeryline/control/LeaderSearch.h"

#include "celeryline/rpc/ControlServer.h"

#include "ReservedAddress.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace celeryline;
using celeryline::test::ReservedAddress;

namespace {

constexpr Millis refuseAfter { 400 };
constexpr Millis forwardTimeout { 1500 };
constexpr Millis forwardTimeoutOnceSent { 1900 };
/// Far below the 1.5 s for which a request waits for a leader, with a margin for a busy machine.
constexpr Millis maxRefusalTime { 500 };
/// Twice the sum of a connection attempt, the retry delay and the step of the search; the factor is a margin
/// for a busy machine.
constexpr Millis maxSearchTime { 900 };

/// A control process with configurable responses.
struct FakeControl final : ControlHandler {
    void onRaft(const RaftMessage&) override { }
    Introduction onIntroduction(const Introduction&) override { return introduction; }
    kj::Promise<ForwardedResponse> onForwarded(ForwardedRequest) override
    {
        ++forwarded;
        return response;
    }

    Introduction introduction;
    ForwardedResponse response;
    int forwarded = 0;
};

FakeControl makeLeader(const std::string& address)
{
    FakeControl leader;
    leader.introduction.address = address;
    leader.introduction.leader = address;
    leader.response.status = 200;
    return leader;
}

ForwardedRequest makeRequest(const std::string& method)
{
    ForwardedRequest request;
    request.method = method;
    request.target = "/x";
    return request;
}

/// A response with its latency.
struct TimedResponse {
    ForwardedResponse response;
    Millis latency;
};

/// The components of an entry process that find the leader, on the test's event loop.
class EntryFixture {
public:
    explicit EntryFixture(const std::vector<std::string>& seeds)
        : links(timer(), network())
        , client(links, seeds)
        , search(client, links, { { 500 }, { 100 }, refuseAfter })
    {
    }

    kj::Timer& timer() { return io.provider->getTimer(); }
    kj::Network& network() { return io.provider->getNetwork(); }

    void runFor(Millis duration) { timer().afterDelay(duration.count * kj::MILLISECONDS).wait(io.waitScope); }

    /// Runs the event loop until a condition holds, for 10 s at most.
    /// @return the time until the condition held.
    template <typename Condition> Millis runUntil(Condition condition)
    {
        constexpr Millis limit { 10000 };
        constexpr Millis step { 5 };
        Millis latency;
        for (; !condition() && latency < limit; latency = latency + step)
            runFor(step);
        return latency;
    }

    TimedResponse send(const std::string& method)
    {
        auto begin = timer().now();
        auto response
            = client.forward(makeRequest(method), forwardTimeout, forwardTimeoutOnceSent).wait(io.waitScope);
        return { response, { (timer().now() - begin) / kj::MILLISECONDS } };
    }

    kj::AsyncIoContext io = kj::setupAsyncIo();
    ControlLinks links;
    LeaderClient client;
    LeaderSearch search;
};

void requireRefusedImmediately(const TimedResponse& timed)
{
    REQUIRE(timed.response.outcome == ForwardOutcome::NotLeading);
    REQUIRE(timed.response.retryAfter > Millis {});
    REQUIRE(timed.latency < maxRefusalTime);
}

} // namespace

// Guards against an entry process that delays each request by 1.5 s while it is disconnected for seconds, and
// against one that finds the leader again only when a request arrives.
TEST_CASE("Requests are refused immediately while no control process responds, until there is a leader",
    "[control]")
{
    const ReservedAddress reserved;
    const auto& address = reserved.text();
    EntryFixture entry({ address });
    REQUIRE_FALSE(entry.search.hasLeader());
    auto first = entry.send("POST"); // The first requests wait as long as an election may take.
    REQUIRE(first.response.outcome == ForwardOutcome::NotLeading);
    REQUIRE(first.latency >= refuseAfter - maxResponseTimerStep);
    REQUIRE(first.latency < forwardTimeout);
    requireRefusedImmediately(entry.send("POST"));
    requireRefusedImmediately(entry.send("GET"));

    auto leader = makeLeader(address);
    ControlServer server(entry.timer(), entry.network(), address, leader);
    REQUIRE(entry.runUntil([&] { return entry.search.hasLeader(); }) <= maxSearchTime);
    REQUIRE_FALSE(entry.client.isRefusing());
    REQUIRE(entry.send("POST").response.status == 200);
}

// Guards against a control process that delays refusals or the queries to other processes because it is
// frozen or reachable in one direction only.
TEST_CASE(
    "A control process that accepts connections but never responds doesn't delay the others", "[control]")
{
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    const ReservedAddress reserved;
    const auto& address = reserved.text();
    EntryFixture entry({ "127.0.0.1:" + std::to_string(silent.address().port()), "not an address", address });
    entry.runFor(refuseAfter + Millis { 200 });
    requireRefusedImmediately(entry.send("POST"));
    auto leader = makeLeader(address);
    ControlServer server(entry.timer(), entry.network(), address, leader);
    REQUIRE(entry.runUntil([&] { return entry.search.hasLeader(); }) <= maxSearchTime);
}

// Guards against requests that wait for an unreachable leader because a reachable follower reports it.
TEST_CASE("A leader that is reported but never responds doesn't delay requests", "[control]")
{
    const ReservedAddress reserved;
    const auto& address = reserved.text();
    const ReservedAddress reservedUnreachable;
    const auto& unreachable = reservedUnreachable.text();
    EntryFixture entry({ address });
    auto follower = makeLeader(address);
    follower.introduction.leader = unreachable;
    follower.response.outcome = ForwardOutcome::NotLeading;
    follower.response.leader = unreachable;
    ControlServer server(entry.timer(), entry.network(), address, follower);
    entry.runFor(refuseAfter + Millis { 200 });
    requireRefusedImmediately(entry.send("POST"));
    REQUIRE_FALSE(entry.search.hasLeader());

    auto leader = makeLeader(unreachable);
    ControlServer second(entry.timer(), entry.network(), unreachable, leader);
    REQUIRE(entry.runUntil([&] { return entry.search.hasLeader(); }) <= maxSearchTime);
    REQUIRE(entry.send("POST").response.status == 200);
}

// Guards against a search that queries malformed addresses for as long as the process runs.
TEST_CASE("Malformed addresses in responses aren't queried", "[control]")
{
    const ReservedAddress reserved;
    const auto& address = reserved.text();
    EntryFixture entry({ address });
    auto follower = makeLeader(address);
    follower.introduction.leader = "not an address";
    follower.introduction.members = { "10.0.0.1", "", address };
    ControlServer server(entry.timer(), entry.network(), address, follower);
    entry.runFor(refuseAfter);
    REQUIRE(entry.client.addresses() == std::vector<std::string> { address });
    REQUIRE(entry.client.leader().empty());
}

// Guards against status 503 for a request that may have been executed, which tells the caller that it wasn't.
TEST_CASE("A request that may have been executed isn't refused while no leader responds", "[control]")
{
    const ReservedAddress reserved;
    const auto& address = reserved.text();
    EntryFixture entry({ address });
    auto control = makeLeader(address);
    control.introduction.leader = "";
    control.response.outcome = ForwardOutcome::Unknown;
    ControlServer server(entry.timer(), entry.network(), address, control);
    auto timed = entry.send("POST");
    REQUIRE(timed.response.outcome == ForwardOutcome::Unknown);
    REQUIRE(timed.latency > forwardTimeout);
    auto tries = control.forwarded;
    requireRefusedImmediately(entry.send("POST"));
    REQUIRE(control.forwarded == tries); // Refused requests aren't sent.
}

// Guards against status 401 for a job that an earlier attempt has submitted: its key was removed in the
// meantime, and the caller would take it for not accepted.
TEST_CASE("A request that may have been executed isn't reported as rejected", "[control]")
{
    const ReservedAddress reserved;
    const auto& address = reserved.text();
    EntryFixture entry({ address });
    auto control = makeLeader(address);
    control.response.status = 401;
    ControlServer server(entry.timer(), entry.network(), address, control);
    REQUIRE(entry.send("POST").response.status == 401);
    auto sendAfterUnknownOutcome = [&entry](const std::string& method) {
        return entry.client.forward(makeRequest(method), forwardTimeout, forwardTimeoutOnceSent, true)
            .wait(entry.io.waitScope);
    };
    for (auto status : { 401, 403, 404, 409 }) {
        control.response.status = static_cast<std::uint16_t>(status);
        REQUIRE(sendAfterUnknownOutcome("POST").outcome == ForwardOutcome::Unknown);
        REQUIRE(sendAfterUnknownOutcome("DELETE").outcome == ForwardOutcome::Unknown);
        REQUIRE(sendAfterUnknownOutcome("GET").outcome == ForwardOutcome::Answered);
    }
    control.response.status = 200;
    REQUIRE(sendAfterUnknownOutcome("POST").outcome == ForwardOutcome::Answered);
}

// Guards against a process that refuses requests or isn't ready although its leader responds.
TEST_CASE("No request is refused while a leader responds", "[control]")
{
    const ReservedAddress reserved;
    const auto& address = reserved.text();
    EntryFixture entry({ address });
    auto leader = makeLeader(address);
    auto server = std::make_unique<ControlServer>(entry.timer(), entry.network(), address, leader);
    entry.runFor(refuseAfter + refuseAfter + refuseAfter);
    REQUIRE(entry.search.hasLeader());
    REQUIRE_FALSE(entry.client.isRefusing());
    // Closes the connections.
    server.reset();
    REQUIRE(entry.runUntil([&] { return !entry.search.hasLeader(); }) <= maxSearchTime);
    REQUIRE(entry.runUntil([&] { return entry.client.isRefusing(); }) <= refuseAfter + maxSearchTime);
    requireRefusedImmediately(entry.send("DELETE"));
}
