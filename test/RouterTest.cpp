#include "CallKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

void pause(int millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

/// A router with its dependencies.
struct RouterFixture {
    explicit RouterFixture(
        FakeFleet& f, const std::string& name = "a", Router::RequestCredits requestCredits = {})
        : fleet(f)
        , router(callSettings(name), 1, clock, f, f, metrics, std::move(requestCredits))
    {
        router.start();
    }

    SlotResult acquire(const std::string& service, const std::string& organisation = "", int limit = 1000)
    {
        return router.acquire(
            router.find(service), { organisation, "caller", clock.now() + Millis { limit }, {} });
    }

    /// Acquires slots until none is free.
    std::vector<SlotTicket> takeAll(const std::string& service)
    {
        std::vector<SlotTicket> tickets;
        for (auto slot = acquire(service, "", 30); slot.ticket; slot = acquire(service, "", 30)) {
            tickets.push_back(std::move(slot.ticket));
        }
        return tickets;
    }

    FakeFleet& fleet;
    SystemClock clock;
    Metrics metrics;
    Router router;
};

} // namespace

TEST_CASE("Requests wait for a slot and are refused if none becomes free in time", "[router]")
{
    FakeFleet fleet;
    fleet.addRunner("r1", "127.0.0.1:1", 2);
    RouterFixture fixture(fleet);
    pause(150);
    auto held = fixture.takeAll("intake");
    REQUIRE(held.size() == 2);
    CHECK(fixture.acquire("intake", "", 20).refusal == SlotRefusal::TooLate);
    CHECK(fixture.acquire("nothing").refusal == SlotRefusal::NoService);
    std::thread releaser([&] {
        pause(50);
        held.pop_back();
    });
    CHECK(fixture.acquire("intake").ticket);
    releaser.join();
    fleet.changeUpstreams([](UpstreamSnapshot& view) { view.upstreams.clear(); });
    CHECK(fixture.acquire("intake").refusal == SlotRefusal::NoRunner);
}

TEST_CASE("A request that can't meet its deadline is refused immediately", "[router]")
{
    FakeFleet fleet;
    fleet.addRunner("r1", "127.0.0.1:1", 1);
    RouterFixture fixture(fleet);
    pause(150);
    {
        auto slot = fixture.acquire("intake");
        pause(200); // Sets the estimated duration of a request.
    }
    auto held = fixture.acquire("intake");
    const auto startTime = std::chrono::steady_clock::now();
    CHECK(fixture.acquire("intake", "", 100).refusal == SlotRefusal::TooLate);
    CHECK(std::chrono::steady_clock::now() - startTime < std::chrono::milliseconds(50));
}

TEST_CASE("Waiting organisations are served in round-robin order", "[router]")
{
    FakeFleet fleet;
    fleet.addRunner("r1", "127.0.0.1:1", 1);
    RouterFixture fixture(fleet);
    pause(150);
    auto held = fixture.acquire("intake");
    std::mutex mutex;
    std::vector<std::string> order;
    std::vector<std::thread> callers;
    const auto wait = [&](const std::string& organisation) {
        callers.emplace_back([&, organisation] {
            auto slot = fixture.acquire("intake", organisation, 2000);
            const std::lock_guard lock(mutex);
            order.push_back(slot.ticket ? organisation : "refused");
        });
        pause(5);
    };
    for (int i = 0; i < 8; ++i) {
        wait("big");
    }
    wait("small");
    wait("small");
    held = {};
    for (auto& caller : callers) {
        caller.join();
    }
    REQUIRE(order.size() == 10);
    CHECK(std::count(order.begin(), order.begin() + 4, "small") == 2);
}

TEST_CASE("Free slots of a spare service serve other services and are reclaimed as requests end", "[router]")
{
    FakeFleet fleet;
    fleet.addService("spare", true);
    fleet.addRunner("r1", "127.0.0.1:1", 1);
    fleet.addRunner("s1", "127.0.0.1:2", 1, { { "service", "spare" }, { "serves", "other.intake" } });
    fleet.addRunner("s2", "127.0.0.1:3", 1, { { "service", "spare" }, { "serves", "other" } });
    fleet.addRunner("s3", "127.0.0.1:4", 1, { { "service", "spare" }, { "serves", "any" } });
    RouterFixture fixture(fleet);
    pause(150);
    auto lent = fixture.takeAll("intake");
    CHECK(lent.size() == 3);
    auto own = fixture.takeAll("spare");
    REQUIRE(own.size() == 1);
    CHECK(own[0].runner().name == "s2");
    // While both services wait, a released slot goes to the service that owns the runner.
    SlotResult spare;
    SlotResult intake;
    std::thread first([&] { intake = fixture.acquire("intake", "", 150); });
    pause(20);
    std::thread second([&] { spare = fixture.acquire("spare", "", 1000); });
    pause(20);
    for (auto& ticket : lent) {
        if (ticket.runner().name == "s1") {
            SlotTicket ended = std::move(ticket);
        }
    }
    second.join();
    first.join();
    REQUIRE(spare.ticket);
    CHECK(spare.ticket.runner().name == "s1");
    CHECK_FALSE(intake.ticket);
}

TEST_CASE("An instance borrows slots that another instance does not use", "[router]")
{
    FakeFleet fleet;
    fleet.changeUpstreams([](UpstreamSnapshot& view) { view.liveInstances = { "a", "b" }; });
    fleet.addRunner("r1", "127.0.0.1:1", 8);
    std::map<std::string, Router*> routers;
    const auto request = [&](const std::string& peer, const CreditRequest& asked, Millis) {
        const auto found = routers.find(peer);
        if (found == routers.end()) {
            throw Error(ErrorKind::Unavailable, "not started yet", "wait");
        }
        return found->second->onCreditRequest(asked);
    };
    RouterFixture a(fleet, "a", request);
    RouterFixture b(fleet, "b", request);
    routers = { { "a", &a.router }, { "b", &b.router } };
    pause(250);
    auto held = a.takeAll("intake");
    CHECK(held.size() >= 4);
    for (auto slot = a.acquire("intake", "", 300); slot.ticket; slot = a.acquire("intake", "", 300)) {
        held.push_back(std::move(slot.ticket));
    }
    CHECK(held.size() > 4);
    const auto others = b.takeAll("intake");
    CHECK(held.size() + others.size() <= 8);
    held.clear();
    // The loans are returned after their leases expire.
    pause(700);
    CHECK(b.takeAll("intake").size() + others.size() >= 4);
}

TEST_CASE("Routes follow selectors, phases and labels", "[router]")
{
    FakeFleet fleet;
    fleet.addRunner("r1", "127.0.0.1:1", 8, { { "service", "old" } });
    auto table = makeRouteTable(*fleet.fleet(), *fleet.upstreams());
    CHECK(table.services.at("intake").own.empty());
    Instance instance;
    instance.name = "r1";
    instance.dataCentre = "dc1";
    instance.labels = { { "service", "intake" } };
    fleet.addInstance(instance);
    table = makeRouteTable(*fleet.fleet(), *fleet.upstreams());
    CHECK(table.services.at("intake").own.size() == 1);
    CHECK(table.services.at("intake").dataCentres.count("dc1") == 1);
    for (const auto phase :
        { InstancePhase::Draining, InstancePhase::Rebooting, InstancePhase::Moving, InstancePhase::Failed }) {
        instance.phase = phase;
        fleet.addInstance(instance);
        CHECK(makeRouteTable(*fleet.fleet(), *fleet.upstreams()).runners.empty());
    }
}
