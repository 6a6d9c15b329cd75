#include "celeryline/jobs/RunProgress.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

constexpr Millis now { 10000 };

ObservedRun makeRun(const std::string& runner, const std::string& job, Millis seenFor, std::int64_t gained,
    Millis estimate = { 1000 })
{
    ObservedRun run;
    run.run = { { job, 0, 0, 0 }, 1 };
    run.incarnation = { runner, { 1 } };
    run.pool = "pool";
    run.estimate = estimate;
    auto firstSeenAt = now - seenFor;
    run.progress = updateProgress(std::nullopt, 0, firstSeenAt);
    if (gained > 0)
        run.progress = updateProgress(run.progress, gained, now);
    run.progress.lastReportAt = now;
    return run;
}

} // namespace

// Guards against a duration derived from too little progress, or inflated by the silence of an unreachable
// runner.
TEST_CASE("A run's duration is projected from its reports", "[progress]")
{
    REQUIRE_FALSE(projectedDuration(makeRun("r", "a", { 100 }, 50).progress));
    REQUIRE_FALSE(projectedDuration(makeRun("r", "a", { 500 }, 0).progress));
    REQUIRE(projectedDuration(makeRun("r", "a", { 500 }, 25).progress) == Millis { 2000 });
}

// Guards against stalled runs that are left alone, and against restarts of runs that are merely unreported.
TEST_CASE("A run without progress is overdue, one that isn't heard of is not", "[progress]")
{
    auto still = makeRun("hung", "a", { 1500 }, 0);
    auto unheard = makeRun("cut", "b", { 1500 }, 0);
    unheard.progress.lastReportAt = unheard.progress.firstSeenAt + Millis { 300 };
    auto overdue = findOverdueRuns({ still, unheard }, {});
    REQUIRE(overdue.size() == 1);
    REQUIRE(overdue[0].run == still.run);
    REQUIRE(overdue[0].cause == OverdueCause::Stalled);
}

// Guards against a healthy run that is stopped again and again, because it takes more than a second for a
// percent, and against one that is stopped because its last report was late.
TEST_CASE("A run that takes long for each percent isn't stalled between two of them", "[progress]")
{
    constexpr Millis fiveMinutes { 300000 };
    REQUIRE(findOverdueRuns({ makeRun("r", "a", { 2900 }, 0, fiveMinutes) }, {}).empty());
    REQUIRE(findOverdueRuns({ makeRun("r", "a", { 60000 }, 0, fiveMinutes) }, {}).size() == 1);
    // The estimate may be far too short; the time for the first percents shows it.
    auto underestimated = makeRun("r", "b", { 9000 }, 0, { 1000 });
    underestimated.progress.percent = 3;
    underestimated.progress.lastProgressAt = now - Millis { 2000 };
    REQUIRE(findOverdueRuns({ underestimated }, {}).empty());
    underestimated.progress.lastReportAt = now + Millis { 60000 };
    REQUIRE(findOverdueRuns({ underestimated }, {}).size() == 1);
}

// Guards against slow workers (six times slower here) that go undetected, and against restarts of runs whose
// estimate is wrong.
TEST_CASE("Runs on a slow runner are overdue, runs with a wrong estimate are not", "[progress]")
{
    std::vector<ObservedRun> runs;
    for (const char* job : { "a", "b", "c" }) {
        runs.push_back(makeRun("good-1", job, { 500 }, 50));
        runs.push_back(makeRun("good-2", job, { 500 }, 45));
        runs.push_back(makeRun("slow", job, { 500 }, 8));
    }
    // All tasks of this job take four times the estimate, on any runner.
    runs.push_back(makeRun("good-1", "long", { 500 }, 12));
    auto overdue = findOverdueRuns(runs, {});
    REQUIRE(overdue.size() == 3);
    for (const auto& run : overdue) {
        REQUIRE(run.incarnation.runner == "slow");
        REQUIRE(run.cause == OverdueCause::SlowRunner);
    }
}

// Guards against a restart of a run that would end sooner than its replacement.
TEST_CASE("A slow run that is nearly at its end goes on", "[progress]")
{
    std::vector<ObservedRun> runs;
    for (const char* job : { "a", "b" }) {
        runs.push_back(makeRun("good", job, { 500 }, 50));
        runs.push_back(makeRun("slow", job, { 5000 }, 85));
    }
    REQUIRE(findOverdueRuns(runs, {}).empty());
}
