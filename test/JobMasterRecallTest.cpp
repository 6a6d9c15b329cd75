#include "celeryline/jobs/JobMaster.h"

#include "RecallKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

// Guards against two leaders that each stop as many tasks of a step as may be unavailable: a runner goes on
// listing a task that it was told to stop, and the next leader took it for one that serves (rule AVAIL, issue
// 37, grown Consorzio, review/5/day.toml --no-cpu --seed 1).
TEST_CASE("A new leader counts the tasks that earlier leaders told to stop", "[master]")
{
    TwoLongRunning fixture;
    fixture.reportAll(2);
    fixture.reportAll(3);
    REQUIRE(fixture.recall(0));
    REQUIRE(fixture.report(0, 4, 100)->stops.size() == 1);
    fixture.changeLeader();
    fixture.reportAll(5);
    fixture.reportAll(6);
    REQUIRE_FALSE(fixture.recall(1));
    REQUIRE(fixture.report(0, 7, 100)->stops.size() == 1); // The stop goes on under the new leader.
}

// Guards against a recall that relies on the report of a runner whose lease ran out while no leader answered:
// the report was sent before, and its answer may come too late (rule AVAIL, issue 37).
TEST_CASE("A new leader recalls only after runners got an answer from it", "[master]")
{
    TwoLongRunning fixture;
    fixture.reportAll(2);
    fixture.changeLeader();
    fixture.reportAll(3);
    REQUIRE_FALSE(fixture.recall(0));
    fixture.reportAll(4);
    REQUIRE(fixture.recall(0));
}

// Guards against recalls by a leader that handles reports late: what they list may have ended meanwhile (rule
// AVAIL, issue 37).
TEST_CASE("A leader that lags recalls nothing", "[master]")
{
    TwoLongRunning fixture;
    fixture.reportAll(2);
    fixture.reportAll(3);
    fixture.kit.master.noteLag({ 300 });
    REQUIRE_FALSE(fixture.recall(0));
    fixture.kit.master.noteLag({ 10 });
    REQUIRE(fixture.recall(0));
}

// Guards against a stop that goes out although another task of the step became unavailable after the recall
// was decided (rule AVAIL, issue 37).
TEST_CASE("A recalled task isn't stopped while another one is away", "[master]")
{
    TwoLongRunning fixture;
    fixture.reportAll(2);
    fixture.reportAll(3);
    REQUIRE(fixture.recall(0));
    fixture.report(1, 4, 0);
    REQUIRE(fixture.report(0, 4, 100)->stops.empty());
    fixture.report(1, 5, 100);
    REQUIRE(fixture.report(0, 5, 100)->stops.size() == 1);
}

// Guards against long-running tasks that wait for the lease of a runner that has left: a deregistration ends
// no lease, so they must have moved before.
TEST_CASE("A draining runner's long-running tasks are recalled as far as their step permits", "[master]")
{
    TwoLongRunning fixture;
    fixture.reportAll(2);
    fixture.report(0, 3, 100, true);
    REQUIRE(fixture.report(0, 4, 100, true)->stops.size() == 1);
    fixture.report(1, 3, 100, true);
    REQUIRE(fixture.report(1, 4, 100, true)->stops.empty()); // The first task isn't at work elsewhere yet.
}

// Guards against a stop of a long-running task that no other runner has capacity for.
TEST_CASE("A draining runner keeps tasks for which there is no place elsewhere", "[master]")
{
    JobMasterFixture kit;
    auto step = makeStep(1);
    step.isLongRunning = true;
    kit.submit(makeJob("a", { step }));
    kit.report(makeReport("r", 1));
    kit.master.plan();
    auto start = kit.report(makeReport("r", 2))->starts.at(0);
    for (std::uint64_t sequence = 3; sequence < 6; ++sequence) {
        auto report = makeReport("r", sequence);
        report.running.push_back(running(start));
        report.isDraining = true;
        REQUIRE(kit.report(report)->stops.empty());
    }
}

// Guards against a stop that reaches a draining runner only after it has left, and against reports of one
// that has nothing to say.
TEST_CASE("A draining runner reports often while it has runs", "[master]")
{
    TwoLongRunning fixture;
    auto often = JobMasterOptions().reportIntervalWithCapacity;
    REQUIRE(fixture.report(0, 3, 100, true)->nextReport == often);
    auto idle = makeReport("z", 3);
    idle.isDraining = true;
    REQUIRE(fixture.kit.report(idle)->nextReport > often);
}
