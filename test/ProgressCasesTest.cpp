// Reduced cases, found by ProgressTest, of tasks that wait forever although runners have free capacity.
#include "ProgressKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// Fails tasks of three jobs on a runner so that it is quarantined, and then lets its tasks succeed again.
void bringIntoQuarantine(JobMasterFixture& fixture, FakeRunner& runner)
{
    runner.fails = true;
    for (const auto* id : { "bad1", "bad2", "bad3" }) {
        fixture.submit(makeJob(id, { makeStep(1) }));
        simulate(fixture, { &runner }, 1500);
        fixture.master.request(CancelJob { id }, [](RequestOutcome) {});
    }
    runner.fails = false;
    simulate(fixture, { &runner }, 500);
}

} // namespace

// Guards against a runner on probation that gets no task for 60 s because a long-running task on it counts as
// its single probation task (ProgressTest seeds 78, 113, 123).
TEST_CASE("A runner on probation with a long-running task gets another task", "[progress]")
{
    JobMasterFixture fixture;
    FakeRunner runner("r");
    fixture.submit(makeJob("lasting", { makeLongRunningStep(1, 500, 500) }));
    simulate(fixture, { &runner }, 1000);
    REQUIRE(runner.running.size() == 1);
    bringIntoQuarantine(fixture, runner);
    fixture.submit(makeJob("waiting", { makeStep(1) }));
    // 2.5 s of quarantine and 3 s to start the task.
    REQUIRE(simulate(fixture, { &runner }, 5500).count("waiting") == 1);
}

// Guards against a gang that never starts because each runner of its pool is on probation, where it takes one
// task at a time, and no other task arrives that could end the probation.
TEST_CASE("A gang starts although its pool's runners are on probation", "[progress]")
{
    JobMasterFixture fixture;
    FakeRunner runner("r");
    simulate(fixture, { &runner }, 500);
    bringIntoQuarantine(fixture, runner);
    auto step = makeStep(2);
    step.isGang = true;
    fixture.submit(makeJob("gang", { step }));
    REQUIRE(simulate(fixture, { &runner }, 5500).count("gang") == 1);
}

// Guards against a task that is excluded from the runner where it failed for as long as another runner
// exists, even if that one has no room for it (ProgressTest seeds 43, 46).
TEST_CASE("A task starts again where it failed if the other runners stay full", "[progress]")
{
    JobMasterFixture fixture;
    fixture.store.apply(AcceptConfiguration { makeConfiguration(2, 5) }, {});
    FakeRunner healthy("a");
    FakeRunner tooSmall("b", { 1000, 8000, 0 });
    simulate(fixture, { &healthy, &tooSmall }, 500);
    healthy.fails = true;
    fixture.submit(makeJob("job", { makeStep(1, 3000) }));
    REQUIRE(simulate(fixture, { &healthy, &tooSmall }, 250).count("job") == 1);
    simulate(fixture, { &healthy, &tooSmall }, 500);
    REQUIRE(fixture.store.findTask({ "job", 0, 0, 0 })->failures == 1);
    healthy.fails = false;
    simulate(fixture, { &healthy, &tooSmall }, 5000);
    REQUIRE(fixture.store.findJob("job")->phase == JobPhase::Completed);
}

// Guards against a gang whose members are excluded from the runners where they failed, so that the rest of
// the pool is too small for all of them (ProgressTest seeds 63, 129).
TEST_CASE("A gang starts where its members failed if it fits nowhere else", "[progress]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration(1, 5) }, {});
    auto step = makeStep(3, 1900);
    step.isGang = true;
    store.apply(SubmitJob { makeJob("gang", { step }), {} }, {});
    CandidateIndex rooms;
    for (const auto* runner : { "a", "b", "c" })
        rooms.set({ { runner, { 1 } }, "pool", {}, { 4000, 8000, 0 } });
    // Members failed on two of the runners in the first two starts.
    PlacementHints hints;
    for (std::uint32_t i = 0; i < 3; ++i)
        hints.failedOn[{ "gang", 0, 0, i }] = { { "a", { 0 } }, { "b", { 0 } } };
    hints.now = failedRunnerBackoff;
    REQUIRE(planStarts(store, rooms, { 100 }, hints).size() == 3);
}

// Guards against 256 jobs that fit on no free runner and keep the planner from considering other jobs.
TEST_CASE("Jobs that can't be placed don't block another job", "[progress]")
{
    JobMasterFixture fixture;
    FakeRunner runner("r");
    simulate(fixture, { &runner }, 500);
    auto labelled = makeStep(1);
    labelled.requiredLabel = "ssd";
    for (int i = 0; i < 300; ++i)
        fixture.submit(makeJob("labelled" + std::to_string(i), { labelled }));
    fixture.submit(makeJob("small", { makeStep(1) }));
    REQUIRE(simulate(fixture, { &runner }, 2000).count("small") == 1);
}
