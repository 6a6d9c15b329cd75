#include "celeryline/control/LeaderSearch.h"

#include "celeryline/rpc/ControlServer.h"

#include <Poco/Net/ServerSocket.h>
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace celeryline;

namespace {

constexpr Millis refuseAfter { 400 };
constexpr Millis longestForward { 1500 };
constexpr Millis longestOnceSent { 1900 };
/// Far below the 1.5 s for which a request waits for a leader; a busy machine delays this process, too.
constexpr Millis atOnce { 500 };
/// A try to connect, the pause and the step of the search, twice over for a busy machine.
constexpr Millis soonFound { 900 };

std::string freeAddress()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return "127.0.0.1:" + std::to_string(socket.address().port());
}

/// A stand-in for a control process.
struct StandInControl final : ControlHandler {
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

StandInControl leaderAt(const std::string& address)
{
    StandInControl leader;
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

/// An answer, and how long it took.
struct TimedAnswer {
    ForwardedResponse response;
    Millis waited;
};

/// The parts of an entry process that find the leader, on an event loop of the test.
class Entry {
public:
    explicit Entry(const std::vector<std::string>& seeds)
        : links(timer(), network())
        , client(links, seeds)
        , search(client, links, { { 500 }, { 100 }, refuseAfter })
    {
    }

    kj::Timer& timer() { return io.provider->getTimer(); }
    kj::Network& network() { return io.provider->getNetwork(); }

    void run(Millis length) { timer().afterDelay(length.count * kj::MILLISECONDS).wait(io.waitScope); }

    /// Lets the event loop run until something holds.
    /// @return how long it took.
    template <typename Condition> Millis runUntil(Condition condition)
    {
        constexpr Millis longest { 10000 };
        constexpr Millis step { 5 };
        Millis waited;
        for (; !condition() && waited < longest; waited = waited + step)
            run(step);
        return waited;
    }

    TimedAnswer ask(const std::string& method)
    {
        auto begin = timer().now();
        auto response
            = client.forward(makeRequest(method), longestForward, longestOnceSent).wait(io.waitScope);
        return { response, { (timer().now() - begin) / kj::MILLISECONDS } };
    }

    kj::AsyncIoContext io = kj::setupAsyncIo();
    ControlLinks links;
    LeaderClient client;
    LeaderSearch search;
};

void requireRefusedAtOnce(const TimedAnswer& answer)
{
    REQUIRE(answer.response.outcome == ForwardOutcome::NotLeading);
    REQUIRE(answer.response.retryAfter > Millis {});
    REQUIRE(answer.waited < atOnce);
}

} // namespace

// Guards against an entry process that holds each request for 1.5 s while it is cut off for seconds, and
// against one that needs a request to find the leader again.
TEST_CASE("Requests are refused at once while no control process answers, until one leads", "[control]")
{
    auto address = freeAddress();
    Entry entry({ address });
    REQUIRE_FALSE(entry.search.hasLeader());
    auto first = entry.ask("POST"); // The first requests wait for an election.
    REQUIRE(first.response.outcome == ForwardOutcome::NotLeading);
    REQUIRE(first.waited >= refuseAfter - longestSilenceStep);
    REQUIRE(first.waited < longestForward);
    requireRefusedAtOnce(entry.ask("POST"));
    requireRefusedAtOnce(entry.ask("GET"));

    auto leader = leaderAt(address);
    ControlServer server(entry.network(), address, leader);
    REQUIRE(entry.runUntil([&] { return entry.search.hasLeader(); }) <= soonFound);
    REQUIRE_FALSE(entry.client.isRefusing());
    REQUIRE(entry.ask("POST").response.status == 200);
}

// Guards against a control process that is frozen, or reached in one direction only, and delays the refusal
// or the questions to the others.
TEST_CASE("A control process that accepts connections and stays silent delays no other", "[control]")
{
    Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    auto address = freeAddress();
    Entry entry({ "127.0.0.1:" + std::to_string(silent.address().port()), "not an address", address });
    entry.run(refuseAfter + Millis { 200 });
    requireRefusedAtOnce(entry.ask("POST"));
    auto leader = leaderAt(address);
    ControlServer server(entry.network(), address, leader);
    REQUIRE(entry.runUntil([&] { return entry.search.hasLeader(); }) <= soonFound);
}

// Guards against requests that wait for a leader that a reachable follower names, but that can't be reached.
TEST_CASE("A leader that is named and never answers doesn't keep requests waiting", "[control]")
{
    auto address = freeAddress();
    auto gone = freeAddress();
    Entry entry({ address });
    auto follower = leaderAt(address);
    follower.introduction.leader = gone;
    follower.response.outcome = ForwardOutcome::NotLeading;
    follower.response.leader = gone;
    ControlServer server(entry.network(), address, follower);
    entry.run(refuseAfter + Millis { 200 });
    requireRefusedAtOnce(entry.ask("POST"));
    REQUIRE_FALSE(entry.search.hasLeader());

    auto leader = leaderAt(gone);
    ControlServer second(entry.network(), gone, leader);
    REQUIRE(entry.runUntil([&] { return entry.search.hasLeader(); }) <= soonFound);
    REQUIRE(entry.ask("POST").response.status == 200);
}

// Guards against 503 for a request that may have been carried out, which its caller would take as not done.
TEST_CASE("A request that may have been carried out isn't refused while no leader answers", "[control]")
{
    auto address = freeAddress();
    Entry entry({ address });
    auto control = leaderAt(address);
    control.introduction.leader = "";
    control.response.outcome = ForwardOutcome::Unknown;
    ControlServer server(entry.network(), address, control);
    auto answer = entry.ask("POST");
    REQUIRE(answer.response.outcome == ForwardOutcome::Unknown);
    REQUIRE(answer.waited > longestForward);
    auto tries = control.forwarded;
    requireRefusedAtOnce(entry.ask("POST"));
    REQUIRE(control.forwarded == tries); // What is refused was sent to nobody.
}

// Guards against a process that refuses or isn't ready while its leader answers.
TEST_CASE("Nothing is refused while a leader answers", "[control]")
{
    auto address = freeAddress();
    Entry entry({ address });
    auto leader = leaderAt(address);
    auto server = std::make_unique<ControlServer>(entry.network(), address, leader);
    entry.run(refuseAfter + refuseAfter + refuseAfter);
    REQUIRE(entry.search.hasLeader());
    REQUIRE_FALSE(entry.client.isRefusing());
    // Resets the connections.
    server.reset();
    REQUIRE(entry.runUntil([&] { return !entry.search.hasLeader(); }) <= soonFound);
    REQUIRE(entry.runUntil([&] { return entry.client.isRefusing(); }) <= refuseAfter + soonFound);
    requireRefusedAtOnce(entry.ask("DELETE"));
}
