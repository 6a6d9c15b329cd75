#include "celeryline/jobs/DurationRatios.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

#include <string>

using namespace celeryline;
using namespace celeryline::test;

namespace {

const std::string queue = "host/queue/";

/// Plays runs of tasks with an estimate of 500 ms.
struct RatioHistory {
    RatioHistory() { commit(AcceptConfiguration { makeConfiguration() }, 0); }

    void commit(const JobCommand& command, std::int64_t at)
    {
        ratios.onCommitted(command, store, Millis { at });
        store.apply(command, {});
    }

    /// Runs a new job of one task.
    void run(std::int64_t duration, RunOutcome outcome = RunOutcome::Done)
    {
        auto id = "j" + std::to_string(++jobs);
        commit(SubmitJob { makeJob(id, { makeStep(1) }), {} }, now);
        RunName name { { id, 0, 0, 0 }, 1 };
        commit(StartRun { name, { "r", { 1 } } }, now);
        now += duration;
        commit(EndRun { name, outcome, "" }, now);
    }

    JobStore store;
    DurationRatios ratios;
    std::int64_t now = 1000;
    int jobs = 0;
};

} // namespace

// Guards against estimates of the end that are off by as much as the callers' estimates are.
TEST_CASE("The ratio of real to estimated durations is learnt and forgotten", "[admission]")
{
    RatioHistory history;
    REQUIRE(history.ratios.ratioOf(queue) == 1);
    for (int i = 0; i < 100; ++i)
        history.run(900);
    REQUIRE(history.ratios.ratioOf(queue) == Approx(1.8).epsilon(0.03));
    REQUIRE(history.ratios.ratioOf("other/") == 1);
    for (int i = 0; i < 200; ++i)
        history.run(350);
    REQUIRE(history.ratios.ratioOf(queue) == Approx(0.7).epsilon(0.05));
    REQUIRE(history.ratios.pendingRuns() == 0);
}

// Guards against averages that failed, stopped or stalled runs, second runs or old logs distort.
TEST_CASE("Runs that say nothing about the duration don't count", "[admission]")
{
    RatioHistory history;
    for (auto outcome : { RunOutcome::Failed, RunOutcome::Stopped, RunOutcome::Lapsed, RunOutcome::Lost })
        history.run(2000, outcome);
    for (int i = 0; i < 100; ++i)
        history.run(1); // Entries that are read from an earlier log.
    REQUIRE(history.ratios.ratioOf(queue) == 1);

    auto step = makeStep(1);
    step.isSpeculative = true;
    history.commit(SubmitJob { makeJob("pair", { step }), {} }, 0);
    history.commit(StartRun { { { "pair", 0, 0, 0 }, 1 }, { "r", { 1 } } }, 0);
    history.commit(StartRun { { { "pair", 0, 0, 0 }, 2 }, { "s", { 1 } } }, 5000);
    history.commit(EndRun { { { "pair", 0, 0, 0 }, 2 }, RunOutcome::Done, "" }, 6000);
    history.commit(EndRun { { { "pair", 0, 0, 0 }, 1 }, RunOutcome::Done, "" }, 6000);
    REQUIRE(history.ratios.ratioOf(queue) == 1);
    REQUIRE(history.ratios.pendingRuns() == 0);

    history.run(1000000); // A stalled run.
    REQUIRE(history.ratios.ratioOf(queue) < 2.5);
}

// Guards against memory that grows with all queues that ever existed.
TEST_CASE("Queues that were removed are forgotten", "[admission]")
{
    RatioHistory history;
    for (int i = 0; i < 50; ++i)
        history.run(900);
    history.ratios.prune(history.store.configuration());
    REQUIRE(history.ratios.ratioOf(queue) > 1.2);
    auto configuration = makeConfiguration(2);
    configuration.queues.clear();
    history.commit(AcceptConfiguration { configuration }, 0);
    history.ratios.prune(history.store.configuration());
    REQUIRE(history.ratios.ratioOf(queue) == 1);
}
