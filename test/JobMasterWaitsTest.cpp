#include "celeryline/jobs/JobMaster.h"

#include "CustomerKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

using Counts = std::map<WaitReason, std::uint32_t>;

/// A runner with a long-running task that fails all other tasks.
struct FailingRunner {
    FailingRunner()
    {
        auto step = makeStep(1);
        step.isLongRunning = true;
        kit.submit(makeJob("lasting", { step }));
        report({}); // The next plan starts the task, and the next answer orders it.
        longRunning = report({}).starts;
        REQUIRE(longRunning.size() == 1);
    }

    /// Sends a report with the long-running task.
    RunnerOrders report(const std::vector<ReportedEnd>& ends)
    {
        auto report = makeReport("r", ++sequence);
        for (const auto& start : longRunning)
            report.running.push_back(running(start));
        report.ended = ends;
        return *kit.report(report);
    }

    /// Fails tasks of several jobs until the runner is quarantined.
    void fail()
    {
        std::uint64_t end = 0;
        for (const auto* id : { "a", "b", "c", "d" }) {
            kit.submit(makeJob(id, { makeStep(1) }));
            for (const auto& start : report({}).starts)
                report({ ended(++end, start, RunOutcome::Failed) });
            kit.master.request(CancelJob { id }, [](RequestOutcome) {});
        }
    }

    /// Advances the time, with a report every half second.
    void advance(int halfSeconds)
    {
        for (int i = 0; i < halfSeconds; ++i) {
            kit.advance({ 500 });
            report({});
        }
    }

    JobMasterFixture kit;
    std::vector<StartOrder> longRunning;
    std::uint64_t sequence = 0;
};

} // namespace

// Guards against a task that waits for a runner on probation without a log line that says so.
TEST_CASE("A wait names the probation of a runner", "[master][waits]")
{
    FailingRunner runner;
    runner.fail();
    runner.kit.submit(makeJob("waits", { makeStep(2) }));
    runner.advance(2);
    REQUIRE(runner.kit.master.waits().size() == 1);
    REQUIRE(runner.kit.master.waits()[0].runners == Counts { { WaitReason::Quarantine, 1 } });
    // An older job gets the probation slot. The runner doesn't report it, so that it neither ends nor is
    // replaced.
    Millis earlier { runner.kit.moment.wall.count - 1500 };
    runner.kit.master.request(
        SubmitJob { makeJob("trial", { makeStep(1) }), earlier }, [](RequestOutcome) {});
    runner.advance(6);
    const auto& wait = runner.kit.master.waits().at(0);
    REQUIRE(wait.task == TaskName { "waits", 0, 0, 0 });
    REQUIRE(wait.tasksWaiting == 2);
    REQUIRE(wait.runners == Counts { { WaitReason::Probation, 1 } });
    REQUIRE(wait.waited >= Millis { 3000 });
    REQUIRE(wait.age >= wait.waited);
    REQUIRE(runner.kit.master.oldestWait() == wait.waited);
}

// Guards against wait reasons that disagree with the plan, which excludes these runners.
TEST_CASE("A wait names why the plan leaves a runner out", "[master][waits]")
{
    JobMasterFixture kit;
    auto draining = makeReport("draining", 1);
    draining.isDraining = true;
    kit.report(draining);
    kit.report(makeReport("silent", 1));
    kit.master.setReserved({ "reserved" });
    kit.advance({ 1600 });
    kit.report(makeReport("reserved", 1));
    kit.report(makeReport("left", 1));
    kit.master.leave("left");
    draining.sequence = 2;
    kit.report(draining);
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.advance({ 1000 });
    REQUIRE(kit.store.allocations().empty());
    REQUIRE(kit.master.waits().at(0).runners
        == Counts { { WaitReason::Leaving, 2 }, { WaitReason::Reserved, 1 }, { WaitReason::Silent, 1 } });
}

// Guards against a log line that reports free capacity that the same plan allocates to other tasks.
TEST_CASE("A wait counts the capacity that the plan has left", "[master][waits]")
{
    JobMasterFixture kit;
    kit.report(makeReport("r", 1));
    kit.moment.steady = kit.moment.steady + Millis { 1000 }; // The next check is due.
    Millis longAgo { kit.moment.wall.count - 60000 };
    auto submit = [&](const char* id, Millis submittedAt) {
        kit.master.request(
            SubmitJob { makeJob(id, { makeStep(1, 4000) }), submittedAt }, [](RequestOutcome) {});
    };
    kit.log.commitsImmediately = false; // The starts of the plan are still uncommitted.
    submit("expired", longAgo);
    submit("new", kit.moment.wall);
    kit.log.commit();
    kit.master.tick();
    REQUIRE(kit.master.waits().size() == 1);
    REQUIRE(kit.master.waits()[0].task.job == "expired");
    REQUIRE(kit.master.waits()[0].runners == Counts { { WaitReason::LittleCpu, 1 } });
}

// Guards against a wait that stays in the metric after the task started or leadership was lost, and against
// one that restarts each time another job becomes the pool's oldest.
TEST_CASE("A wait lasts from when it was seen until the task starts", "[master][waits]")
{
    JobMasterFixture kit;
    kit.submit(makeJob("a", { makeStep(1) })); // The first check runs at once.
    REQUIRE(kit.master.waits().size() == 1);
    REQUIRE(kit.master.oldestWait() == Millis {});
    kit.advance({ 900 });
    REQUIRE(kit.master.oldestWait() == Millis {});
    kit.advance({ 2100 });
    REQUIRE(kit.master.oldestWait() == Millis { 3000 });
    kit.master.request(SubmitJob { makeJob("older", { makeStep(1) }), { 1 } }, [](RequestOutcome) {});
    kit.advance({ 1000 });
    REQUIRE(kit.master.waits().at(0).task.job == "older");
    REQUIRE(kit.master.oldestWait() == Millis {});
    kit.master.request(CancelJob { "older" }, [](RequestOutcome) {});
    kit.advance({ 1000 });
    REQUIRE(kit.master.oldestWait() == Millis { 5000 });
    kit.log.leads = false;
    REQUIRE(kit.master.oldestWait() == Millis {});
    kit.log.leads = true;
    kit.report(makeReport("r", 1));
    kit.advance({ 1000 });
    REQUIRE(kit.master.waits().empty());
    REQUIRE(kit.master.oldestWait() == Millis {});
}

// Guards against machines that are moved for a job that its customer's limit holds back: waits() decides
// that.
TEST_CASE("Waits for a limit are apart from those for capacity", "[master][waits][quota]")
{
    JobMasterFixture kit;
    auto configuration = makeCustomerConfiguration({ "a" }, 2);
    configuration.customers[0].limit.cpuMilli = 1000;
    kit.store.apply(AcceptConfiguration { configuration }, {});
    kit.report(makeReport("r", 1));
    kit.submit(makeCustomerJob("running", "a", { makeStep(1) }));
    kit.submit(makeCustomerJob("held", "a", { makeStep(1) }));
    REQUIRE(kit.store.useOfCustomer("a").running.cpuMilli == 1000);
    kit.advance({ 1000 });
    REQUIRE(kit.master.waits().empty());
    REQUIRE(kit.master.oldestWait() == Millis {});
    REQUIRE(kit.master.quotaWaits().size() == 1);
    REQUIRE(kit.master.quotaWaits()[0].task.job == "held");
    kit.advance({ 1000 });
    REQUIRE(kit.master.oldestQuotaWait() == Millis { 1000 });
    kit.log.leads = false;
    REQUIRE(kit.master.oldestQuotaWait() == Millis {});
}
