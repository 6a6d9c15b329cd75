#include "celeryline/jobs/JobMaster.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

// Guards against an order that is sent before it is committed: a new leader would start the task again.
TEST_CASE("A start is ordered only after it is committed", "[master]")
{
    JobMasterFixture kit;
    kit.report(makeReport("r", 1));
    kit.log.commitsImmediately = false;
    kit.master.request(SubmitJob { makeJob("a", { makeStep(1) }), kit.moment.wall }, [](RequestOutcome) {});
    kit.log.commit();
    kit.log.commitsImmediately = false;
    kit.master.plan();
    std::optional<RunnerOrders> answer;
    kit.master.report(
        makeReport("r", 2), [&](std::optional<RunnerOrders> orders) { answer = std::move(orders); });
    REQUIRE_FALSE(answer);
    kit.log.commit();
    REQUIRE(answer);
    REQUIRE(answer->starts.size() == 1);
    REQUIRE(answer->starts[0].payload == "payload of a");
    REQUIRE(answer->fence == 7);
}

// Guards against a runner that discards an end that isn't committed.
TEST_CASE("An end is acknowledged only after it is committed", "[master]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.report(makeReport("r", 1));
    kit.master.plan();
    auto start = kit.report(makeReport("r", 2))->starts.at(0);
    kit.log.commitsImmediately = false;
    auto report = makeReport("r", 3);
    report.ended.push_back(ended(1, start, RunOutcome::Done));
    std::optional<RunnerOrders> answer;
    kit.master.report(report, [&](std::optional<RunnerOrders> orders) { answer = std::move(orders); });
    REQUIRE_FALSE(answer);
    kit.commit();
    REQUIRE(answer);
    REQUIRE(answer->acknowledgedEnds == 1);
    REQUIRE(kit.store.findJob("a")->phase == JobPhase::Completed);
}

// Guards against a task that never starts because the answer with its order was lost.
TEST_CASE("An order whose answer was lost is given again with the same number", "[master]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.report(makeReport("r", 1));
    kit.master.plan();
    auto first = kit.report(makeReport("r", 2))->starts.at(0);
    auto second = kit.report(makeReport("r", 3))->starts.at(0);
    REQUIRE(first.run == second.run);
    auto holds = makeReport("r", 4);
    holds.running.push_back(running(second));
    REQUIRE(kit.report(holds)->starts.empty());
}

// Guards against two runs of a task: a silent runner may keep working until its lease has certainly expired.
TEST_CASE("The tasks of a silent runner start elsewhere only after its lease", "[master]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.report(makeReport("silent", 1));
    kit.master.plan();
    kit.report(makeReport("silent", 2));
    std::uint64_t sequence = 0;
    for (int i = 0; i < 8; ++i) {
        kit.advance({ 500 });
        REQUIRE(kit.report(makeReport("other", ++sequence))->starts.empty());
    }
    kit.advance({ 500 });
    REQUIRE(kit.report(makeReport("other", ++sequence))->starts.size() == 1);
}

// Guards against waiting for a lease although the runner has restarted.
TEST_CASE("The tasks of an earlier life start again at once", "[master]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.report(makeReport("r", 1, 10));
    kit.master.plan();
    REQUIRE(kit.report(makeReport("r", 2, 10))->starts.at(0).run.run == 1);
    auto orders = kit.report(makeReport("r", 1, 20));
    REQUIRE(orders->starts.at(0).run.run == 2);
}

// Guards against a leader that acts on outdated state after it was suspended.
TEST_CASE("Without its lease a leader orders nothing", "[master]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.log.commitsImmediately = false;
    kit.report(makeReport("r", 1));
    kit.master.plan();
    std::optional<RunnerOrders> answer;
    bool isAnswered = false;
    kit.master.report(makeReport("r", 2), [&](std::optional<RunnerOrders> orders) {
        answer = std::move(orders);
        isAnswered = true;
    });
    kit.log.loseLeadership();
    REQUIRE(isAnswered);
    REQUIRE_FALSE(answer);
    REQUIRE_FALSE(kit.report(makeReport("r", 3)));
}

// Guards against a cancelled job that keeps running, and against a stopped run that stays allocated.
TEST_CASE("A cancelled job's runs are stopped, and forgotten when the runner doesn't list them", "[master]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.report(makeReport("r", 1));
    kit.master.plan();
    auto start = kit.report(makeReport("r", 2))->starts.at(0);
    kit.master.request(CancelJob { "a" }, [](RequestOutcome) {});
    auto holds = makeReport("r", 3);
    holds.running.push_back(running(start));
    REQUIRE(kit.report(holds)->stops.size() == 1);
    REQUIRE(kit.store.allocations().size() == 1);
    REQUIRE(kit.report(makeReport("r", 4))->stops.empty());
    REQUIRE(kit.store.allocations().empty());
}

// Guards against an unknown run that keeps running, for example after its job was removed.
TEST_CASE("An unknown run is stopped", "[master]")
{
    JobMasterFixture kit;
    auto report = makeReport("r", 1);
    report.running.push_back({ { { "unknown", 0, 0, 0 }, 3 }, "", 50, 0 });
    REQUIRE(kit.report(report)->stops.size() == 1);
}

// Guards against new tasks on a runner that is about to exit.
TEST_CASE("A draining or reserved runner gets no tasks", "[master]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) }));
    auto draining = makeReport("r", 1);
    draining.isDraining = true;
    kit.report(draining);
    kit.master.plan();
    REQUIRE(kit.store.allocations().empty());
    kit.master.setReserved({ "s" });
    kit.report(makeReport("s", 1));
    kit.master.plan();
    REQUIRE(kit.store.allocations().empty());
    REQUIRE(kit.master.useOf("s").isEmpty);
}

// Guards against a waiting task that no plan considers, because a runner appears or is released without a job
// or an end that triggers a plan.
TEST_CASE("A waiting task starts when a runner appears or is free again", "[master]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.submit(makeJob("b", { makeStep(1) }));
    kit.master.setReserved({ "s" });
    kit.report(makeReport("s", 1));
    kit.advance({ 1000 });
    kit.report(makeReport("s", 2));
    REQUIRE(kit.store.allocations().empty());
    kit.master.setReserved({});
    kit.advance({ 600 });
    REQUIRE(kit.store.allocations().size() == 1);
    auto large = makeJob("c", { makeStep(4, 4000, 100) });
    kit.submit(large);
    kit.advance({ 600 });
    REQUIRE(kit.store.findTask({ "c", 0, 0, 0 })->runs.empty());
    auto roomy = makeReport("roomy", 1);
    roomy.capacity = { 16000, 8000, 0 };
    kit.report(roomy);
    kit.master.tick();
    REQUIRE(kit.store.findTask({ "c", 0, 0, 0 })->runs.size() == 1);
}

// Guards against an occurrence that starts before it is due.
TEST_CASE("An occurrence is opened when it is due", "[master]")
{
    JobMasterFixture kit;
    auto job = makeJob("a", { makeStep(1) });
    job.occurrences = 2;
    job.firstDue = kit.moment.wall + Millis { 2000 };
    job.period = { 1000 };
    kit.submit(job);
    kit.advance({ 1900 });
    REQUIRE(kit.store.findJob("a")->opened == 0);
    kit.advance({ 600 });
    REQUIRE(kit.store.findJob("a")->opened == 1);
}

// Guards against memory use that grows with the number of ended jobs.
TEST_CASE("Ended jobs are removed after the retention time", "[master]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.master.request(CancelJob { "a" }, [](RequestOutcome) {});
    kit.advance({ 1000 });
    REQUIRE(kit.store.findJob("a") != nullptr);
    kit.advance({ 300000 });
    REQUIRE(kit.store.findJob("a") == nullptr);
}

// Guards against a task that runs twice: a runner that was silent until its lease expired reports again while
// the end of its run is being committed, and must not be ordered to start that run.
TEST_CASE("A run whose lease expired isn't ordered again while its end is being committed", "[master]")
{
    JobMasterFixture kit;
    kit.report(makeReport("r", 1));
    kit.advance({ 1400 });
    kit.submit(makeJob("j", { makeStep(1) }));
    REQUIRE(kit.store.allocations().size() == 1);
    kit.log.commitsImmediately = false;
    kit.advance({ 3100 });
    REQUIRE(!kit.log.proposals.empty());
    std::optional<RunnerOrders> answer;
    kit.master.report(
        makeReport("r", 2), [&](std::optional<RunnerOrders> orders) { answer = std::move(orders); });
    kit.log.commitsImmediately = true;
    kit.commit();
    REQUIRE(answer);
    REQUIRE(answer->starts.size() == 1);
    REQUIRE(answer->starts.front().run.run == 2);
}

// Guards against a stop of a long-running task that is about to serve.
TEST_CASE("A long-running task that doesn't serve yet isn't stopped", "[master]")
{
    JobMasterFixture kit;
    auto step = makeStep(1);
    step.isLongRunning = true;
    kit.report(makeReport("r", 1));
    kit.submit(makeJob("a", { step }));
    auto start = kit.report(makeReport("r", 2))->starts;
    REQUIRE(start.size() == 1);
    for (std::uint64_t sequence = 3; sequence < 40; ++sequence) {
        kit.advance({ 200 });
        kit.report(makeReport("other", sequence));
        auto report = makeReport("r", sequence);
        report.running.push_back(running(start[0], 0));
        REQUIRE(kit.report(report)->stops.empty());
    }
}

// Guards against runs that never end on a runner where all tasks are stalled.
TEST_CASE("A stalled run is stopped and starts again on another runner", "[master]")
{
    JobMasterFixture kit;
    kit.report(makeReport("hung", 1));
    kit.submit(makeJob("a", { makeStep(1) }));
    auto start = kit.report(makeReport("hung", 2))->starts.at(0);
    std::uint64_t sequence = 2;
    bool isStopped = false;
    for (int i = 0; i < 15 && !isStopped; ++i) {
        kit.advance({ 200 });
        kit.report(makeReport("good", sequence));
        auto report = makeReport("hung", ++sequence);
        report.running.push_back(running(start, 10));
        isStopped = !kit.report(report)->stops.empty();
    }
    REQUIRE(isStopped);
    auto report = makeReport("hung", ++sequence);
    report.ended.push_back(ended(1, start, RunOutcome::Stopped));
    REQUIRE(kit.report(report)->starts.empty());
    auto again = kit.report(makeReport("good", ++sequence))->starts;
    REQUIRE(again.size() == 1);
    REQUIRE(again[0].run.run == 2);
}

// Guards against machines of other pools that can't be emptied at peak load, when some start is nearly always
// pending.
TEST_CASE("A runner is empty while starts on other runners are being committed", "[master]")
{
    JobMasterFixture kit;
    auto configuration = makeConfiguration(2);
    configuration.pools.push_back({ "other", true, false });
    kit.store.apply(AcceptConfiguration { configuration }, {});
    kit.report(makeReport("busy", 1));
    auto idle = makeReport("idle", 1);
    idle.service = "other";
    kit.report(idle);
    kit.log.commitsImmediately = false;
    kit.master.request(SubmitJob { makeJob("a", { makeStep(2) }), kit.moment.wall }, [](RequestOutcome) {});
    kit.log.commit();
    kit.master.plan();
    REQUIRE(!kit.log.proposals.empty());
    REQUIRE_FALSE(kit.master.useOf("busy").isEmpty);
    REQUIRE(kit.master.useOf("idle").isEmpty);
}
