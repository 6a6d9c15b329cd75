#include "celeryline/jobs/JobStore.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// A store with one active run of a long-running task.
struct StoreWithRun {
    StoreWithRun()
    {
        auto step = makeStep(1);
        step.isLongRunning = true;
        store.apply(AcceptConfiguration { makeConfiguration() }, {});
        store.apply(SubmitJob { makeJob("a", { step }), {} }, {});
        store.apply(StartRun { run, { "runner", { 1 } } }, {});
    }

    RunName run { { JobId("a"), 0, 0, 0 }, 1 };
    JobStore store;
};

} // namespace

// Guards against a restarted replica that leads without knowing which tasks are being stopped (issue 37).
TEST_CASE("Recalls are part of a snapshot", "[store]")
{
    StoreWithRun fixture;
    fixture.store.apply(NoteRecall { fixture.run }, {});
    JobStore restored;
    restored.restoreSnapshot(fixture.store.takeSnapshot());
    REQUIRE(restored.isRecalled(fixture.run));
}

// Guards against a recall that outlives its run, and against one that is applied after the run has ended.
TEST_CASE("A recall ends with its run", "[store]")
{
    StoreWithRun fixture;
    fixture.store.apply(NoteRecall { fixture.run }, {});
    fixture.store.apply(EndRun { fixture.run, RunOutcome::Stopped, "" }, {});
    REQUIRE_FALSE(fixture.store.isRecalled(fixture.run));
    fixture.store.apply(NoteRecall { fixture.run }, {});
    REQUIRE_FALSE(fixture.store.isRecalled(fixture.run));
}
