// What may end a runner's runs. A deregistration names a runner's id but no incarnation, and may be delayed
// for seconds by a process that stands still; a report may come from another writer.
#include "celeryline/jobs/JobMaster.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// Longest lease of a run, with the allowance for the runner's clock.
constexpr Millis longestLease { 4180 };

/// A runner with one run, which reports every 1.8 s, and another one, which could take the run over.
struct RunnerAtWork {
    /// @param born start time of the incarnation that gets the run.
    explicit RunnerAtWork(std::int64_t born)
        : born(born)
    {
        auto step = makeStep(1);
        step.estimate = { 20000 }; // So that the run isn't replaced as overdue.
        kit.submit(makeJob("a", { step }));
        kit.report(makeReport("r", 1, born));
        kit.master.plan();
        start = kit.report(makeReport("r", 2, born))->starts.at(0);
        reportAtWork();
    }

    std::optional<RunnerOrders> reportAtWork(bool isDraining = false)
    {
        auto report = makeReport("r", ++sequence, born);
        report.running.push_back(running(start, static_cast<std::int64_t>(5 * sequence)));
        report.isDraining = isDraining;
        return kit.report(report);
    }

    /// Advances the time while the other runner reports.
    /// @return whether a run started there.
    bool startsElsewhere(Millis time)
    {
        bool starts = false;
        constexpr Millis step { 100 };
        for (auto until = kit.moment.steady + time; kit.moment.steady < until;) {
            kit.advance(step);
            starts = starts || !kit.report(makeReport("other", ++otherSequence))->starts.empty();
        }
        return starts;
    }

    JobMasterFixture kit;
    std::int64_t born;
    StartOrder start;
    std::uint64_t sequence = 2;
    std::uint64_t otherSequence = 0;
};

} // namespace

// Guards against a second run of a task: a deregistration that was held up ended the lease of the runner's
// next incarnation, which was at work (review/7).
TEST_CASE(
    "A delayed deregistration doesn't end the runs of the runner's next incarnation", "[master][departure]")
{
    RunnerAtWork runner(20);
    for (int i = 0; i < 4; ++i) {
        runner.kit.master.leave("r");
        REQUIRE_FALSE(runner.startsElsewhere({ 1800 }));
        REQUIRE(runner.reportAtWork()->stops.empty());
    }
    REQUIRE(runner.kit.store.isActive(runner.start.run));
}

// Guards against a second run of a task: a runner whose deregistration gets no answer works on until its
// lease ends (review/2).
TEST_CASE("The runs of a runner that deregisters start elsewhere only after its lease", "[master][departure]")
{
    RunnerAtWork runner(10);
    runner.reportAtWork(true);
    runner.kit.master.leave("r");
    REQUIRE_FALSE(runner.startsElsewhere(longestLease - Millis { 100 }));
    runner.kit.master.leave("r"); // It tries another process; the lease counts from its last report.
    REQUIRE(runner.startsElsewhere({ 700 }));
}

// Guards against a new leader that knows the runner only from the log and takes a deregistration as the end
// of its runs, or restarts the count of its lease.
TEST_CASE("A deregistration that reaches a new leader first ends no lease", "[master][departure]")
{
    RunnerAtWork runner(10);
    runner.kit.advance({ 300 });
    runner.kit.master.startTerm();
    runner.kit.master.leave("r");
    REQUIRE_FALSE(runner.startsElsewhere(longestLease - Millis { 100 }));
    REQUIRE(runner.startsElsewhere({ 700 }));
}

// Guards against a sound runner that stays unused for seconds because of its predecessor's deregistration.
// One report may have been on its way when the runner left.
TEST_CASE("A runner whose reports go on after a deregistration gets tasks again", "[master][departure]")
{
    JobMasterFixture kit;
    kit.report(makeReport("r", 1, 20));
    kit.master.leave("r");
    kit.report(makeReport("r", 2, 20));
    kit.submit(makeJob("a", { makeStep(1) }));
    REQUIRE(kit.store.allocations().empty());
    kit.advance({ 100 });
    kit.report(makeReport("r", 3, 20));
    kit.master.plan();
    REQUIRE(kit.store.allocations().size() == 1);
}

// Guards against tasks for a runner that is shutting down, whatever reports of it arrive after it has left,
// and against its next incarnation without tasks.
TEST_CASE("A runner that announced its shutdown never gets tasks, its next incarnation at once",
    "[master][departure]")
{
    JobMasterFixture kit;
    auto draining = makeReport("r", 3, 10);
    draining.isDraining = true;
    kit.report(draining);
    kit.master.leave("r");
    kit.submit(makeJob("a", { makeStep(1) }));
    kit.report(makeReport("r", 2, 10)); // Sent before it announced its shutdown.
    for (draining.sequence = 4; draining.sequence < 20; ++draining.sequence) {
        kit.advance({ 500 });
        kit.report(draining);
        REQUIRE(kit.store.allocations().empty());
    }
    kit.report(makeReport("r", 1, 20));
    kit.master.plan();
    REQUIRE(kit.store.allocations().size() == 1);
}

// Guards against a second run of a task: the answer to an order to take a machine down may arrive when the
// runner has already started again under its id.
TEST_CASE("A machine order that is confirmed late doesn't end the runs of the next incarnation",
    "[master][departure]")
{
    RunnerAtWork runner(20);
    runner.kit.master.noteMachineDown("r");
    REQUIRE(runner.kit.store.isActive(runner.start.run));
    REQUIRE_FALSE(runner.startsElsewhere({ 1800 }));
    REQUIRE(runner.reportAtWork()->stops.empty());
}

// Guards against an order to a machine on which a runner that was only said to have left is still at work.
TEST_CASE("A runner that is said to have left stays known on its machine", "[master][departure]")
{
    JobMasterFixture kit;
    auto report = makeReport("r", 1);
    report.machine = "m";
    kit.report(report);
    kit.master.leave("r");
    const auto* found = kit.master.runners().findOnMachine("m");
    REQUIRE(found != nullptr);
    REQUIRE(found->report.incarnation.runner == "r");
}

// Guards against a second run of each task of a runner: a report of another writer under its id, with a
// service that no configuration names, counted as its next incarnation and ended its runs (review/6).
TEST_CASE("A report of an unknown service ends no runs, also if it reaches a new leader first",
    "[master][departure]")
{
    RunnerAtWork runner(10);
    auto foreign = makeReport("r", 1, 20);
    foreign.service = "not configured";
    REQUIRE(runner.kit.report(foreign)->lease == Millis {});
    REQUIRE_FALSE(runner.startsElsewhere({ 1800 }));
    REQUIRE(runner.reportAtWork()->lease > Millis {});

    runner.kit.master.startTerm();
    runner.kit.report(foreign);
    REQUIRE(runner.reportAtWork()->lease > Millis {});
    REQUIRE_FALSE(runner.startsElsewhere({ 1800 }));
    REQUIRE(runner.kit.store.isActive(runner.start.run));
}

// Guards against work that is given up because its service is removed from the configuration.
TEST_CASE("A runner at work keeps its lease when its service is removed", "[master][departure]")
{
    RunnerAtWork runner(10);
    auto configuration = makeConfiguration(2);
    configuration.pools.clear();
    runner.kit.store.apply(AcceptConfiguration { configuration }, {});
    REQUIRE(runner.reportAtWork()->lease > Millis {});
}
