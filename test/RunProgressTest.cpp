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
    run.life = { runner, { 1 } };
    run.pool = "pool";
    run.estimate = estimate;
    auto seenAt = now - seenFor;
    run.progress = noteProgress(std::nullopt, 0, seenAt);
    if (gained > 0)
        run.progress = noteProgress(run.progress, gained, now);
    run.progress.heardAt = now;
    return run;
}

} // namespace

// Guards against a duration that is read from too little progress, or from a runner that can't be heard.
TEST_CASE("A run's duration is projected from its reports", "[progress]")
{
    REQUIRE_FALSE(projectedDuration(makeRun("r", "a", { 100 }, 50).progress));
    REQUIRE_FALSE(projectedDuration(makeRun("r", "a", { 500 }, 0).progress));
    REQUIRE(projectedDuration(makeRun("r", "a", { 500 }, 25).progress) == Millis { 2000 });
}

// Load: workers on which all tasks stand still.
TEST_CASE("A run without progress is overdue, one that isn't heard of is not", "[progress]")
{
    auto still = makeRun("hung", "a", { 1500 }, 0);
    auto unheard = makeRun("cut", "b", { 1500 }, 0);
    unheard.progress.heardAt = unheard.progress.seenAt + Millis { 300 };
    auto overdue = findOverdueRuns({ still, unheard }, {});
    REQUIRE(overdue.size() == 1);
    REQUIRE(overdue[0].run == still.run);
    REQUIRE(overdue[0].cause == OverdueCause::StandsStill);
}

// Load: workers that take six times as long, beside jobs whose estimates are wrong.
TEST_CASE("Runs on a slow runner are overdue, runs with a wrong estimate are not", "[progress]")
{
    std::vector<ObservedRun> runs;
    for (const char* job : { "a", "b", "c" }) {
        runs.push_back(makeRun("good-1", job, { 500 }, 50));
        runs.push_back(makeRun("good-2", job, { 500 }, 45));
        runs.push_back(makeRun("slow", job, { 500 }, 8));
    }
    // All tasks of this job take four times its estimate, wherever they run.
    runs.push_back(makeRun("good-1", "long", { 500 }, 12));
    auto overdue = findOverdueRuns(runs, {});
    REQUIRE(overdue.size() == 3);
    for (const auto& run : overdue) {
        REQUIRE(run.life.runner == "slow");
        REQUIRE(run.cause == OverdueCause::SlowRunner);
    }
}

// Guards against giving up work that ends sooner than a new run would.
TEST_CASE("A slow run that is nearly at its end goes on", "[progress]")
{
    std::vector<ObservedRun> runs;
    for (const char* job : { "a", "b" }) {
        runs.push_back(makeRun("good", job, { 500 }, 50));
        runs.push_back(makeRun("slow", job, { 5000 }, 85));
    }
    REQUIRE(findOverdueRuns(runs, {}).empty());
}
