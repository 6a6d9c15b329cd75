// Short cases of tasks that wait without end because of how machines are shared out, as ProgressTest found
// them.
#include "ProgressKit.h"

#include <catch2/catch.hpp>

#include <map>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// Records moves and answers no order.
class RecordingProvider final : public MachineProvider {
public:
    void list(ListCallback done) override { done(machines); }
    void move(
        const std::string& machine, const std::string& pool, const MachineLease&, OrderCallback) override
    {
        moves[machine] = pool;
    }
    void beginUpkeep(const std::string&, std::uint64_t, const MachineLease&, OrderCallback) override { }

    std::vector<MachineInfo> machines;
    std::map<std::string, std::string> moves;
};

/// Two pools with control of machines.
struct PoolsFixture : JobMasterFixture {
    PoolsFixture()
        : machines(options(), master, store, log, provider, [this] { return moment; })
    {
        auto configuration = makeConfiguration(2);
        configuration.pools.push_back({ "other", true, false });
        store.apply(AcceptConfiguration { configuration }, {});
        machines.startTerm();
    }

    static MachineMasterOptions options()
    {
        MachineMasterOptions made;
        made.holder = "holder";
        return made;
    }

    void addMachine(const std::string& name, const std::string& pool, const std::string& runner)
    {
        provider.machines.push_back({ name, pool, MachineState::Up, "dc", {}, { 4000, 8000, 0 }, runner });
    }

    RecordingProvider provider;
    MachineMaster machines;
};

} // namespace

// Guards against machines that are reserved for an upkeep without limit, because what lasts on them has no
// other place while they all are reserved (ProgressTest seeds 1, 4, 22, 23, 53, 111, 126, 171, 185).
TEST_CASE("Machines that can't be emptied for their upkeep give room again", "[progress]")
{
    PoolsFixture kit;
    kit.addMachine("m1", "pool", "r1");
    kit.addMachine("m2", "pool", "r2");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    auto lasting = makeLongRunningStep(2, 500, 500);
    lasting.maxPerRunner = 1;
    lasting.mayMiss = 1;
    kit.submit(makeJob("lasting", { lasting }));
    simulate(kit, { &r1, &r2 }, 5000, &kit.machines);
    REQUIRE(r1.running.size() == 1);
    REQUIRE(r2.running.size() == 1);
    // So near to its deadline, it takes machines without regard to their pool's demand.
    kit.master.request(StartWave { 1, { "m1", "m2" }, { 4000 }, 2, kit.moment.wall }, [](RequestOutcome) {});
    simulate(kit, { &r1, &r2 }, 1000, &kit.machines);
    kit.submit(makeJob("waiting", { makeStep(1) }));
    REQUIRE(simulate(kit, { &r1, &r2 }, 8000, &kit.machines).count("waiting") == 1);
}

// Guards against a gang that is larger than its pool, which gets no further machine: its cores count as if
// its tasks could run one after the other (ProgressTest seeds 30, 42, 82, 106, 115, 117).
TEST_CASE("A pool gets machines for a gang that doesn't fit on those it has", "[progress]")
{
    PoolsFixture kit;
    kit.addMachine("m1", "pool", "r1");
    kit.addMachine("m2", "other", "r2");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    r2.service = "other";
    simulate(kit, { &r1, &r2 }, 5000, &kit.machines);
    auto step = makeStep(6);
    step.isGang = true;
    kit.submit(makeJob("gang", { step }));
    // It can't meet its objective of 3 s any more at the end, and is of no use after 9 s.
    simulate(kit, { &r1, &r2 }, 15000, &kit.machines);
    REQUIRE(kit.provider.moves.count("m2") == 1);
}

// Guards against a task that waits for memory and a pool that gets no machine for it, since demand counts in
// cores (ProgressTest seeds 5, 13, 19, 21).
TEST_CASE("A pool gets a machine for tasks that wait for memory", "[progress]")
{
    PoolsFixture kit;
    kit.addMachine("m1", "pool", "r1");
    kit.addMachine("m2", "other", "r2");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    r2.service = "other";
    kit.submit(makeJob("lasting", { makeLongRunningStep(2, 500, 3000) }));
    simulate(kit, { &r1, &r2 }, 5000, &kit.machines);
    REQUIRE(r1.running.size() == 2);
    kit.submit(makeJob("waiting", { makeStep(16, 100, 4000) }));
    simulate(kit, { &r1, &r2 }, 15000, &kit.machines);
    REQUIRE(kit.provider.moves.count("m2") == 1);
}

// Guards against a job that waits for ever because its pool, full of long-running tasks, lacks less than half
// a machine.
TEST_CASE("A pool full of long-running tasks gets a machine for a small job", "[progress]")
{
    PoolsFixture kit;
    kit.addMachine("m1", "pool", "r1");
    kit.addMachine("m2", "other", "r2");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    r2.service = "other";
    kit.submit(makeJob("lasting", { makeLongRunningStep(4, 900, 500) }));
    simulate(kit, { &r1, &r2 }, 5000, &kit.machines);
    REQUIRE(r1.running.size() == 4);
    kit.submit(makeJob("waiting", { makeStep(1, 500) }));
    simulate(kit, { &r1, &r2 }, 15000, &kit.machines);
    REQUIRE(kit.provider.moves.count("m2") == 1);
}

// Guards against jobs that are late beyond use and get one machine at most, which is full of long-running
// tasks (ProgressTest seeds 13, 19, 21).
TEST_CASE("An expired job gets a machine when its pool's only one is full", "[progress]")
{
    PoolsFixture kit;
    kit.addMachine("m1", "pool", "r1");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    r2.service = "other";
    kit.submit(makeJob("lasting", { makeLongRunningStep(4, 900, 500) }));
    simulate(kit, { &r1 }, 5000, &kit.machines);
    kit.submit(makeJob("waiting", { makeStep(8, 2000) }));
    // No other machine is there until it is of no use any more, after three times its objective of 3 s.
    simulate(kit, { &r1 }, 12000, &kit.machines);
    kit.addMachine("m2", "other", "r2");
    simulate(kit, { &r1, &r2 }, 10000, &kit.machines);
    REQUIRE(kit.provider.moves.count("m2") == 1);
}

// Guards against a backlog of jobs that are late beyond use, on which one machine works while others are idle
// (ProgressTest seeds 32, 48, 60).
TEST_CASE("Idle machines help with a backlog of expired jobs", "[progress]")
{
    PoolsFixture kit;
    kit.addMachine("m1", "pool", "r1");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    r2.service = "other";
    simulate(kit, { &r1 }, 5000, &kit.machines);
    // One machine needs 50 s for it.
    for (int i = 0; i < 10; ++i)
        kit.submit(makeJob("waiting" + std::to_string(i), { makeStep(10, 4000) }));
    simulate(kit, { &r1 }, 12000, &kit.machines);
    kit.addMachine("m2", "other", "r2");
    simulate(kit, { &r1, &r2 }, 10000, &kit.machines);
    REQUIRE(kit.provider.moves.count("m2") == 1);
}
