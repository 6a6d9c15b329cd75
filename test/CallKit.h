/// @file
/// Fakes and fixtures for tests of the request path.
#pragma once

#include "celeryline/base/Error.h"
#include "celeryline/calls/CallEndpoint.h"
#include "celeryline/fleet/ClaimLedger.h"
#include "celeryline/http/HttpServer.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace celeryline::test {

/// A store with its own ledger and a hook that injects failures.
class FakeStore final : public Store {
public:
    /// Called before and after each command is applied; may throw or sleep.
    using Hook = std::function<void(const Command& command, bool isApplied)>;

    FakeStore()
        : m_ledger({ Millis { 86400000 }, 1000, 1 << 20, 65536 })
    {
    }

    CommandResult submit(const Command& command, Millis) override
    {
        runHook(command, false);
        CommandResult result;
        {
            const std::lock_guard lock(m_mutex);
            ++m_index;
            result = m_ledger.apply(m_index, Millis { static_cast<std::int64_t>(m_index) }, command);
        }
        runHook(command, true);
        return result;
    }

    StoreStatus status() const override { return {}; }

    void setHook(Hook hook)
    {
        const std::lock_guard lock(m_mutex);
        m_hook = std::move(hook);
    }

private:
    void runHook(const Command& command, bool isApplied)
    {
        Hook hook;
        {
            const std::lock_guard lock(m_mutex);
            hook = m_hook;
        }
        if (hook) {
            hook(command, isApplied);
        }
    }

    std::mutex m_mutex;
    ClaimLedger m_ledger;
    std::uint64_t m_index = 0;
    Hook m_hook;
};

/// A fleet with one service "intake" and runners labelled service=intake.
class FakeFleet final : public FleetReader, public UpstreamView {
public:
    FakeFleet()
        : m_fleet(std::make_shared<FleetState>())
        , m_upstreams(std::make_shared<UpstreamSnapshot>())
    {
        addService("intake");
        auto upstreams = std::make_shared<UpstreamSnapshot>();
        upstreams->liveInstances = { "a" };
        m_upstreams = upstreams;
    }

    std::shared_ptr<const FleetState> fleet() const override { return std::atomic_load(&m_fleet); }
    std::shared_ptr<const UpstreamSnapshot> upstreams() const override
    {
        return std::atomic_load(&m_upstreams);
    }

    void changeFleet(const std::function<void(FleetState&)>& change)
    {
        auto copy = std::make_shared<FleetState>(*fleet());
        change(*copy);
        ++copy->revision;
        std::atomic_store(&m_fleet, std::shared_ptr<const FleetState>(copy));
    }

    void changeUpstreams(const std::function<void(UpstreamSnapshot&)>& change)
    {
        auto copy = std::make_shared<UpstreamSnapshot>(*upstreams());
        change(*copy);
        ++copy->version;
        std::atomic_store(&m_upstreams, std::shared_ptr<const UpstreamSnapshot>(copy));
    }

    void addService(const std::string& name, bool isSpare = false)
    {
        changeFleet([&](FleetState& state) {
            auto services = *state.services;
            services[name].name = name;
            services[name].spare = isSpare;
            services[name].selector.requirements = { { "service", SelectorOperator::In, { name } } };
            state.services = std::make_shared<const NamedMap<Service>>(services);
        });
    }

    void addInstance(const Instance& instance)
    {
        changeFleet([&](FleetState& state) {
            auto instances = *state.instances;
            instances[instance.name] = instance;
            state.instances = std::make_shared<const NamedMap<Instance>>(instances);
        });
    }

    void addRunner(const std::string& name, const std::string& address, std::uint32_t slots = 8,
        const LabelSet& labels = { { "service", "intake" } })
    {
        changeUpstreams([&](UpstreamSnapshot& view) {
            Announcement runner;
            runner.name = name;
            runner.address = address;
            runner.slots = slots;
            runner.connections = 64;
            runner.labels = labels;
            view.upstreams.push_back(runner);
        });
    }

private:
    std::shared_ptr<const FleetState> m_fleet;
    std::shared_ptr<const UpstreamSnapshot> m_upstreams;
};

/// Settings with short timeouts.
inline Settings callSettings(const std::string& name = "a")
{
    Settings s = parseSettings("{\"name\":\"" + name + "\",\"dataCentre\":\"dc1\"}", "test");
    s.limits.receiveTimeout = Millis { 300 };
    s.limits.maxBodyBytes = 100000;
    s.limits.maxAnswerBytes = 100000;
    s.limits.maxConnections = 64;
    s.routing.tryTimeout = Millis { 150 };
    s.routing.connectTimeout = Millis { 150 };
    s.leases.peerTimeout = Millis { 120 };
    return s;
}

/// The request path of one entry instance with its HTTP listener.
struct CallInstance {
    /// @param waits whether the constructor waits for slot credits; otherwise the first request does.
    CallInstance(FakeFleet& fleet, Store& store, const Settings& s = callSettings(), bool waits = true)
        : settings(s)
        , pool(s.routing, static_cast<std::size_t>(s.limits.maxAnswerBytes), clock)
        , router(s, 1, clock, fleet, fleet, metrics, {})
        , claims(s.name, 1, 65536, store, clock, metrics)
        , handler(s, router, pool, claims, clock, {})
        , endpoint(s, handler, clock, metrics)
        , server("127.0.0.1:0", s.limits)
    {
        router.start();
        server.route("/call/", endpoint);
        server.start();
        while (waits && !router.reasonNotReady().empty()) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    ~CallInstance() { server.stop(Millis { 2000 }); }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    Settings settings;
    SystemClock clock;
    Metrics metrics;
    UpstreamPool pool;
    Router router;
    ClaimClient claims;
    CallHandler handler;
    CallEndpoint endpoint;
    HttpServer server;
};

} // namespace celeryline::test
