#include "celeryline/rpc/PeerMonitor.h"

#include "celeryline/base/Error.h"
#include "celeryline/rpc/PeerServer.h"
#include "celeryline/rpc/RegistrySync.h"
#include "celeryline/rpc/RpcTransport.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <thread>

using namespace celeryline;
using std::chrono::milliseconds;

namespace {

/// Counts heartbeats instead of sending them.
class CountingTransport final : public PeerTransport {
public:
    void sendRaft(const std::string&, RaftMessage) override { }
    void sendDelta(const std::string&, RegistryDelta) override { }
    void sendHeartbeat(const std::string& peer, const Heartbeat&) override
    {
        ++(peer == "near" ? nearCount : farCount);
    }
    CommandResult submit(const std::string&, const Command&, Millis) override { return {}; }
    RegistryDelta fullCopy(const std::string&, Millis) override { return {}; }
    CreditGrant requestCredits(const std::string&, const CreditRequest&, Millis) override { return {}; }
    Hello hello(const std::string&, const Hello&, Millis) override { return {}; }

    std::atomic<int> nearCount { 0 };
    std::atomic<int> farCount { 0 };
};

/// Entry instance with an upstream registry that uses real sockets.
class TestInstance final : public PeerHandler {
public:
    TestInstance(const std::string& instanceName, const std::string& peer, std::uint64_t epoch)
        : m_name(instanceName)
        , m_peer(peer)
        , m_epoch(epoch)
        , registry({ instanceName, epoch, { peer }, { 600 } }, clock.now())
        , server("127.0.0.1:0", "", *this)
    {
        server.start();
    }

    ~TestInstance() override { stop(); }

    void connect(std::uint16_t port)
    {
        RpcOptions options { m_name, "", { { m_peer, "dc1", "", "127.0.0.1:" + std::to_string(port) } },
            { 300 } };
        m_transport = std::make_unique<RpcTransport>(options);
        m_monitor = std::make_unique<PeerMonitor>(
            PeerMonitorOptions { { m_peer }, { 50 }, { 600 }, {} }, *m_transport, clock, [this] {
                Heartbeat heartbeat;
                heartbeat.name = m_name;
                heartbeat.bootEpoch = m_epoch;
                heartbeat.deltaSequence = registry.sentSequence();
                return heartbeat;
            });
        m_sync = std::make_unique<RegistrySync>(
            registry, std::vector<std::string> { m_peer }, *m_transport, clock);
        m_monitor->start();
        m_sync->start();
    }

    void stop()
    {
        if (m_transport) {
            m_sync->stop();
            m_monitor->stop();
            m_transport->stop();
        }
        server.stop();
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto& upstream : registry.upstreams()->upstreams) {
            result.push_back(upstream.name);
        }
        return result;
    }

    void onRaft(RaftMessage) override { }
    void onDelta(RegistryDelta delta) override { registry.applyDelta(delta, clock.now()); }
    void onHeartbeat(const Heartbeat& heartbeat) override { registry.noteHeartbeat(heartbeat, clock.now()); }
    CommandResult onSubmit(const Command&) override { return {}; }
    RegistryDelta onFullCopy() override { return registry.fullCopy(); }
    CreditGrant onCreditRequest(const CreditRequest&) override { return {}; }
    Hello onHello(const Hello& hello) override { return hello; }

private:
    const std::string m_name;
    const std::string m_peer;
    const std::uint64_t m_epoch;

public:
    SystemClock clock;
    UpstreamRegistry registry;
    PeerServer server;

private:
    std::unique_ptr<RpcTransport> m_transport;
    std::unique_ptr<PeerMonitor> m_monitor;
    std::unique_ptr<RegistrySync> m_sync;
};

Announcement runner(const std::string& name, Millis lease)
{
    Announcement a;
    a.name = name;
    a.bootEpoch = 1;
    a.lease = lease;
    return a;
}

template <typename Condition> bool within(milliseconds limit, Condition condition)
{
    auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    return condition();
}

using Names = std::vector<std::string>;

} // namespace

TEST_CASE("Peers without recent heartbeats are not live, but their revision still counts", "[monitor]")
{
    CountingTransport transport;
    ManualClock clock;
    PeerMonitor monitor(
        { { "b", "c" }, { 250 }, { 2000 }, { "c" } }, transport, clock, [] { return Heartbeat {}; });
    CHECK_FALSE(monitor.peer("b").isLive);
    clock.advance({ 100 });
    monitor.recordHeartbeat({ "b", "dc1", 1, 50, "c", 0, false });
    monitor.recordHeartbeat({ "c", "dc2", 1, 40, "b", 0, true });
    monitor.recordHeartbeat({ "stranger", "dc2", 1, 90, "x", 0, false });
    CHECK(monitor.peer("b").isLive);
    CHECK(monitor.peer("c").heartbeat.draining);
    CHECK(monitor.leaderHint() == "c");
    clock.advance({ 1999 });
    CHECK(monitor.peer("b").isLive);
    clock.advance({ 1 });
    CHECK_FALSE(monitor.peer("b").isLive);
    CHECK(monitor.peer("c").isLive); // Longer timeout, because it is in another data centre.
    CHECK(monitor.leaderHint() == "b");
    clock.advance({ 2000 });
    CHECK(monitor.leaderHint().empty());
    CHECK(monitor.highestRevision() == 50);
    CHECK(monitor.peers().size() == 2);
}

TEST_CASE("Instances in other data centres get fewer heartbeats, but changes immediately", "[monitor]")
{
    CountingTransport transport;
    ManualClock clock;
    std::atomic<std::uint64_t> revision { 0 };
    PeerMonitor monitor({ { "near", "far" }, { 10 }, { 2000 }, { "far" } }, transport, clock, [&] {
        Heartbeat heartbeat;
        heartbeat.appliedRevision = revision;
        return heartbeat;
    });
    monitor.start();
    CHECK(within(milliseconds(3000), [&] { return transport.nearCount >= 16; }));
    CHECK(transport.farCount >= 4);
    CHECK(transport.farCount <= transport.nearCount / 4 + 2);
    // A new revision must be sent to all peers within one interval.
    for (revision = 1; revision <= 20; ++revision) {
        int before = transport.nearCount;
        within(milliseconds(3000), [&] { return transport.nearCount >= before + 2; });
    }
    monitor.stop();
    CHECK(transport.farCount >= 20);
}

TEST_CASE("Registries synchronise over sockets and converge again after a restart", "[monitor]")
{
    auto a = std::make_unique<TestInstance>("a", "b", 1);
    TestInstance b("b", "a", 1);
    a->connect(b.server.port());
    b.connect(a->server.port());
    a->registry.announce(runner("r1", { 1500 }), a->clock.now());
    a->registry.announce(runner("r2", { 1500 }), a->clock.now());
    CHECK(within(milliseconds(1000), [&] { return b.names() == Names { "r1", "r2" }; }));
    a->registry.leave("r2", 0, a->clock.now());
    CHECK(within(milliseconds(1000), [&] { return b.names() == Names { "r1" }; })); // The limit is 2 s.

    // A restarted peer gets earlier changes through a full copy. b can't connect to it: its port changed.
    a->stop();
    auto restarted = std::make_unique<TestInstance>("a", "b", 2);
    restarted->connect(b.server.port());
    restarted->registry.announce(runner("r3", { 60000 }), restarted->clock.now());
    CHECK(within(milliseconds(1000), [&] { return b.names() == Names { "r1", "r3" }; }));
    CHECK(within(milliseconds(2500), [&] { return b.names() == Names { "r3" }; }));
    restarted->stop();
    CHECK(within(milliseconds(1500), [&] { return b.registry.upstreams()->liveInstances == Names { "b" }; }));
}
