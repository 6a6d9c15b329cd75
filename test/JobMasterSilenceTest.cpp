#include "celeryline/jobs/JobMaster.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

#include <utility>
#include <vector>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// A job of two long-running tasks, of which one may be away, on two of three runners.
struct TwoLasting {
    TwoLasting()
    {
        auto step = makeStep(2);
        step.isLongRunning = true;
        step.maxPerRunner = 1;
        step.mayMiss = 1;
        kit.submit(makeJob("a", { step }));
        for (const auto* runner : { "x", "y", "z" })
            kit.report(makeReport(runner, 1));
        for (const auto& [life, held] : kit.store.holdings())
            runs.emplace_back(life.runner, *held.runs.begin());
    }

    /// The runner of a run reports how far it is; 100 percent is at work.
    std::optional<RunnerOrders> report(std::size_t run, std::uint64_t sequence, std::int64_t percent)
    {
        auto report = makeReport(runs[run].first, sequence);
        report.running.push_back({ runs[run].second, "", percent, 0 });
        return kit.report(report);
    }

    JobMasterFixture kit;
    std::vector<std::pair<std::string, RunName>> runs; ///< With their runners.
};

} // namespace

// Guards against more tasks of one step being away at once than it allows.
TEST_CASE("A long-running task is recalled only while the others are at work", "[master]")
{
    TwoLasting two;
    REQUIRE(two.runs.size() == 2);
    two.report(0, 2, 100);
    two.report(1, 2, 0);
    REQUIRE_FALSE(two.kit.master.recall(two.runs[0].second)); // The other one is not at work yet.
    two.report(1, 3, 100);
    REQUIRE(two.kit.master.recall(two.runs[0].second));
    REQUIRE_FALSE(two.kit.master.recall(two.runs[1].second)); // The first one is on its way out.
    REQUIRE(two.report(0, 3, 100)->stops.size() == 1);
}

// Guards against a stop beside tasks that are away with a runner that has lost its power: its last report
// shows them at work until its lease ends (AVAIL, Kromrivier large, scale-1).
TEST_CASE("A task on a silent runner counts as away when another one is recalled", "[master]")
{
    TwoLasting two;
    REQUIRE(two.runs.size() == 2);
    two.report(0, 2, 100);
    two.report(1, 2, 100);
    for (std::uint64_t sequence = 3; sequence < 6; ++sequence) {
        two.kit.advance({ 600 });
        two.kit.report(makeReport("z", sequence));
        two.report(0, sequence, 100);
    }
    REQUIRE_FALSE(two.kit.master.recall(two.runs[0].second)); // The other one hasn't been heard of for 1.8 s.
    two.report(1, 3, 100);
    REQUIRE(two.kit.master.recall(two.runs[0].second));
}

// Guards against a task that waits for the lease of a runner that was gone before the task was given to it.
TEST_CASE("Nothing starts on a runner that misses its reports", "[master]")
{
    JobMasterFixture kit;
    kit.report(makeReport("gone", 1));
    kit.advance({ 2000 });
    kit.submit(makeJob("a", { makeStep(1) }));
    REQUIRE(kit.store.holdings().empty());
    kit.report(makeReport("here", 1));
    REQUIRE(kit.store.holdings().begin()->first.runner == "here");
}
