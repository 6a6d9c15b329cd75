#include "celeryline/rpc/ControlLink.h"

#include "celeryline/consensus/VoterReplacement.h"
#include "celeryline/control/ControlTimes.h"
#include "celeryline/rpc/ControlServer.h"

#include "Relay.h"
#include "ReservedAddress.h"

#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace celeryline;
using celeryline::test::Relay;
using celeryline::test::ReservedAddress;

namespace {

constexpr Millis sendInterval { 20 };
/// Timeouts of the users of a link: consensus messages, introductions and forwarded requests.
constexpr Millis raftTimeout { 500 };
constexpr Millis introductionTimeout { 700 };
constexpr Millis forwardTimeout { 800 };
constexpr Millis connectTimeout { 300 };
constexpr Millis reconnectDelay { 100 };
/// Margin for a busy machine.
constexpr Millis margin { 200 };

/// Counts what a control process receives.
struct CountingControl final : ControlHandler {
    void onRaft(const RaftMessage& message) override { terms.push_back(message.term); }
    Introduction onIntroduction(const Introduction&) override
    {
        ++introductions;
        return {};
    }
    kj::Promise<ForwardedResponse> onForwarded(ForwardedRequest) override
    {
        ++forwarded;
        return answerForwarded();
    }

    std::size_t received() const { return terms.size() + introductions + forwarded; }

    std::function<kj::Promise<ForwardedResponse>()> answerForwarded
        = [] { return kj::Promise<ForwardedResponse>(ForwardedResponse {}); };
    std::vector<std::uint64_t> terms;
    std::size_t introductions = 0;
    std::size_t forwarded = 0;
};

RaftMessage raftMessage(std::uint64_t term)
{
    RaftMessage message;
    message.term = term;
    return message;
}

/// One kind of message on a link, and the time after which a silent connection is given up.
struct LinkUser {
    std::string name;
    Millis timeout;
    std::function<kj::Promise<void>(ControlLink&)> send;
};

std::vector<LinkUser> linkUsers()
{
    return {
        { "consensus message", raftTimeout,
            [](ControlLink& link) {
                link.sendRaft(raftMessage(1));
                return kj::Promise<void>(kj::READY_NOW);
            } },
        { "introduction", introductionTimeout,
            [](ControlLink& link) { return link.introduce({}, introductionTimeout).ignoreResult(); } },
        { "forwarded request", forwardTimeout,
            [](ControlLink& link) { return link.forward({}, forwardTimeout).ignoreResult(); } },
    };
}

/// An event loop and a link to an address behind which the test puts a relay, a server or nothing.
class LinkFixture : private kj::TaskSet::ErrorHandler {
public:
    LinkFixture()
        : link(timer(), network(), address.text())
        , m_tasks(*this)
    {
    }

    kj::Timer& timer() { return io.provider->getTimer(); }
    kj::Network& network() { return io.provider->getNetwork(); }

    Millis now() { return { (timer().now() - kj::origin<kj::TimePoint>()) / kj::MILLISECONDS }; }

    void runFor(Millis duration) { timer().afterDelay(duration.count * kj::MILLISECONDS).wait(io.waitScope); }

    /// Sends a message each sendInterval until a condition holds, for 10 s at most.
    /// @return the time until the condition held.
    template <typename Condition> Millis sendUntil(const LinkUser& user, Condition condition)
    {
        constexpr Millis limit { 10000 };
        const auto begin = now();
        while (!condition() && now() - begin < limit) {
            m_tasks.add(user.send(link));
            runFor(sendInterval);
        }
        return now() - begin;
    }

    /// Starts the control process behind a relay.
    void startRelayedServer()
    {
        server = std::make_unique<ControlServer>(timer(), network(), target.text(), control);
        relay = std::make_unique<Relay>(network(), address.text(), target.text());
        REQUIRE(link.introduce({}, introductionTimeout).wait(io.waitScope).hasResult);
    }

    kj::AsyncIoContext io = kj::setupAsyncIo();
    const ReservedAddress address;
    const ReservedAddress target;
    CountingControl control;
    std::unique_ptr<ControlServer> server;
    std::unique_ptr<Relay> relay;
    ControlLink link;

private:
    void taskFailed(kj::Exception&& exception) override { FAIL(exception.getDescription().cStr()); }

    kj::TaskSet m_tasks;
};

/// Listens without accepting and lets the queue of new connections be full, so that the kernel drops the
/// opening packet of each further connection.
class FullAcceptQueue {
public:
    explicit FullAcceptQueue(const std::string& address)
    {
        constexpr bool reuseAddress = true;
        constexpr int connectionsThatFill = 2;
        m_listener.bind(Poco::Net::SocketAddress(address), reuseAddress);
        m_listener.listen(0);
        for (int i = 0; i < connectionsThatFill; ++i) {
            m_clients.emplace_back();
            m_clients.back().connectNB(Poco::Net::SocketAddress(address));
        }
    }

private:
    Poco::Net::ServerSocket m_listener;
    std::vector<Poco::Net::StreamSocket> m_clients;
};

} // namespace

// Guards against a link that keeps a connection on which the peer has fallen silent: consensus messages,
// introductions and forwarded requests must each notice it by themselves.
TEST_CASE("Each user of a link gives up a silent connection and reaches the peer again", "[rpc]")
{
    for (const auto& user : linkUsers()) {
        INFO(user.name);
        LinkFixture f;
        f.startRelayedServer();
        f.relay->silence();
        CHECK(f.sendUntil(user, [&] { return f.relay->connections() > 1; }) <= user.timeout + margin);
        // The peer is back at the same address; the second connection fell silent as well.
        f.relay->forwardNewConnections();
        const auto before = f.control.received();
        const auto recovery = f.sendUntil(user, [&] { return f.control.received() > before; });
        CHECK(recovery <= user.timeout + reconnectDelay + margin);
    }
}

// Guards against a link that gives up a silent connection to a sound voter only after the leader counts the
// voter as lost: each such connection caused two changes of the voter set.
TEST_CASE("A link gives up a silent connection before the voter behind it is replaced", "[rpc]")
{
    const LinkUser user = linkUsers().front();
    LinkFixture f;
    f.startRelayedServer();
    f.relay->silence();
    f.relay->forwardNewConnections();
    const auto before = f.control.received();
    const auto recovery = f.sendUntil(user, [&] { return f.control.received() > before; });
    // The last heartbeat that was answered and the first one on the new connection are this far apart from
    // the silence.
    constexpr Millis heartbeats { 200 };
    CHECK((recovery + heartbeats).count < voterReplacementTimeout(controlElectionTimeout).count);
}

// Guards against a call that waits for its own long timeout although another call or a consensus message has
// already found the connection dead.
TEST_CASE("A connection that one user of a link finds dead fails the calls of the others", "[rpc]")
{
    constexpr Millis longTimeout { 6000 };
    for (const auto& user : linkUsers()) {
        INFO(user.name);
        LinkFixture f;
        f.startRelayedServer();
        f.relay->silence();
        auto failure = CallFailure::NotSent;
        bool hasEnded = false;
        auto waiting = f.link.forward({}, longTimeout)
                           .then([&](CallResult<ForwardedResponse>&& call) {
                               hasEnded = true;
                               failure = call.failure;
                           })
                           .eagerlyEvaluate(nullptr);
        CHECK(f.sendUntil(user, [&] { return hasEnded; }) <= user.timeout + margin);
        CHECK(failure == CallFailure::Unknown);
    }
}

// Guards against a request with little time left, of which there are many after an election: it closed the
// connection, and all other calls of the process failed with it although the leader would have answered.
TEST_CASE("A call with a short timeout doesn't fail the other calls", "[rpc]")
{
    constexpr Millis commitTime { 300 };
    constexpr Millis shortTimeout { 100 };
    LinkFixture f;
    f.startRelayedServer();
    f.control.answerForwarded = [&f] {
        return f.timer().afterDelay(commitTime.count * kj::MILLISECONDS).then([] {
            return ForwardedResponse {};
        });
    };
    auto patient = f.link.forward({}, forwardTimeout);
    auto hurried = f.link.forward({}, shortTimeout).wait(f.io.waitScope);
    CHECK_FALSE(hurried.hasResult);
    CHECK(hurried.failure == CallFailure::Unknown);
    CHECK(patient.wait(f.io.waitScope).hasResult);
    CHECK(f.relay->connections() == 1);
}

// Guards against a connection that is closed although its peer works and is only late: all that was in flight
// came again, and the peer was even later (issue 37).
TEST_CASE("A peer that responds after each call's timeout keeps its connection", "[rpc]")
{
    constexpr Millis responseTime { 450 };
    static constexpr Millis callTimeout { 400 };
    constexpr Millis duration { 2000 };
    const LinkUser impatient { "request", callTimeout,
        [](ControlLink& link) { return link.forward({}, callTimeout).ignoreResult(); } };
    LinkFixture f;
    f.startRelayedServer();
    f.control.answerForwarded = [&f] {
        return f.timer().afterDelay(responseTime.count * kj::MILLISECONDS).then([] {
            return ForwardedResponse {};
        });
    };
    const auto end = f.now() + duration;
    f.sendUntil(impatient, [&] { return f.now() >= end; });
    CHECK(f.relay->connections() == 1);
}

// Guards against a dead connection that is kept because each call on it has a short timeout.
TEST_CASE("Calls with short timeouts give up a silent connection together", "[rpc]")
{
    static constexpr Millis shortTimeout { 100 };
    constexpr Millis maxSilence { 500 };
    const LinkUser hurried { "short request", shortTimeout,
        [](ControlLink& link) { return link.forward({}, shortTimeout).ignoreResult(); } };
    LinkFixture f;
    f.startRelayedServer();
    f.relay->silence();
    const auto limit = maxSilence + shortTimeout + margin;
    CHECK(f.sendUntil(hurried, [&] { return f.relay->connections() > 1; }) <= limit);
    f.relay->forwardNewConnections();
    const auto before = f.control.received();
    CHECK(f.sendUntil(hurried, [&] { return f.control.received() > before; }) <= limit);
}

// Guards against consensus messages that pile up for a silent peer or reach it long after they were sent.
TEST_CASE("Consensus messages to a silent peer are limited and aren't delivered late", "[rpc]")
{
    constexpr std::uint64_t sent = 200;
    constexpr std::size_t maxInFlight = 64;
    LinkFixture f;
    f.startRelayedServer();
    f.relay->silence();
    for (std::uint64_t term = 1; term <= sent; ++term)
        f.link.sendRaft(raftMessage(term));

    SECTION("A peer that was silent for less than the timeout receives the oldest ones")
    {
        f.runFor({ 300 });
        f.relay->forwardAllConnections();
        f.runFor(margin);
        REQUIRE(f.control.terms.size() == maxInFlight);
        CHECK(f.control.terms.front() == 1);
        CHECK(f.control.terms.back() == maxInFlight);
        f.link.sendRaft(raftMessage(sent + 1));
        f.runFor(margin);
        CHECK(f.control.terms.back() == sent + 1);
    }
    SECTION("After the timeout none of them is sent on the next connection")
    {
        f.relay->forwardNewConnections();
        f.runFor(raftTimeout + margin);
        f.link.sendRaft(raftMessage(sent + 1));
        f.runFor(reconnectDelay + margin);
        CHECK(f.control.terms == std::vector<std::uint64_t> { sent + 1 });
    }
}

// Guards against a process whose attempts to connect hang until the kernel sends the opening packet again,
// and against messages of that time that reach the peer when it is back.
TEST_CASE("A peer that drops opening packets is reached soon after it accepts connections", "[rpc]")
{
    constexpr std::uint64_t sentMeanwhile = 40;
    LinkFixture f;
    auto full = std::make_unique<FullAcceptQueue>(f.address.text());
    for (std::uint64_t term = 1; term <= sentMeanwhile; ++term)
        f.link.sendRaft(raftMessage(term));
    auto begin = f.now();
    auto call = f.link.introduce({}, introductionTimeout).wait(f.io.waitScope);
    CHECK_FALSE(call.hasResult);
    CHECK(call.failure == CallFailure::NotSent);
    CHECK(f.now() - begin >= connectTimeout - margin);
    CHECK(f.now() - begin <= connectTimeout + margin);

    full.reset();
    f.server = std::make_unique<ControlServer>(f.timer(), f.network(), f.address.text(), f.control);
    const auto introduction = linkUsers().at(1);
    CHECK(f.sendUntil(introduction, [&] { return f.control.introductions > 0; })
        <= connectTimeout + reconnectDelay + margin);
    CHECK(f.control.terms.empty());
    f.link.sendRaft(raftMessage(sentMeanwhile + 1));
    f.runFor(margin);
    CHECK(f.control.terms == std::vector<std::uint64_t> { sentMeanwhile + 1 });
}

// Guards against an unlimited queue of consensus messages while a connection is being established.
TEST_CASE("The oldest consensus messages are sent once a connection is established", "[rpc]")
{
    constexpr std::uint64_t sent = 40;
    LinkFixture f;
    f.server = std::make_unique<ControlServer>(f.timer(), f.network(), f.address.text(), f.control);
    for (std::uint64_t term = 1; term <= sent; ++term)
        f.link.sendRaft(raftMessage(term));
    f.runFor(margin);
    std::vector<std::uint64_t> oldest;
    for (std::uint64_t term = 1; term <= 16; ++term)
        oldest.push_back(term);
    CHECK(f.control.terms == oldest);
}

// Guards against a link that stays unusable after its peer was restarted at the same address.
TEST_CASE("A peer that restarts at the same address is reached after the retry delay", "[rpc]")
{
    LinkFixture f;
    for (int start = 0; start < 3; ++start) {
        f.server = std::make_unique<ControlServer>(f.timer(), f.network(), f.address.text(), f.control);
        for (const auto& user : linkUsers()) {
            INFO(user.name);
            const auto before = f.control.received();
            CHECK(
                f.sendUntil(user, [&] { return f.control.received() > before; }) <= reconnectDelay + margin);
        }
        f.server.reset();
        CHECK_FALSE(f.link.introduce({}, introductionTimeout).wait(f.io.waitScope).hasResult);
    }
}

// Guards against an exception out of the link, which would end a process that has heard of such an address.
TEST_CASE("An address that can't be parsed is a peer that can't be reached", "[rpc]")
{
    LinkFixture f;
    for (const auto* address : { "", ":", "not an address", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999",
             "127.0.0.1:7060x", "1.2.3.4.5:6", "[::", "host.invalid:7060" }) {
        INFO(address);
        ControlLink link(f.timer(), f.network(), address);
        link.sendRaft(raftMessage(1));
        const auto begin = f.now();
        auto call = link.introduce({}, introductionTimeout).wait(f.io.waitScope);
        CHECK_FALSE(call.hasResult);
        CHECK(call.failure == CallFailure::NotSent);
        CHECK(f.now() - begin <= margin); // A lookup of a name would block the event loop.
    }
}
