#include "celeryline/machines/MachineMaster.h"

#include "MachineKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

// Only a list shows that a machine is missing. A new leader without any list counted the machine of a begun
// upkeep as gone, and its wave was complete before the upkeep had begun (rule MIXED).
TEST_CASE("A machine doesn't count as gone while the provider is silent", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m", "pool", "r");
    fixture.applyBegunUpkeep({ "m" }, "m");
    fixture.provider.isUnavailable = true;
    fixture.machines.startTerm();
    fixture.advanceTime(20000);
    REQUIRE(fixture.store.waves().at(5).done.empty());
    fixture.provider.isUnavailable = false;
    fixture.advanceTime(2000);
    REQUIRE(fixture.isOrdered("m"));
}

// The silence of the provider adds nothing to the time for which a machine was missing before.
TEST_CASE("The provider's silence doesn't count as absence of a machine", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m", "pool", "r");
    fixture.advanceTime(4000);
    fixture.applyBegunUpkeep({ "m" }, "m");
    fixture.machines.startTerm();
    fixture.provider.machines.clear();
    fixture.advanceTime(2000);
    fixture.provider.isUnavailable = true;
    fixture.advanceTime(20000);
    REQUIRE(fixture.store.waves().at(5).done.empty());
}

// A list call that is never answered must not be the last one.
TEST_CASE("Machines are listed again when a list call gets no answer", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m", "pool", "r");
    fixture.provider.holdsLists = true;
    fixture.advanceTime(2000);
    fixture.provider.holdsLists = false;
    fixture.advanceTime(30000);
    REQUIRE_FALSE(fixture.machines.couldEverFit(makeJob("large", { makeStep(1, 5000, 1000) })));
}

// A provider that needs longer for each list than a call waits must not go without any list.
TEST_CASE("A list that comes after its call was repeated is used", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m", "pool", "r");
    fixture.provider.holdsLists = true;
    fixture.advanceTime(32000);
    REQUIRE(fixture.provider.heldLists.size() == 2);
    fixture.provider.heldLists.front()(fixture.provider.machines);
    REQUIRE_FALSE(fixture.machines.couldEverFit(makeJob("large", { makeStep(1, 5000, 1000) })));
}

// Waiting tasks must get the capacity of a machine whose order the provider doesn't answer.
TEST_CASE("A machine whose move is not answered accepts tasks again", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m", "pool", "r");
    fixture.advanceUntilStart("r", 4000);
    fixture.addPeak();
    fixture.advanceUntilStart("r", 1000);
    REQUIRE(fixture.isOrdered("m"));
    fixture.provider.isUnavailable = true;
    fixture.submit(makeJob("a", { makeStep(1) }));
    auto starts = fixture.advanceUntilStart("r", 7000);
    REQUIRE(starts.size() == 1);
}

// The same for upkeep, which must continue when the provider is available again.
TEST_CASE("A machine whose upkeep is not answered accepts tasks meanwhile", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m", "pool", "r");
    fixture.advanceUntilStart("r", 4000);
    fixture.master.request(
        StartWave { 5, { "m" }, { 60000 }, 1, fixture.moment.wall }, [](RequestOutcome) {});
    fixture.advanceUntilStart("r", 1000);
    REQUIRE(fixture.isOrdered("m"));
    fixture.provider.isUnavailable = true;
    fixture.submit(makeJob("a", { makeStep(1) }));
    auto starts = fixture.advanceUntilStart("r", 7000);
    REQUIRE(starts.size() == 1);
    fixture.provider.isUnavailable = false;
    fixture.provider.orders.clear();
    auto ends = makeReport("r", ++fixture.sequence);
    ends.ended.push_back(ended(1, starts[0], RunOutcome::Done));
    fixture.report(ends);
    fixture.advanceUntilStart("r", 3000);
    REQUIRE(fixture.isOrdered("m"));
}

// Machines must not be drained for orders that the provider can't receive.
TEST_CASE("No machine is drained while the provider doesn't answer", "[machines]")
{
    MachineFixture fixture;
    fixture.addMachine("m", "pool", "r");
    fixture.advanceUntilStart("r", 4000);
    fixture.provider.isUnavailable = true;
    fixture.advanceUntilStart("r", 4000);
    fixture.addPeak();
    fixture.advanceUntilStart("r", 500);
    fixture.submit(makeJob("a", { makeStep(1) }));
    REQUIRE(fixture.advanceUntilStart("r", 1000).size() == 1);
    REQUIRE(fixture.provider.orders.empty());
}
