#include "celeryline/jobs/JobMaster.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

// Guards against a report that is never answered because leadership is lost between the commit of its ends
// and the next plan.
TEST_CASE("A report that waits for a plan is answered when leadership is lost", "[master]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.report(makeReport("r", 1));
    auto start = kit.report(makeReport("r", 2))->starts.at(0);
    auto report = makeReport("r", 3);
    report.ended.push_back(ended(1, start, RunOutcome::Done));
    std::optional<RunnerOrders> answer;
    bool isAnswered = false;
    kit.master.report(report, [&](std::optional<RunnerOrders> orders) {
        answer = std::move(orders);
        isAnswered = true;
    });
    REQUIRE_FALSE(isAnswered);
    kit.log.leads = false;
    kit.master.tick();
    REQUIRE(isAnswered);
    REQUIRE_FALSE(answer);
}

// Guards against a leader that is kept busy by hundreds of idle runners whose reports are answered at once.
TEST_CASE("The answer to an idle runner waits for a start", "[master]")
{
    JobMasterFixture kit { JobMasterOptions {} };
    std::vector<RunnerOrders> answers;
    auto collect = [&answers](std::optional<RunnerOrders> orders) {
        REQUIRE(orders);
        answers.push_back(*orders);
    };
    kit.master.report(makeReport("r", 1), collect);
    kit.advance({ 300 });
    REQUIRE(answers.empty());
    kit.submit(makeJob("a", { makeStep(1) }));
    REQUIRE(answers.size() == 1);
    REQUIRE(answers[0].starts.size() == 1);
    REQUIRE(answers[0].lease > Millis {});
    // A busy runner may have an end to report, so its answer isn't delayed.
    auto busy = makeReport("r", 2);
    busy.running.push_back(running(answers[0].starts[0]));
    kit.master.report(busy, collect);
    REQUIRE(answers.size() == 2);
}

// Guards against a delayed answer that the runner discards because it is over a second old, and against one
// that is never sent.
TEST_CASE("The answer to an idle runner comes in time without a start", "[master]")
{
    JobMasterFixture kit { JobMasterOptions {} };
    int answers = 0;
    auto count = [&answers](const std::optional<RunnerOrders>&) { ++answers; };
    kit.master.report(makeReport("r", 1), count);
    kit.advance({ 590 });
    REQUIRE(answers == 0);
    kit.advance({ 25 });
    REQUIRE(answers == 1);
    // A runner that reports again no longer waits for the earlier answer.
    kit.master.report(makeReport("r", 2), count);
    kit.master.report(makeReport("r", 3), count);
    REQUIRE(answers == 2);
    kit.log.leads = false;
    kit.master.tick();
    REQUIRE(answers == 3);
}

// Guards against a delayed acknowledgement for a draining runner.
TEST_CASE("The answer to a draining runner doesn't wait", "[master]")
{
    JobMasterFixture kit { JobMasterOptions {} };
    auto report = makeReport("r", 1);
    report.isDraining = true;
    REQUIRE(kit.report(report));
}

// Guards against work that is abandoned because the leader lags: runners discard answers that arrive after a
// second, and their leases expire.
TEST_CASE("A late leader grants longer leases and counts on them", "[master]")
{
    auto options = withoutWaiting();
    options.runLeaseWhenLagging = { 6000 };
    JobMasterFixture kit(options);
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.report(makeReport("r", 1));
    REQUIRE(kit.report(makeReport("r", 2))->lease == Millis { 4000 });
    kit.master.noteLag({ 300 });
    auto orders = kit.report(makeReport("r", 3));
    REQUIRE(orders->lease == Millis { 6000 });
    kit.master.noteLag({});
    kit.advance({ 5500 });
    REQUIRE(kit.store.allocations().begin()->first.runner == "r");
    REQUIRE(kit.store.findTask({ "a", 0, 0, 0 })->runs.size() == 1);
    kit.advance({ 1000 });
    REQUIRE(kit.store.allocations().empty());
}
