// Seeded runs of several registries that are joined by a network which loses, delays and reorders messages.
#include "celeryline/base/Error.h"
#include "celeryline/registry/UpstreamRegistry.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>

using namespace celeryline;

namespace {

constexpr std::int64_t step = 50;
constexpr std::int64_t lease = 3000;
constexpr std::int64_t maxDelay = 200;
constexpr std::int64_t copyTimeout = 500; // As in RegistrySync.
constexpr Millis timeout { 2000 };
const std::vector<std::string> names { "a", "b", "c" };

struct SimulatedUpstream {
    Announcement announcement;
    bool isUp = true;
    std::int64_t lastAccepted = -1;
    std::int64_t upAgainAt = 0;
    std::map<std::uint64_t, std::int64_t> leftAt; ///< By boot epoch.
    bool isLeaveLost = false; ///< The instance that accepted the leave was killed.
};

struct SimulatedInstance {
    std::unique_ptr<UpstreamRegistry> registry;
    std::uint64_t epoch = 0;
    std::int64_t upAgainAt = 0;
    std::map<std::string, std::int64_t> copyAskedAt;
};

class Simulation {
public:
    explicit Simulation(unsigned seed)
        : m_random(seed)
    {
        for (const auto& name : names) {
            boot(name);
        }
        for (int i = 0; i < 12; ++i) {
            SimulatedUpstream upstream;
            upstream.announcement.name = "r" + std::to_string(i);
            upstream.announcement.bootEpoch = 1;
            upstream.announcement.lease = { lease };
            m_upstreams.push_back(upstream);
        }
    }

    void run(std::int64_t length, bool withFaults)
    {
        for (auto end = m_now + length; m_now < end; m_now += step) {
            m_lossPercent = withFaults ? 5 : 0;
            if (withFaults) {
                injectFault();
            }
            deliver();
            for (auto& upstream : m_upstreams) {
                live(upstream);
            }
            for (const auto& name : names) {
                live(name);
            }
            check();
        }
    }

    /// All instances offer exactly what is up.
    bool hasConverged()
    {
        std::vector<Announcement> expected;
        for (const auto& upstream : m_upstreams) {
            if (upstream.isUp) {
                expected.push_back(upstream.announcement);
            }
        }
        std::sort(
            expected.begin(), expected.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
        return std::all_of(names.begin(), names.end(), [&](const auto& name) {
            auto snapshot = m_instances[name].registry->upstreams();
            return snapshot->upstreams == expected && snapshot->liveInstances == names;
        });
    }

    std::string violation;

private:
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }

    SimulatedInstance& anyInstance() { return m_instances[names[m_random() % names.size()]]; }

    void boot(const std::string& name)
    {
        std::vector<std::string> peers;
        std::copy_if(
            names.begin(), names.end(), std::back_inserter(peers), [&](const auto& n) { return n != name; });
        auto& instance = m_instances[name];
        RegistryOptions options { name, ++instance.epoch, peers, timeout };
        instance.registry = std::make_unique<UpstreamRegistry>(options, Millis { m_now });
        instance.copyAskedAt.clear();
    }

    void post(std::function<void()> arrive)
    {
        if (!chance(m_lossPercent)) {
            m_messages.emplace(m_now + static_cast<std::int64_t>(m_random() % maxDelay), std::move(arrive));
        }
    }

    void deliver()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            auto arrive = std::move(m_messages.begin()->second);
            m_messages.erase(m_messages.begin());
            arrive();
        }
    }

    void injectFault()
    {
        auto& upstream = m_upstreams[m_random() % m_upstreams.size()];
        if (chance(1)) { // Killed without a word.
            upstream.isUp = false;
            upstream.upAgainAt = m_now + static_cast<std::int64_t>(m_random() % 8000);
        }
        if (chance(3) && upstream.isUp) {
            leave(upstream);
        }
        if (chance(5)) {
            upstream.announcement.draining = !upstream.announcement.draining;
        }
        if (m_now >= m_nextKill) {
            m_nextKill = m_now + 6000 + static_cast<std::int64_t>(m_random() % 6000);
            auto& instance = anyInstance();
            instance.registry.reset();
            instance.upAgainAt = m_now + static_cast<std::int64_t>(m_random() % 4000);
            for (auto& other : m_upstreams) {
                auto left = other.leftAt.find(other.announcement.bootEpoch);
                if (left != other.leftAt.end() && m_now - left->second < 2000) {
                    other.isLeaveLost = true;
                }
            }
        }
    }

    void leave(SimulatedUpstream& upstream)
    {
        auto& instance = anyInstance();
        if (instance.registry) {
            auto boot = upstream.announcement.bootEpoch;
            instance.registry->leave(upstream.announcement.name, boot, Millis { m_now });
            upstream.leftAt[boot] = m_now;
            upstream.isLeaveLost = false;
            upstream.isUp = false;
            upstream.upAgainAt = m_now + static_cast<std::int64_t>(m_random() % 8000);
        }
    }

    void live(SimulatedUpstream& upstream)
    {
        if (!upstream.isUp && m_now >= upstream.upAgainAt) {
            upstream.isUp = true;
            ++upstream.announcement.bootEpoch;
            upstream.announcement.draining = false;
            upstream.lastAccepted = -1;
        }
        bool isDue = upstream.lastAccepted < 0 || m_now - upstream.lastAccepted >= lease / 6;
        auto& instance = anyInstance();
        if (upstream.isUp && isDue && instance.registry) {
            instance.registry->announce(upstream.announcement, Millis { m_now });
            upstream.lastAccepted = m_now;
        }
    }

    void live(const std::string& name)
    {
        auto& instance = m_instances[name];
        if (!instance.registry) {
            if (m_now >= instance.upAgainAt) {
                boot(name);
            }
            return;
        }
        auto& registry = *instance.registry;
        registry.tick(Millis { m_now });
        while (auto delta = registry.takeDelta()) {
            toPeers(
                name, [this, delta](UpstreamRegistry& peer) { peer.applyDelta(*delta, Millis { m_now }); });
            registry.markSent(*delta);
        }
        if (m_now % 250 == 0) {
            Heartbeat heartbeat;
            heartbeat.name = name;
            heartbeat.bootEpoch = instance.epoch;
            heartbeat.deltaSequence = registry.sentSequence();
            toPeers(name, [this, heartbeat](UpstreamRegistry& peer) {
                peer.noteHeartbeat(heartbeat, Millis { m_now });
            });
        }
        for (const auto& peer : registry.peersToCopy()) {
            auto [asked, isFirst] = instance.copyAskedAt.try_emplace(peer, 0);
            if (isFirst || m_now - asked->second >= copyTimeout) {
                asked->second = m_now;
                askForCopy(name, peer);
            }
        }
    }

    template <typename Arrive> void toPeers(const std::string& from, Arrive arrive)
    {
        for (const auto& name : names) {
            if (name != from) {
                post([this, name, arrive] {
                    if (m_instances[name].registry) {
                        arrive(*m_instances[name].registry);
                    }
                });
            }
        }
    }

    void askForCopy(const std::string& name, const std::string& peer)
    {
        post([this, name, peer] {
            if (!m_instances[peer].registry) {
                return;
            }
            auto copy = m_instances[peer].registry->fullCopy();
            post([this, name, peer, copy] {
                if (m_instances[name].registry) {
                    m_instances[name].registry->applyDelta(copy, Millis { m_now });
                    m_instances[name].copyAskedAt.erase(peer);
                }
            });
        });
    }

    void check()
    {
        for (const auto& [name, instance] : m_instances) {
            if (!instance.registry) {
                continue;
            }
            for (const auto& offered : instance.registry->upstreams()->upstreams) {
                check(name, offered);
            }
        }
    }

    void check(const std::string& instance, const Announcement& offered)
    {
        auto index = static_cast<std::size_t>(std::stoi(offered.name.substr(1)));
        const auto& upstream = m_upstreams[index];
        auto where = " at " + instance + ", " + std::to_string(m_now) + " ms: " + offered.name;
        auto left = upstream.leftAt.find(offered.bootEpoch);
        if (left != upstream.leftAt.end() && m_now - left->second > 2000 && !upstream.isLeaveLost) {
            violation = "an upstream that left is offered" + where;
        }
        bool isCurrent = offered.bootEpoch == upstream.announcement.bootEpoch && upstream.lastAccepted >= 0;
        if (isCurrent && m_now - upstream.lastAccepted > 2 * lease + maxDelay + step) {
            violation = "an entry has outlived its lease by more than one lease" + where;
        }
    }

    std::mt19937 m_random;
    std::int64_t m_now = 0;
    std::int64_t m_nextKill = 4000;
    int m_lossPercent = 0;
    std::map<std::string, SimulatedInstance> m_instances;
    std::vector<SimulatedUpstream> m_upstreams;
    std::multimap<std::int64_t, std::function<void()>> m_messages;
};

} // namespace

TEST_CASE(
    "Registries converge after loss, reordering and restarts, and never offer what has left", "[registry]")
{
    std::vector<unsigned> seeds(60);
    std::iota(seeds.begin(), seeds.end(), 1);
    // A manager was killed after its notice of an ended lease was lost but its heartbeats still arrived.
    seeds.push_back(194);
    for (auto seed : seeds) {
        Simulation simulation(seed);
        simulation.run(60000, true);
        simulation.run(14000, false);
        INFO("seed " << seed << " " << simulation.violation);
        REQUIRE(simulation.violation.empty());
        REQUIRE(simulation.hasConverged());
    }
}
