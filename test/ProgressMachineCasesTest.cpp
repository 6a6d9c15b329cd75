// Reduced cases, found by ProgressTest, of tasks that wait forever because of how machines are allocated.
#include "ProgressKit.h"

#include <catch2/catch.hpp>

#include <map>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// Records moves and never answers an order.
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

/// A JobMaster and a MachineMaster with two pools.
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

// Guards against machines that stay reserved for an upkeep forever, because their long-running tasks have no
// other place while all machines are reserved (ProgressTest seeds 1, 4, 22, 23, 53, 111, 126, 171, 185).
TEST_CASE("Machines that can't be drained for an upkeep become available again", "[progress]")
{
    PoolsFixture fixture;
    fixture.addMachine("m1", "pool", "r1");
    fixture.addMachine("m2", "pool", "r2");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    auto longRunning = makeLongRunningStep(2, 500, 500);
    longRunning.maxPerRunner = 1;
    longRunning.maxUnavailable = 1;
    fixture.submit(makeJob("lasting", { longRunning }));
    simulate(fixture, { &r1, &r2 }, 5000, &fixture.machines);
    REQUIRE(r1.running.size() == 1);
    REQUIRE(r2.running.size() == 1);
    // So close to its deadline, the wave takes machines regardless of the demand of their pool.
    fixture.master.request(
        StartWave { 1, { "m1", "m2" }, { 4000 }, 2, fixture.moment.wall }, [](RequestOutcome) {});
    simulate(fixture, { &r1, &r2 }, 1000, &fixture.machines);
    fixture.submit(makeJob("waiting", { makeStep(1) }));
    REQUIRE(simulate(fixture, { &r1, &r2 }, 8000, &fixture.machines).count("waiting") == 1);
}

// Guards against a pool that gets no further machine for a gang larger than the pool, because the gang's
// demand is computed as if its tasks could run one after the other (ProgressTest seeds 30, 42, 82, 106, 115,
// 117).
TEST_CASE("A pool gets machines for a gang that doesn't fit on those it has", "[progress]")
{
    PoolsFixture fixture;
    fixture.addMachine("m1", "pool", "r1");
    fixture.addMachine("m2", "other", "r2");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    r2.service = "other";
    simulate(fixture, { &r1, &r2 }, 5000, &fixture.machines);
    auto step = makeStep(6);
    step.isGang = true;
    fixture.submit(makeJob("gang", { step }));
    // By the end the gang has missed its objective of 3 s, and has expired after 9 s.
    simulate(fixture, { &r1, &r2 }, 15000, &fixture.machines);
    REQUIRE(fixture.provider.moves.count("m2") == 1);
}

// Guards against a pool that gets no machine for a task that waits for memory, because demand is measured in
// cores only (ProgressTest seeds 5, 13, 19, 21).
TEST_CASE("A pool gets a machine for tasks that wait for memory", "[progress]")
{
    PoolsFixture fixture;
    fixture.addMachine("m1", "pool", "r1");
    fixture.addMachine("m2", "other", "r2");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    r2.service = "other";
    fixture.submit(makeJob("lasting", { makeLongRunningStep(2, 500, 3000) }));
    simulate(fixture, { &r1, &r2 }, 5000, &fixture.machines);
    REQUIRE(r1.running.size() == 2);
    fixture.submit(makeJob("waiting", { makeStep(16, 100, 4000) }));
    simulate(fixture, { &r1, &r2 }, 15000, &fixture.machines);
    REQUIRE(fixture.provider.moves.count("m2") == 1);
}

// Guards against a job that waits forever because its pool is full of long-running tasks and is short of less
// than half a machine.
TEST_CASE("A pool full of long-running tasks gets a machine for a small job", "[progress]")
{
    PoolsFixture fixture;
    fixture.addMachine("m1", "pool", "r1");
    fixture.addMachine("m2", "other", "r2");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    r2.service = "other";
    fixture.submit(makeJob("lasting", { makeLongRunningStep(4, 900, 500) }));
    simulate(fixture, { &r1, &r2 }, 5000, &fixture.machines);
    REQUIRE(r1.running.size() == 4);
    fixture.submit(makeJob("waiting", { makeStep(1, 500) }));
    simulate(fixture, { &r1, &r2 }, 15000, &fixture.machines);
    REQUIRE(fixture.provider.moves.count("m2") == 1);
}

// Guards against a pool whose expired jobs get at most one machine, when that machine is full of long-running
// tasks (ProgressTest seeds 13, 19, 21).
TEST_CASE("An expired job gets a machine when its pool's only one is full", "[progress]")
{
    PoolsFixture fixture;
    fixture.addMachine("m1", "pool", "r1");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    r2.service = "other";
    fixture.submit(makeJob("lasting", { makeLongRunningStep(4, 900, 500) }));
    simulate(fixture, { &r1 }, 5000, &fixture.machines);
    fixture.submit(makeJob("waiting", { makeStep(8, 2000) }));
    // No other machine exists until the job has expired, after three times its objective of 3 s.
    simulate(fixture, { &r1 }, 12000, &fixture.machines);
    fixture.addMachine("m2", "other", "r2");
    simulate(fixture, { &r1, &r2 }, 10000, &fixture.machines);
    REQUIRE(fixture.provider.moves.count("m2") == 1);
}

// Guards against a backlog of expired jobs that is left to one machine while others are idle (ProgressTest
// seeds 32, 48, 60).
TEST_CASE("Idle machines help with a backlog of expired jobs", "[progress]")
{
    PoolsFixture fixture;
    fixture.addMachine("m1", "pool", "r1");
    FakeRunner r1("r1");
    FakeRunner r2("r2");
    r2.service = "other";
    simulate(fixture, { &r1 }, 5000, &fixture.machines);
    // One machine needs 50 s for this backlog.
    for (int i = 0; i < 10; ++i)
        fixture.submit(makeJob("waiting" + std::to_string(i), { makeStep(10, 4000) }));
    simulate(fixture, { &r1 }, 12000, &fixture.machines);
    fixture.addMachine("m2", "other", "r2");
    simulate(fixture, { &r1, &r2 }, 10000, &fixture.machines);
    REQUIRE(fixture.provider.moves.count("m2") == 1);
}
