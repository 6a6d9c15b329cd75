// Short cases of tasks that wait without end on runners with room, as ProgressTest found them.
#include "ProgressKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// Lets tasks of three jobs fail on a runner, so that it gets into quarantine, and mends it.
void bringIntoQuarantine(JobMasterFixture& kit, FakeRunner& runner)
{
    runner.fails = true;
    for (const auto* id : { "bad1", "bad2", "bad3" }) {
        kit.submit(makeJob(id, { makeStep(1) }));
        simulate(kit, { &runner }, 1500);
        kit.master.request(CancelJob { id }, [](RequestOutcome) {});
    }
    runner.fails = false;
    simulate(kit, { &runner }, 500);
}

} // namespace

// Guards against a runner on probation that gets nothing for 60 s because a long-running task on it counts
// as the one task that tries it out (ProgressTest seeds 78, 113, 123).
TEST_CASE("A runner on probation with a long-running task is tried out", "[progress]")
{
    JobMasterFixture kit;
    FakeRunner runner("r");
    kit.submit(makeJob("lasting", { makeLongRunningStep(1, 500, 500) }));
    simulate(kit, { &runner }, 1000);
    REQUIRE(runner.running.size() == 1);
    bringIntoQuarantine(kit, runner);
    kit.submit(makeJob("waiting", { makeStep(1) }));
    // 2.5 s of quarantine and 3 s.
    REQUIRE(simulate(kit, { &runner }, 5500).count("waiting") == 1);
}

// Guards against a gang that never starts because each runner of its pool takes one task at a time on
// probation, which nothing else can end.
TEST_CASE("A gang starts although its pool's runners are on probation", "[progress]")
{
    JobMasterFixture kit;
    FakeRunner runner("r");
    simulate(kit, { &runner }, 500);
    bringIntoQuarantine(kit, runner);
    auto step = makeStep(2);
    step.isGang = true;
    kit.submit(makeJob("gang", { step }));
    REQUIRE(simulate(kit, { &runner }, 5500).count("gang") == 1);
}

// Guards against a task that is kept off the runner where it failed for as long as another runner exists,
// also if that one has no room for it (ProgressTest seeds 43, 46).
TEST_CASE("A task starts again where it failed if the other runners stay full", "[progress]")
{
    JobMasterFixture kit;
    kit.store.apply(AcceptConfiguration { makeConfiguration(2, 5) }, {});
    FakeRunner sound("a");
    FakeRunner tooSmall("b", { 1000, 8000, 0 });
    simulate(kit, { &sound, &tooSmall }, 500);
    sound.fails = true;
    kit.submit(makeJob("job", { makeStep(1, 3000) }));
    REQUIRE(simulate(kit, { &sound, &tooSmall }, 250).count("job") == 1);
    simulate(kit, { &sound, &tooSmall }, 500);
    REQUIRE(kit.store.findTask({ "job", 0, 0, 0 })->failures == 1);
    sound.fails = false;
    simulate(kit, { &sound, &tooSmall }, 5000);
    REQUIRE(kit.store.findJob("job")->phase == JobPhase::Completed);
}

// Guards against a gang whose members are kept off the runners where they failed until the rest of the pool
// is too small for all of them (ProgressTest seeds 63, 129).
TEST_CASE("A gang starts where its members failed if it fits nowhere else", "[progress]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration(1, 5) }, {});
    auto step = makeStep(3, 1900);
    step.isGang = true;
    store.apply(SubmitJob { makeJob("gang", { step }), {} }, {});
    RoomIndex rooms;
    for (const auto* runner : { "a", "b", "c" })
        rooms.set({ { runner, { 1 } }, "pool", {}, { 4000, 8000, 0 } });
    // Its first two starts ended with failures of its members on two of the runners.
    StartHints hints;
    for (std::uint32_t i = 0; i < 3; ++i)
        hints.failedOn[{ "gang", 0, 0, i }] = { { "a", { 0 } }, { "b", { 0 } } };
    hints.now = waitAfterFailure;
    REQUIRE(planStarts(store, rooms, { 100 }, hints).size() == 3);
}

// Guards against 256 jobs that no free runner can hold and that keep the others from being looked at.
TEST_CASE("Jobs without a place don't keep another job from its room", "[progress]")
{
    JobMasterFixture kit;
    FakeRunner runner("r");
    simulate(kit, { &runner }, 500);
    auto labelled = makeStep(1);
    labelled.requiredLabel = "ssd";
    for (int i = 0; i < 300; ++i)
        kit.submit(makeJob("labelled" + std::to_string(i), { labelled }));
    kit.submit(makeJob("small", { makeStep(1) }));
    REQUIRE(simulate(kit, { &runner }, 2000).count("small") == 1);
}
