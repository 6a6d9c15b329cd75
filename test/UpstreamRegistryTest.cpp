#include "celeryline/registry/UpstreamRegistry.h"

#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace celeryline;
using Catch::Matchers::Contains;

namespace {

constexpr Millis lease { 3000 };
constexpr Millis peerTimeout { 2000 };

Announcement runner(const std::string& name, std::uint64_t boot = 1)
{
    Announcement a;
    a.name = name;
    a.address = "127.0.0.1:9000";
    a.bootEpoch = boot;
    a.lease = lease;
    a.slots = 8;
    return a;
}

std::vector<std::string> namesOf(const UpstreamRegistry& registry)
{
    std::vector<std::string> names;
    for (const auto& upstream : registry.upstreams()->upstreams) {
        names.push_back(upstream.name);
    }
    return names;
}

using Names = std::vector<std::string>;

UpstreamRegistry singleRegistry() { return UpstreamRegistry({ "a", 1, {}, peerTimeout }, Millis { 0 }); }

/// Two registries of one data centre; the test transfers the deltas.
struct RegistryPair {
    UpstreamRegistry a { { "a", 10, { "b" }, peerTimeout }, Millis { 0 } };
    UpstreamRegistry b { { "b", 20, { "a" }, peerTimeout }, Millis { 0 } };

    static void transferDeltas(UpstreamRegistry& from, UpstreamRegistry& to, Millis now)
    {
        while (auto delta = from.takeDelta()) {
            from.markSent(*delta);
            to.applyDelta(*delta, now);
        }
    }

    static Heartbeat heartbeat(const UpstreamRegistry& from, const std::string& name, std::uint64_t epoch)
    {
        Heartbeat h;
        h.name = name;
        h.bootEpoch = epoch;
        h.deltaSequence = from.sentSequence();
        return h;
    }
};

} // namespace

TEST_CASE("An expired lease removes the upstream and is reported once", "[registry]")
{
    auto registry = singleRegistry();
    registry.announce(runner("r1"), Millis { 0 });
    registry.announce(runner("r1"), Millis { 1000 });
    registry.tick(Millis { 3999 });
    CHECK(namesOf(registry) == Names { "r1" });
    REQUIRE(registry.takeEvents().size() == 1);
    registry.tick(Millis { 4000 });
    CHECK(namesOf(registry).empty());
    auto events = registry.takeEvents();
    REQUIRE(events.size() == 1);
    CHECK(events[0].kind == RegistryChangeKind::Expired);
    CHECK(events[0].upstream.bootEpoch == 1);
    CHECK(registry.takeEvents().empty());
}

TEST_CASE("A late renewal does not restore an upstream that has left", "[registry]")
{
    auto registry = singleRegistry();
    registry.announce(runner("r1", 5), Millis { 0 });
    registry.leave("r1", 0, Millis { 10 });
    CHECK(namesOf(registry).empty());
    CHECK_THROWS_WITH(registry.announce(runner("r1", 5), Millis { 20 }), Contains("has left"));
    registry.leave("r1", 0, Millis { 30 }); // Repeated.
    registry.announce(runner("r1", 6), Millis { 40 });
    CHECK(namesOf(registry) == Names { "r1" });
    CHECK_THROWS_WITH(registry.announce(runner("r1", 5), Millis { 50 }), Contains("has left"));
    registry.leave("r1", 5, Millis { 60 }); // A delayed leave of the previous boot.
    CHECK(namesOf(registry) == Names { "r1" });
}

TEST_CASE("A second process with the same name and an older boot is refused", "[registry]")
{
    auto registry = singleRegistry();
    registry.announce(runner("r1", 5), Millis { 0 });
    CHECK_THROWS_WITH(registry.announce(runner("r1", 4), Millis { 1 }), Contains("newer bootId 5"));
}

TEST_CASE("The number of known upstreams is limited", "[registry]")
{
    UpstreamRegistry registry({ "a", 1, {}, peerTimeout, 2 }, Millis { 0 });
    registry.announce(runner("r1"), Millis { 0 });
    registry.announce(runner("r2"), Millis { 0 });
    CHECK_THROWS_WITH(registry.announce(runner("r3"), Millis { 0 }), Contains("limit of 2 upstreams"));
    registry.announce(runner("r2"), Millis { 2000 });
    registry.tick(Millis { 3000 });
    registry.announce(runner("r3"), Millis { 3001 });
    CHECK(namesOf(registry) == Names { "r2", "r3" });
}

TEST_CASE("Renewals at changing instances produce no deltas", "[registry]")
{
    RegistryPair p;
    for (std::int64_t now = 0; now < 20000; now += 500) {
        (now % 1000 == 0 ? p.a : p.b).announce(runner("r1"), Millis { now });
        RegistryPair::transferDeltas(p.a, p.b, Millis { now });
        RegistryPair::transferDeltas(p.b, p.a, Millis { now });
        p.a.tick(Millis { now });
        p.b.tick(Millis { now });
        CHECK(namesOf(p.a) == Names { "r1" });
        CHECK(namesOf(p.b) == Names { "r1" });
    }
    CHECK(p.a.sentSequence() == 1);
    CHECK(p.b.sentSequence() == 1);
}

TEST_CASE("Draining announced to another instance is not reverted by the previous manager", "[registry]")
{
    RegistryPair p;
    p.a.announce(runner("r1"), Millis { 0 });
    RegistryPair::transferDeltas(p.a, p.b, Millis { 1 });
    auto draining = runner("r1");
    draining.draining = true;
    p.b.announce(draining, Millis { 100 });
    auto stale = p.a.fullCopy(); // Taken before the previous manager receives the change.
    RegistryPair::transferDeltas(p.b, p.a, Millis { 101 });
    p.b.applyDelta(stale, Millis { 102 });
    CHECK(p.a.upstreams()->upstreams.at(0).draining);
    CHECK(p.b.upstreams()->upstreams.at(0).draining);
}

TEST_CASE("A gap in the deltas is detected and repaired by a full copy", "[registry]")
{
    RegistryPair p;
    p.a.announce(runner("r1"), Millis { 0 });
    p.a.markSent(*p.a.takeDelta()); // Lost.
    p.a.announce(runner("r2"), Millis { 10 });
    RegistryPair::transferDeltas(p.a, p.b, Millis { 20 });
    CHECK(namesOf(p.b).empty());
    CHECK(p.b.peersToCopy() == Names { "a" });
    CHECK_FALSE(p.b.isComplete());
    p.b.applyDelta(p.a.fullCopy(), Millis { 30 });
    CHECK(namesOf(p.b) == Names { "r1", "r2" });
    CHECK(p.b.isComplete());
}

TEST_CASE("A lost last delta is detected by the next heartbeat", "[registry]")
{
    RegistryPair p;
    p.a.announce(runner("r1"), Millis { 0 });
    p.a.markSent(*p.a.takeDelta()); // Lost.
    CHECK(p.b.peersToCopy().empty());
    p.b.noteHeartbeat(RegistryPair::heartbeat(p.a, "a", 10), Millis { 250 });
    CHECK(p.b.peersToCopy() == Names { "a" });
}

TEST_CASE("Entries of a killed manager are kept for one lease", "[registry]")
{
    RegistryPair p;
    p.a.announce(runner("r1"), Millis { 0 });
    RegistryPair::transferDeltas(p.a, p.b, Millis { 100 });
    p.b.noteHeartbeat(RegistryPair::heartbeat(p.a, "a", 10), Millis { 500 });
    p.b.tick(Millis { 2499 });
    CHECK(p.b.upstreams()->liveInstances == Names { "a", "b" });
    p.b.tick(Millis { 2500 });
    CHECK(p.b.upstreams()->liveInstances == Names { "b" });
    p.b.tick(Millis { 3499 });
    CHECK(namesOf(p.b) == Names { "r1" });

    SECTION("and then expire, reported by the first live instance")
    {
        p.b.tick(Millis { 3500 });
        CHECK(namesOf(p.b).empty());
        auto events = p.b.takeEvents();
        REQUIRE(events.size() == 1);
        CHECK(events[0].kind == RegistryChangeKind::Expired);
    }
    SECTION("unless the upstream renews at another instance")
    {
        p.b.announce(runner("r1"), Millis { 3000 });
        p.b.tick(Millis { 3500 });
        CHECK(namesOf(p.b) == Names { "r1" });
    }
}

TEST_CASE("Upstreams of a restarted manager are kept until their leases expire", "[registry]")
{
    RegistryPair p;
    p.a.announce(runner("r1"), Millis { 0 });
    p.a.announce(runner("r2"), Millis { 0 });
    RegistryPair::transferDeltas(p.a, p.b, Millis { 10 });
    UpstreamRegistry restarted({ "a", 11, { "b" }, peerTimeout }, Millis { 1000 });
    restarted.announce(runner("r1"), Millis { 1000 });
    p.b.applyDelta(restarted.fullCopy(), Millis { 1100 });
    CHECK(namesOf(p.b) == Names { "r1", "r2" });
    p.b.applyDelta(p.a.fullCopy(), Millis { 1200 }); // A delayed message of the previous process.
    p.b.tick(Millis { 3010 });
    CHECK(namesOf(p.b) == Names { "r1" });
}

TEST_CASE("A restarted instance counts its peers as live until the peer timeout", "[registry]")
{
    // Otherwise it would assign all slot credits to itself and overload the runners.
    RegistryPair p;
    CHECK(p.a.upstreams()->liveInstances == Names { "a", "b" });
    CHECK_FALSE(p.a.isComplete());
    p.a.tick(Millis { 2000 });
    CHECK(p.a.upstreams()->liveInstances == Names { "a" });
    CHECK(p.a.isComplete());
}

TEST_CASE("Two leases that expire at the same time are reported as one expiry", "[registry]")
{
    RegistryPair p;
    p.a.announce(runner("r1"), Millis { 0 });
    p.b.announce(runner("r1"), Millis { 0 });
    RegistryPair::transferDeltas(p.a, p.b, Millis { 1 });
    RegistryPair::transferDeltas(p.b, p.a, Millis { 1 });
    p.a.takeEvents();
    p.b.takeEvents();
    p.a.noteHeartbeat(RegistryPair::heartbeat(p.b, "b", 20), Millis { 2900 });
    p.b.noteHeartbeat(RegistryPair::heartbeat(p.a, "a", 10), Millis { 2900 });
    p.a.tick(Millis { 3000 });
    p.b.tick(Millis { 3000 });
    CHECK(p.a.takeEvents().empty());
    RegistryPair::transferDeltas(p.a, p.b, Millis { 3001 });
    RegistryPair::transferDeltas(p.b, p.a, Millis { 3001 });
    CHECK(p.a.takeEvents().size() == 1);
    CHECK(namesOf(p.a).empty());
}

TEST_CASE("Returned events are reported again unless newer ones exist", "[registry]")
{
    auto registry = singleRegistry();
    registry.announce(runner("r1"), Millis { 0 });
    registry.announce(runner("r2"), Millis { 0 });
    auto events = registry.takeEvents();
    registry.leave("r1", 0, Millis { 1 });
    registry.returnEvents(events);
    auto again = registry.takeEvents();
    REQUIRE(again.size() == 2);
    CHECK(again[0].kind == RegistryChangeKind::Left);
    CHECK(again[1].kind == RegistryChangeKind::Announced);
}

TEST_CASE("The registry can be used from several threads concurrently", "[registry]")
{
    RegistryPair p;
    std::atomic<bool> isDone { false };
    std::atomic<bool> isOrdered { true };
    std::thread reader([&] {
        std::uint64_t version = 0;
        while (!isDone) {
            auto snapshot = p.a.upstreams();
            isOrdered = isOrdered && snapshot->version >= version;
            version = snapshot->version;
            p.b.applyDelta(p.a.fullCopy(), Millis { 1 });
            p.a.tick(Millis { 1 });
        }
    });
    std::vector<std::thread> writers;
    writers.reserve(3);
    for (int t = 0; t < 3; ++t) {
        writers.emplace_back([&p, t] {
            for (int i = 0; i < 500; ++i) {
                p.a.announce(runner("r" + std::to_string(i * 3 + t)), Millis { i });
            }
        });
    }
    for (auto& writer : writers) {
        writer.join();
    }
    isDone = true;
    reader.join();
    CHECK(isOrdered);
    CHECK(namesOf(p.a).size() == 1500);
}
