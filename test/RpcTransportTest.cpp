#include "celeryline/rpc/RpcTransport.h"

#include "celeryline/base/Error.h"
#include "celeryline/rpc/PeerServer.h"

#include "DescriptorLimit.h"
#include "RawConnection.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <future>
#include <mutex>
#include <thread>

using namespace celeryline;
using Catch::Matchers::Contains;
using celeryline::test::DescriptorLimit;
using celeryline::test::RawClient;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

const std::string token = "0123456789abcdef";
/// Limit of what ends earlier unless a test fails.
constexpr milliseconds generousTimeout { 10000 };

/// Records received messages and calls.
class RecordingHandler final : public PeerHandler {
public:
    void onRaft(RaftMessage message) override
    {
        std::lock_guard<std::mutex> lock(mutex);
        terms.push_back(message.term);
    }
    void onDelta(RegistryDelta delta) override { sequence = delta.firstSequence; }
    void onHeartbeat(const Heartbeat& heartbeat) override
    {
        revision = heartbeat.appliedRevision;
        ++heartbeats;
    }
    CommandResult onSubmit(const Command& command) override
    {
        if (command.body == "conflict") {
            throw Error(ErrorKind::Conflict, "pool \"x\" was changed", "read it again");
        }
        if (command.body == "slow") {
            std::this_thread::sleep_for(milliseconds(400));
        }
        if (command.body == "held") {
            waitUntilReleased();
        }
        ++submits;
        return { true, ErrorKind::InvalidInput, "did " + command.id, 7 };
    }
    RegistryDelta onFullCopy() override { return { "b", 1, 5, true, {} }; }
    CreditGrant onCreditRequest(const CreditRequest& request) override
    {
        return { { { "r1", 1, request.wanted } }, { 500 } };
    }
    Hello onHello(const Hello& hello) override { return { "b", "s-" + hello.storageId, true, "" }; }

    /// @return the number of submits with the body "held" that are in progress.
    int heldSubmits()
    {
        std::lock_guard<std::mutex> lock(mutex);
        return m_heldSubmits;
    }

    /// Lets the held submits return.
    void release()
    {
        std::lock_guard<std::mutex> lock(mutex);
        m_isReleased = true;
        m_released.notify_all();
    }

    std::size_t count()
    {
        std::lock_guard<std::mutex> lock(mutex);
        return terms.size();
    }

    std::mutex mutex;
    std::vector<std::uint64_t> terms;
    std::atomic<std::uint64_t> sequence { 0 };
    std::atomic<std::uint64_t> revision { 0 };
    std::atomic<int> heartbeats { 0 };
    std::atomic<int> submits { 0 };

private:
    void waitUntilReleased()
    {
        std::unique_lock<std::mutex> lock(mutex);
        ++m_heldSubmits;
        m_released.wait_for(lock, generousTimeout, [this] { return m_isReleased; });
        --m_heldSubmits;
    }

    std::condition_variable m_released;
    int m_heldSubmits = 0;
    bool m_isReleased = false;
};

std::string loopbackAddress(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

RpcOptions optionsFor(std::uint16_t port, const std::string& presented = token)
{
    return { "a", presented, { { "b", "dc1", "", loopbackAddress(port) } }, { 300 } };
}

template <typename Condition> bool eventually(Condition condition, milliseconds limit = milliseconds(3000))
{
    auto end = steady_clock::now() + limit;
    while (!condition() && steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    return condition();
}

template <typename Call> Error errorOf(Call call)
{
    try {
        call();
    } catch (const Error& e) {
        return e;
    }
    return { ErrorKind::Corrupt, "no error", "" };
}

milliseconds elapsedSince(steady_clock::time_point start)
{
    return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
}

struct Fixture {
    Fixture() { server.start(); }

    RecordingHandler handler;
    PeerServer server { "127.0.0.1:0", token, handler };
};

/// @return whether the receiver closes or resets the connection after these bytes.
bool isClosedAfter(const std::string& address, const std::string& bytes)
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(address) };
    socket.setReceiveTimeout(Poco::Timespan(2, 0));
    try {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        socket.shutdownSend();
        std::array<char, 512> answer {};
        while (socket.receiveBytes(answer.data(), static_cast<int>(answer.size())) > 0) { }
    } catch (const Poco::TimeoutException&) {
        return false;
    } catch (const Poco::Net::NetException&) {
        return true; // The connection was reset.
    }
    return true;
}

/// Accepts connections and never reads from them.
class SilentPeer {
public:
    SilentPeer()
        : m_thread([this] {
            while (!m_isStopping) {
                if (m_socket.poll(Poco::Timespan(10000), Poco::Net::Socket::SELECT_READ)) {
                    m_accepted.push_back(m_socket.acceptConnection());
                    ++connections;
                }
            }
        })
    {
    }
    ~SilentPeer()
    {
        m_isStopping = true;
        m_thread.join();
    }
    std::uint16_t port() const { return m_socket.address().port(); }

    std::atomic<int> connections { 0 };

private:
    Poco::Net::ServerSocket m_socket { Poco::Net::SocketAddress("127.0.0.1:0") };
    std::vector<Poco::Net::StreamSocket> m_accepted;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

} // namespace

TEST_CASE("Every method reaches the peer's handler", "[rpc]")
{
    Fixture f;
    RpcTransport transport(optionsFor(f.server.port()));
    CHECK(transport.submit("b", { CommandKind::Fleet, "c1", "x" }, { 2000 }).body == "did c1");
    CHECK(transport.fullCopy("b", { 2000 }).firstSequence == 5);
    CHECK(transport.requestCredits("b", { "a", 1, "intake", 3, {} }, { 2000 }).lent.at(0).slots == 3);
    CHECK(transport.hello("b", { "a", "7", false, "" }, { 2000 }).storageId == "s-7");
    for (std::uint64_t term = 1; term <= 100; ++term) {
        RaftMessage message;
        message.term = term;
        transport.sendRaft("b", message);
    }
    transport.sendDelta("b", { "a", 1, 42, false, {} });
    transport.sendHeartbeat("b", { "a", "dc1", 1, 9, "", 0, false });
    CHECK(eventually([&] { return f.handler.revision == 9 && f.handler.sequence == 42; }));
    std::vector<std::uint64_t> inOrder;
    for (std::uint64_t term = 1; term <= 100; ++term) {
        inOrder.push_back(term);
    }
    CHECK(f.handler.terms == inOrder);
}

TEST_CASE("An error of the handler reaches the caller with its kind", "[rpc]")
{
    Fixture f;
    RpcTransport transport(optionsFor(f.server.port()));
    auto error = errorOf([&] { transport.submit("b", { CommandKind::Fleet, "c", "conflict" }, { 2000 }); });
    CHECK(error.kind() == ErrorKind::Conflict);
    CHECK(std::string(error.what()) == "pool \"x\" was changed; read it again");
    CHECK(errorOf([&] { transport.fullCopy("nobody", { 100 }); }).kind() == ErrorKind::Unavailable);
}

TEST_CASE("A wrong peer token is rejected and no call is executed", "[rpc]")
{
    Fixture f;
    RpcTransport transport(optionsFor(f.server.port(), "fedcba9876543210"));
    auto error = errorOf([&] { transport.submit("b", { CommandKind::Fleet, "c", "x" }, { 2000 }); });
    CHECK(error.kind() == ErrorKind::Refused);
    CHECK_THAT(error.what(), Contains("peerTokenFile"));
    transport.sendHeartbeat("b", { "a", "dc1", 1, 9, "", 0, false });
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(f.handler.submits == 0);
    CHECK(f.handler.heartbeats == 0);
}

TEST_CASE("A peer that is down is reported immediately and reached again after a restart", "[rpc]")
{
    RecordingHandler handler;
    std::uint16_t port = 0;
    {
        PeerServer server("127.0.0.1:0", token, handler);
        server.start();
        port = server.port();
        RpcTransport transport(optionsFor(port));
        transport.fullCopy("b", { 2000 });
        server.stop();
        auto start = steady_clock::now();
        auto error = errorOf([&] { transport.fullCopy("b", { 2000 }); });
        CHECK((error.kind() == ErrorKind::Unavailable || error.kind() == ErrorKind::TimedOut));
        CHECK(elapsedSince(start) < milliseconds(1500));
        PeerServer again(loopbackAddress(port), token, handler);
        again.start();
        auto heartbeatArrives = [&] {
            transport.sendHeartbeat("b", { "a", "dc1", 1, 9, "", 0, false });
            return handler.heartbeats > 0;
        };
        CHECK(eventually(heartbeatArrives));
        CHECK(transport.fullCopy("b", { 2000 }).firstSequence == 5);
    }
}

TEST_CASE("A peer that accepts and never answers blocks only its own calls", "[rpc]")
{
    Fixture f;
    SilentPeer silent;
    auto options = optionsFor(f.server.port());
    options.peers.push_back({ "silent", "dc1", "", loopbackAddress(silent.port()) });
    RpcTransport transport(options);
    auto blocked = std::async(std::launch::async, [&] {
        auto start = steady_clock::now();
        auto kind = errorOf([&] {
            transport.submit("silent", { CommandKind::Fleet, "c", "x" }, { 1000 });
        }).kind();
        return std::make_pair(kind, elapsedSince(start));
    });
    RaftMessage large;
    large.snapshotChunk = std::string(1 << 20, 'x');
    milliseconds longest { 0 };
    for (int i = 0; i < 200; ++i) {
        auto start = steady_clock::now();
        transport.sendRaft("silent", large);
        transport.sendHeartbeat("silent", {});
        longest = std::max(longest, elapsedSince(start));
    }
    CHECK(longest < milliseconds(100));
    auto start = steady_clock::now();
    CHECK(transport.submit("b", { CommandKind::Fleet, "c1", "x" }, { 2000 }).accepted);
    CHECK(elapsedSince(start) < milliseconds(250));
    auto [kind, time] = blocked.get();
    CHECK(kind == ErrorKind::Unavailable); // The peer token was not confirmed, so the command was not sent.
    CHECK(time < milliseconds(1200));
    CHECK(eventually([&] {
        transport.sendHeartbeat("silent", {});
        return silent.connections > 1; // The connection was reopened after the deadline.
    }));
}

TEST_CASE("A call that misses its deadline may have been executed, and the connection is reopened", "[rpc]")
{
    Fixture f;
    RpcTransport transport(optionsFor(f.server.port()));
    transport.fullCopy("b", { 2000 });
    auto error = errorOf([&] { transport.submit("b", { CommandKind::Fleet, "c", "slow" }, { 100 }); });
    CHECK(error.kind() == ErrorKind::TimedOut);
    CHECK(transport.fullCopy("b", { 2000 }).firstSequence == 5);
    CHECK(eventually([&] { return f.handler.submits == 1; }));
}

// Guards against submits that wait for one another or hold up other calls. The submits are held in the
// handler instead of measured, because the scheduler of a busy machine can delay 20 threads by any time.
TEST_CASE("Slow submits don't block other calls", "[rpc]")
{
    constexpr int count = 20;
    Fixture f;
    RpcTransport transport(optionsFor(f.server.port()));
    std::vector<std::future<CommandResult>> slow;
    slow.reserve(count);
    for (int i = 0; i < count; ++i) {
        slow.push_back(std::async(std::launch::async, [&transport, i] {
            return transport.submit(
                "b", { CommandKind::Fleet, std::to_string(i), "held" }, { generousTimeout.count() });
        }));
    }
    CHECK(eventually([&] { return f.handler.heldSubmits() == count; })); // They are processed concurrently.
    CHECK(transport.fullCopy("b", { 2000 }).firstSequence == 5);
    CHECK(f.handler.heldSubmits() == count);
    f.handler.release();
    for (std::size_t i = 0; i < slow.size(); ++i) {
        CHECK(slow[i].get().body == "did " + std::to_string(i)); // Responses match their requests.
    }
}

TEST_CASE("A graceful stop waits for submits in progress", "[rpc]")
{
    Fixture f;
    RpcTransport transport(optionsFor(f.server.port()));
    transport.fullCopy("b", { 2000 });
    auto slow = std::async(std::launch::async, [&] {
        return transport.submit("b", { CommandKind::Fleet, "c", "slow" }, { 2000 });
    });
    std::this_thread::sleep_for(milliseconds(100));
    f.server.stop();
    CHECK(slow.get().body == "did c");
}

TEST_CASE("Stopping the transport ends pending calls", "[rpc]")
{
    SilentPeer silent;
    RpcOptions options { "a", token, { { "b", "dc1", "", loopbackAddress(silent.port()) } }, { 5000 } };
    RpcTransport transport(options);
    auto waiting = std::async(
        std::launch::async, [&] { return errorOf([&] { transport.fullCopy("b", { 5000 }); }).kind(); });
    std::this_thread::sleep_for(milliseconds(50));
    auto start = steady_clock::now();
    transport.stop();
    CHECK(waiting.get() == ErrorKind::Unavailable);
    CHECK(elapsedSince(start) < milliseconds(1000));
    CHECK(errorOf([&] { transport.fullCopy("b", { 100 }); }).kind() == ErrorKind::Unavailable);
}

TEST_CASE("Malformed input on the peer port closes only its own connection", "[rpc]")
{
    Fixture f;
    RpcTransport transport(optionsFor(f.server.port()));
    const std::vector<std::string> malformedInputs { std::string("\xff\xff\xff\xff", 4),
        std::string("\x03\0\0\0\xff\xff\xff", 7), std::string("\x08\0\0\0\x55\x01\x02\x03\x04\0\0\0", 12),
        std::string(4, '\0'), "GET / HTTP/1.1\r\n\r\n", std::string("\x02\0\0\0\0\xff", 6) };
    for (const auto& bytes : malformedInputs) {
        CHECK(isClosedAfter(loopbackAddress(f.server.port()), bytes));
        CHECK(transport.fullCopy("b", { 2000 }).firstSequence == 5);
    }
}

// Guards against a process that never accepts a connection again after it was out of descriptors for a
// moment.
TEST_CASE("The peer port accepts connections again after descriptors ran out", "[rpc]")
{
    constexpr milliseconds shortage { 300 };
    Fixture f;
    RpcTransport transport(optionsFor(f.server.port()));
    RawClient waiting(loopbackAddress(f.server.port())); // Needs its descriptor before the shortage.
    {
        const DescriptorLimit none(0);
        waiting.connect();
        std::this_thread::sleep_for(shortage);
    }
    std::this_thread::sleep_for(shortage);
    CHECK(transport.fullCopy("b", { 2000 }).firstSequence == 5);
}

TEST_CASE("Heartbeats of an idle pair stay far below the bandwidth limit", "[rpc]")
{
    Fixture f;
    RpcTransport transport(optionsFor(f.server.port()));
    Heartbeat heartbeat { "cellar-a-1", "cellar-a", 1764825000000, 10000, "packhouse-1", 500, false };
    transport.sendHeartbeat("b", heartbeat);
    REQUIRE(eventually([&] { return f.handler.heartbeats == 1; }));
    auto before = transport.traffic("b");
    constexpr int count = 40;
    for (int i = 0; i < count; ++i) {
        transport.sendHeartbeat("b", heartbeat);
        REQUIRE(eventually([&] { return f.handler.heartbeats == i + 2; }));
    }
    std::this_thread::sleep_for(milliseconds(50));
    auto after = transport.traffic("b");
    auto bytes = (after.sent - before.sent + after.received - before.received) / count;
    INFO("payload bytes per acknowledged heartbeat: " << bytes);
    // 4 heartbeats per second in each direction must use less than 2 KB/s of a node's 18 KB/s per peer.
    CHECK(bytes > 0);
    CHECK(bytes * 8 < 2048);
}
