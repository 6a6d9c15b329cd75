#include "celeryline/machines/MachineMaster.h"

#include "MachineKit.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace celeryline;
using namespace celeryline::test;

// Two holders must not order one machine alternately (rule ONE, Kromrivier hunt-ed03-19). The wait that
// prevents this must not delay moves of other machines (Consorzio scale-2 varied, seed 12).
TEST_CASE("A new leader delays orders only for recently ordered machines", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("ordered", "pool", "r1");
    fixture.addMachine("other", "pool", "r2");
    fixture.advanceTime(10000);
    fixture.applyEarlierMove("ordered", { "earlier", 6, { 500 } });
    fixture.machines.startTerm();
    fixture.addPeak();
    fixture.advanceTime(3300);
    REQUIRE(fixture.isOrdered("other"));
    REQUIRE_FALSE(fixture.isOrdered("ordered"));
    REQUIRE(fixture.provider.orders[0].pool == "other");
    REQUIRE(fixture.provider.orders[0].lease.holder == "holder");
    REQUIRE(fixture.provider.orders[0].lease.fence == 7);
    fixture.advanceTime(700);
    REQUIRE(std::any_of(fixture.provider.orders.begin(), fixture.provider.orders.end(),
        [](const auto& order) { return order.machine == "ordered"; }));
}

// A replica that knows earlier orders only from a snapshot must not repeat an order that its predecessor has
// just given.
TEST_CASE("Orders in a snapshot count as given when it was applied", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m", "pool", "r");
    fixture.advanceTime(10000);
    fixture.applyEarlierMove("m", { "earlier", 6, { 500 } });
    fixture.advanceTime(10000);
    fixture.machines.onSnapshot();
    fixture.machines.startTerm();
    fixture.addPeak();
    fixture.advanceTime(3300);
    REQUIRE(fixture.provider.orders.empty());
    fixture.advanceTime(700);
    REQUIRE(fixture.provider.orders.size() == 1);
}

// All control processes lose power during a load peak. A restarted replica applies all orders at the same
// time, so an old order looked recent and its machine was blocked (Kromrivier scale-1: a pool at its peak got
// no machine for six seconds).
TEST_CASE("A restarted replica derives the age of orders from the newest one", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("long-ago", "pool", "r1");
    fixture.addMachine("just-now", "pool", "r2");
    fixture.advanceTime(10000);
    fixture.applyEarlierMove("long-ago", { "earlier", 6, { 1000 } });
    fixture.applyEarlierMove("just-now", { "earlier", 6, { 6000 } });
    fixture.machines.startTerm();
    fixture.addPeak();
    fixture.advanceTime(1000);
    REQUIRE(fixture.isOrdered("long-ago"));
    REQUIRE_FALSE(fixture.isOrdered("just-now"));
}

// Timestamps of different leaders' clocks must not be compared.
TEST_CASE("Orders of different leaders are not compared by their clocks", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("first", "pool", "r1");
    fixture.addMachine("second", "pool", "r2");
    fixture.advanceTime(10000);
    fixture.applyEarlierMove("first", { "one", 5, { 1000 } });
    fixture.applyEarlierMove("second", { "two", 6, { 900000 } });
    fixture.machines.startTerm();
    fixture.addPeak();
    fixture.advanceTime(3300);
    REQUIRE(fixture.provider.orders.empty());
}

// An instance that becomes leader again competes with no other holder; it only waits for its own calls in
// flight.
TEST_CASE("The holder of the newest order waits only for its calls in flight", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m", "pool", "r");
    fixture.advanceTime(10000);
    fixture.applyEarlierMove("m", { "holder", 5, { 1000 } });
    fixture.machines.startTerm();
    fixture.addPeak();
    fixture.advanceTime(1300);
    REQUIRE(fixture.provider.orders.empty());
    fixture.advanceTime(500);
    REQUIRE(fixture.isOrdered("m"));
}

// A new leader must not count a machine as up that its predecessor has just taken down (rule LIMIT, Consorzio
// hunt-02e6-3).
TEST_CASE("Machines that the earlier leader took down count as down", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m1", "pool", "r1");
    fixture.addMachine("m2", "pool", "r2");
    fixture.advanceTime(10000);
    fixture.store.apply(StartWave { 5, { "m1", "m2" }, { 20000 }, 1, fixture.moment.wall }, {});
    NoteUpkeep begun { 5, "m1", false, { "earlier", 6, { 500 } } };
    fixture.store.apply(begun, {});
    fixture.machines.onCommitted(begun);
    fixture.store.apply(NoteUpkeep { 5, "m1", true, {} }, {});
    fixture.machines.startTerm();
    fixture.advanceTime(3300);
    REQUIRE(fixture.provider.orders.empty());
    fixture.advanceTime(1000);
    REQUIRE(fixture.provider.orders.size() == 1);
    REQUIRE(fixture.provider.orders[0].machine == "m2");
}

// The same for an upkeep that takes longer than the wait for the earlier leader's orders (rule LIMIT).
TEST_CASE("Machines that the earlier leader took down count as down for a long upkeep", "[machines]")
{
    auto options = MachineFixture::defaultOptions();
    options.upkeepDuration = { 10000 };
    MachineFixture fixture(options);
    fixture.addMachine("m1", "pool", "r1");
    fixture.addMachine("m2", "pool", "r2");
    fixture.advanceTime(10000);
    fixture.applyBegunUpkeep({ "m1", "m2" }, "m1");
    fixture.store.apply(NoteUpkeep { 5, "m1", true, {} }, {});
    fixture.machines.startTerm();
    fixture.advanceTime(11500); // The order may have arrived 1.5 s after it was given.
    REQUIRE(fixture.provider.orders.empty());
    fixture.advanceTime(1000);
    REQUIRE(fixture.isOrdered("m2"));
}

// A new leader must not lose an upkeep that its predecessor may have ordered.
TEST_CASE("A new leader repeats an upkeep that was begun", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m", "pool", "r");
    fixture.store.apply(StartWave { 5, { "m" }, { 20000 }, 1, fixture.moment.wall }, {});
    fixture.store.apply(NoteUpkeep { 5, "m", false, {} }, {});
    fixture.machines.startTerm();
    fixture.advanceTime(4000);
    REQUIRE(!fixture.provider.orders.empty());
    REQUIRE(fixture.provider.orders[0].pool.empty());
}
