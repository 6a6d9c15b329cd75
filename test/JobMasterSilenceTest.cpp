#include "celeryline/jobs/JobMaster.h"

#include "RecallKit.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace celeryline;
using namespace celeryline::test;

// Guards against more unavailable tasks of a step than it permits.
TEST_CASE("A long-running task is recalled only while the others serve", "[master]")
{
    TwoLongRunning fixture;
    REQUIRE(fixture.runs.size() == 2);
    fixture.report(0, 2, 100);
    fixture.report(1, 2, 0);
    REQUIRE_FALSE(fixture.kit.master.recall(fixture.runs[0].second)); // The other task doesn't serve yet.
    fixture.report(1, 3, 100);
    REQUIRE(fixture.kit.master.recall(fixture.runs[0].second));
    REQUIRE_FALSE(fixture.kit.master.recall(fixture.runs[1].second)); // The first task is being stopped.
    REQUIRE(fixture.report(0, 3, 100)->stops.size() == 1);
}

// Guards against a recall while another task of the step is unavailable because its runner lost power: until
// the lease expires, the runner's last report shows the task as serving.
TEST_CASE("A task on a silent runner counts as away when another one is recalled", "[master]")
{
    TwoLongRunning fixture;
    REQUIRE(fixture.runs.size() == 2);
    fixture.report(0, 2, 100);
    fixture.report(1, 2, 100);
    for (std::uint64_t sequence = 3; sequence < 6; ++sequence) {
        fixture.kit.advance({ 600 });
        fixture.kit.report(makeReport("z", sequence));
        fixture.report(0, sequence, 100);
    }
    // The other runner has been silent for 1.8 s.
    REQUIRE_FALSE(fixture.kit.master.recall(fixture.runs[0].second));
    fixture.report(1, 3, 100);
    REQUIRE(fixture.kit.master.recall(fixture.runs[0].second));
}

// Guards against a task that is placed on a runner that is already gone and then waits for its lease.
TEST_CASE("Nothing starts on a runner that misses its reports", "[master]")
{
    JobMasterFixture kit;
    kit.report(makeReport("gone", 1));
    kit.advance({ 2000 });
    kit.submit(makeJob("a", { makeStep(1) }));
    REQUIRE(kit.store.allocations().empty());
    kit.report(makeReport("here", 1));
    REQUIRE(kit.store.allocations().begin()->first.runner == "here");
}

// Guards against a task that is placed on a runner that has left, because a report from before that arrives
// late.
TEST_CASE("A late report of a runner that has left brings no tasks to it", "[master]")
{
    JobMasterFixture kit;
    kit.report(makeReport("left", 1));
    kit.master.leave("left");
    kit.report(makeReport("left", 2));
    kit.submit(makeJob("a", { makeStep(1) }));
    REQUIRE(kit.store.allocations().empty());
    // The message that it had left may itself have been late and about an earlier incarnation.
    for (std::uint64_t sequence = 3; sequence < 10; ++sequence) {
        kit.advance({ 1000 });
        kit.report(makeReport("left", sequence));
    }
    REQUIRE(kit.store.allocations().size() == 1);
}
