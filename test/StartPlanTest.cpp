#include "celeryline/jobs/StartPlan.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

#include <map>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr Millis wall { 100000 };

PlacementCandidate makeCandidate(
    const std::string& runner, std::int64_t cpuMilli, std::vector<std::string> labels = {})
{
    return { { runner, { 1 } }, "pool", std::move(labels), { cpuMilli, 100000, 0 } };
}

JobStore storeWith(const std::vector<JobSpec>& jobs, Millis submittedAt = wall)
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    for (const auto& job : jobs)
        store.apply(SubmitJob { job, submittedAt }, {});
    return store;
}

std::vector<StartRun> planStarts(const JobStore& store, const std::vector<PlacementCandidate>& candidates,
    Millis wallNow, const PlacementHints& hints = {})
{
    CandidateIndex index;
    for (const auto& candidate : candidates)
        index.set(candidate);
    return planStarts(store, index, wallNow, hints);
}

std::map<std::string, int> startsByRunner(const std::vector<StartRun>& starts)
{
    std::map<std::string, int> counts;
    for (const auto& start : starts)
        ++counts[start.incarnation.runner];
    return counts;
}

} // namespace

// Guards against a backlog of late jobs that delays jobs which can still meet their objective.
TEST_CASE("Late jobs come behind those that can still be on time", "[placement]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    store.apply(SubmitJob { makeJob("a-expired", { makeStep(1) }), { wall.count - 60000 } }, {});
    store.apply(SubmitJob { makeJob("b-late", { makeStep(1) }), { wall.count - 5000 } }, {});
    store.apply(SubmitJob { makeJob("c-new", { makeStep(1) }), wall }, {});
    auto starts = planStarts(store, { makeCandidate("r", 3000) }, wall);
    REQUIRE(starts.size() == 3);
    REQUIRE(starts[0].run.task.job == "c-new");
    REQUIRE(starts[1].run.task.job == "b-late");
    REQUIRE(starts[2].run.task.job == "a-expired");
}

// Guards against a lower-priority queue that is served first in a shared pool.
TEST_CASE("The queue of the higher priority comes first in a shared pool", "[placement]")
{
    auto configuration = makeConfiguration();
    auto lower = configuration.queues.front();
    configuration.queues.front().priority = 0;
    lower.key = "host/lower/";
    lower.priority = 1;
    configuration.queues.push_back(lower);
    JobStore store;
    store.apply(AcceptConfiguration { configuration }, {});
    auto early = makeJob("a-lower", { makeStep(1) });
    early.queue = "host/lower/";
    store.apply(SubmitJob { early, wall - Millis { 500 } }, {});
    store.apply(SubmitJob { makeJob("b-higher", { makeStep(1) }), wall }, {});
    auto starts = planStarts(store, { makeCandidate("r", 1000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "b-higher");
}

// Guards against long-running jobs that count as expired after a while, so that their pool loses its
// machines.
TEST_CASE("A long-running job is never late", "[placement]")
{
    auto step = makeStep(1);
    step.isLongRunning = true;
    auto store = storeWith({ makeJob("a", { step }) }, { wall.count - 600000 });
    REQUIRE(latenessOf(*store.findJob("a"), wall) == JobLateness::InTime);
    // It precedes a job that must start at once.
    store.apply(SubmitJob { makeJob("b", { makeStep(1) }), { wall.count - 3000 } }, {});
    auto starts = planStarts(store, { makeCandidate("r", 1000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "a");
}

// Guards against a start order that ignores the remaining critical path.
TEST_CASE("The job with less slack starts first", "[placement]")
{
    auto second = makeStep(1);
    second.after = { 0 };
    second.estimate = { 2000 };
    // Submitted early enough to outweigh the larger objective of its longer critical path.
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    store.apply(SubmitJob { makeJob("a-short", { makeStep(1) }), wall }, {});
    store.apply(SubmitJob { makeJob("b-long", { makeStep(1), second }), wall - Millis { 500 } }, {});
    auto starts = planStarts(store, { makeCandidate("r", 1000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "b-long");
}

// Guards against fragmentation of a pool that is nearly full.
TEST_CASE("A small task goes to the runner with the best fit", "[placement]")
{
    auto store = storeWith({ makeJob("a", { makeStep(1, 1000) }) });
    auto starts = planStarts(store, { makeCandidate("wide", 16000), makeCandidate("tight", 1200) }, wall);
    REQUIRE(starts.at(0).incarnation.runner == "tight");
}

// Guards against starts beyond the capacity of a runner.
TEST_CASE("No runner gets more than its free capacity", "[placement]")
{
    auto store = storeWith({ makeJob("a", { makeStep(20, 1000) }) });
    auto counts
        = startsByRunner(planStarts(store, { makeCandidate("x", 3500), makeCandidate("y", 2000) }, wall));
    REQUIRE(counts["x"] == 3);
    REQUIRE(counts["y"] == 2);
}

// Guards against tasks that should be kept apart but share a runner.
TEST_CASE("A step's limit on one runner holds", "[placement]")
{
    auto step = makeStep(4);
    step.maxPerRunner = 1;
    auto store = storeWith({ makeJob("a", { step }) });
    auto counts
        = startsByRunner(planStarts(store, { makeCandidate("x", 16000), makeCandidate("y", 16000) }, wall));
    REQUIRE(counts == std::map<std::string, int> { { "x", 1 }, { "y", 1 } });
}

// Guards against a start on a runner without the required label.
TEST_CASE("A required label is kept, the rack of the data preferred", "[placement]")
{
    auto step = makeStep(1);
    step.requiredLabel = "b";
    step.dataRack = "rack-2";
    auto store = storeWith({ makeJob("a", { step }) });
    std::vector<PlacementCandidate> candidates { makeCandidate("x", 9000, { "a", "rack-2" }),
        makeCandidate("y", 1000, { "b", "rack-1" }), makeCandidate("z", 9000, { "b", "rack-2" }) };
    REQUIRE(planStarts(store, candidates, wall).at(0).incarnation.runner == "z");
    candidates.resize(1);
    REQUIRE(planStarts(store, candidates, wall).empty());
}

// Guards against a partially started gang that waits for capacity for its other tasks.
TEST_CASE("A gang starts as a whole or not at all", "[placement]")
{
    auto gang = makeStep(3);
    gang.isGang = true;
    auto store = storeWith({ makeJob("gang", { gang }), makeJob("plain", { makeStep(1) }) });
    auto starts = planStarts(store, { makeCandidate("r", 2000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "plain");
    REQUIRE(planStarts(store, { makeCandidate("r", 4000) }, wall).size() == 4);
}

// Guards against a start on a runner of another pool.
TEST_CASE("Only the queue's own pool is used", "[placement]")
{
    auto store = storeWith({ makeJob("a", { makeStep(1) }) });
    auto candidate = makeCandidate("r", 9000);
    candidate.service = "other";
    REQUIRE(planStarts(store, { candidate }, wall).empty());
}

// Guards against best-effort tasks that don't fit beside serving ones; they reserve only memory.
TEST_CASE("A best-effort step reserves no CPU", "[placement]")
{
    auto bestEffort = makeStep(2, 9000, 100);
    bestEffort.isBestEffort = true;
    auto store = storeWith({ makeJob("a", { bestEffort }) });
    REQUIRE(planStarts(store, { makeCandidate("r", 0) }, wall).size() == 2);
}

// Guards against a step that is spread over racks although it fits into one.
TEST_CASE("A step that should share a rack goes to the rack with the tightest fit", "[placement]")
{
    auto step = makeStep(3);
    step.sameRack = true;
    auto store = storeWith({ makeJob("j", { step }) });
    std::vector<PlacementCandidate> candidates = { makeCandidate("a1", 2000), makeCandidate("b1", 2000),
        makeCandidate("b2", 2000), makeCandidate("c1", 4000), makeCandidate("c2", 4000) };
    candidates[0].rack = "a";
    candidates[1].rack = candidates[2].rack = "b";
    candidates[3].rack = candidates[4].rack = "c";
    auto counts = startsByRunner(planStarts(store, candidates, wall));
    REQUIRE(counts["b1"] + counts["b2"] == 3);
    // Active runs determine the rack of the remaining tasks.
    store.apply(StartRun { { { "j", 0, 0, 0 }, 1 }, candidates[3].incarnation }, {});
    counts = startsByRunner(planStarts(store, candidates, wall));
    REQUIRE(counts["c1"] + counts["c2"] == 2);
}

// Guards against a failing worker that attracts tasks because it is the best fit.
TEST_CASE("A task doesn't start again where it failed, and goes last to where others failed", "[placement]")
{
    auto store = storeWith({ makeJob("j", { makeStep(1) }) });
    PlacementHints hints;
    hints.failedOn[{ "j", 0, 0, 0 }]["bad"] = hints.now;
    REQUIRE(planStarts(store, { makeCandidate("bad", 1000), makeCandidate("full", 0) }, wall, hints).empty());
    REQUIRE(planStarts(store, { makeCandidate("bad", 1000) }, wall, hints).size() == 1);
    auto suspect = makeCandidate("suspect", 1000);
    suspect.failuresInARow = 1;
    auto starts = planStarts(store, { suspect, makeCandidate("good", 5000) }, wall);
    REQUIRE(starts.at(0).incarnation.runner == "good");
}

// Guards against a task that waits forever for a runner without capacity, because it failed on those that
// have some.
TEST_CASE("A task waits only a while for a runner where it didn't fail", "[placement]")
{
    auto store = storeWith({ makeJob("j", { makeStep(1) }) });
    PlacementHints hints;
    hints.failedOn[{ "j", 0, 0, 0 }]["bad"] = hints.now;
    hints.now = { 1999 };
    REQUIRE(planStarts(store, { makeCandidate("bad", 1000), makeCandidate("full", 0) }, wall, hints).empty());
    hints.now = { 2000 };
    REQUIRE(
        planStarts(store, { makeCandidate("bad", 1000), makeCandidate("full", 0) }, wall, hints).size() == 1);
    auto starts = planStarts(store, { makeCandidate("bad", 1000), makeCandidate("good", 5000) }, wall, hints);
    REQUIRE(starts.at(0).incarnation.runner == "good");
}

// Guards against a runner on probation that gets more than one task.
TEST_CASE("A runner on probation gets one task", "[placement]")
{
    auto store = storeWith({ makeJob("j", { makeStep(3) }) });
    auto candidate = makeCandidate("r", 10000);
    candidate.takesOneTask = true;
    REQUIRE(planStarts(store, { candidate }, wall).size() == 1);
}

// Guards against a second run of a slow task that displaces waiting tasks or shares the runner of the first
// run.
TEST_CASE("A second run of a slow task starts on another runner, behind all other tasks", "[placement]")
{
    auto step = makeStep(1);
    step.isSpeculative = true;
    auto store = storeWith({ makeJob("slow", { step }), makeJob("waits", { makeStep(1) }) });
    auto first = makeCandidate("r1", 5000);
    store.apply(StartRun { { { "slow", 0, 0, 0 }, 1 }, first.incarnation }, {});
    PlacementHints hints;
    hints.speculativeTasks.insert({ "slow", 0, 0, 0 });
    auto starts = planStarts(store, { makeCandidate("r2", 1000) }, wall, hints);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "waits");
    starts = planStarts(store, { makeCandidate("r2", 2000) }, wall, hints);
    REQUIRE(starts.size() == 2);
    REQUIRE(starts[1].run == RunName { { "slow", 0, 0, 0 }, 2 });
    REQUIRE(planStarts(store, { first }, wall, hints).size() == 1);
}

// Guards against a backlog of thousands of jobs for a full pool that blocks an idle pool.
TEST_CASE("A backlog of one pool doesn't hold up another pool", "[placement]")
{
    auto configuration = makeConfiguration();
    auto other = configuration.queues.front();
    other.key = "host/other/";
    other.service = "other-pool";
    configuration.queues.push_back(other);
    JobStore store;
    store.apply(AcceptConfiguration { configuration }, {});
    for (int i = 0; i < 3000; ++i)
        store.apply(SubmitJob { makeJob("full-" + std::to_string(i), { makeStep(1) }), wall }, {});
    auto job = makeJob("idle", { makeStep(1) });
    job.queue = other.key;
    store.apply(SubmitJob { job, { wall.count + 1000 } }, {});
    auto idle = makeCandidate("i", 1000);
    idle.service = other.service;
    auto starts = planStarts(store, { makeCandidate("f", 500), idle }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "idle");
}

// Guards against spending capacity on the oldest late jobs, whose results may have no value any more.
TEST_CASE("Among late jobs the one that is late for the shortest time comes first", "[placement]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    store.apply(SubmitJob { makeJob("a-older", { makeStep(1) }), { wall.count - 9000 } }, {});
    store.apply(SubmitJob { makeJob("b-newer", { makeStep(1) }), { wall.count - 5000 } }, {});
    auto starts = planStarts(store, { makeCandidate("r", 1000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "b-newer");
}

// Guards against a scheduled job whose lateness counts from its submission instead of the due time of its
// occurrence.
TEST_CASE("An occurrence is late by its own due time", "[placement]")
{
    auto job = makeJob("a", { makeStep(1) });
    job.occurrences = 2;
    job.firstDue = wall;
    job.period = { 1000 };
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    store.apply(SubmitJob { job, { wall.count - 60000 } }, {});
    store.apply(OpenOccurrence { "a", 0 }, {});
    REQUIRE(latenessOf(*store.findJob("a"), wall) == JobLateness::InTime);
    REQUIRE(latenessOf(*store.findJob("a"), { wall.count + 4000 }) == JobLateness::Late);
}

// Guards against a second run that shares a runner with another task of its step started by the same plan,
// although the step allows one task per runner.
TEST_CASE("A second run counts the starts of the same plan", "[placement]")
{
    auto step = makeStep(2);
    step.isSpeculative = true;
    step.maxPerRunner = 1;
    auto store = storeWith({ makeJob("a", { step }) });
    TaskName slow { "a", 0, 0, 0 };
    store.apply(StartRun { { slow, 1 }, { "slow", { 1 } } }, {});
    PlacementHints hints;
    hints.speculativeTasks.insert(slow);
    auto starts = planStarts(store, { makeCandidate("free", 4000) }, wall, hints);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.index == 1);
}

// Guards against starvation of a small job behind hundreds of late jobs whose tasks are larger than any gap
// of the pool.
TEST_CASE("A small job starts behind a backlog of large ones", "[placement]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    for (int i = 0; i < 300; ++i) {
        auto large = makeJob("large-" + std::to_string(i), { makeStep(4, 3000) });
        store.apply(SubmitJob { large, { wall.count - 5000 } }, {});
    }
    store.apply(SubmitJob { makeJob("small", { makeStep(1) }), { wall.count - 9000 } }, {});
    auto starts = planStarts(store, { makeCandidate("r", 2000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "small");
}

// Guards against starvation of a small job behind hundreds of late jobs whose tasks need more memory than any
// runner has free, while CPU is available.
TEST_CASE("A small job starts behind a backlog of jobs that need much memory", "[placement]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    for (int i = 0; i < 300; ++i) {
        auto large = makeJob("large-" + std::to_string(i), { makeStep(4, 1000, 20000 + i) });
        store.apply(SubmitJob { large, { wall.count - 5000 } }, {});
    }
    store.apply(SubmitJob { makeJob("small", { makeStep(1) }), { wall.count - 9000 } }, {});
    auto candidate = makeCandidate("r", 8000);
    candidate.free.memoryMb = 16000;
    auto starts = planStarts(store, { candidate }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "small");
}

// Guards against starvation of a queue because hundreds of jobs of another queue in its pool wait for advice.
TEST_CASE("Jobs that wait for advice don't hold up another queue of their pool", "[placement]")
{
    auto configuration = makeConfiguration();
    auto advised = configuration.queues.front();
    advised.key = "host/advised/";
    advised.needsAdvice = true;
    configuration.queues.push_back(advised);
    JobStore store;
    store.apply(AcceptConfiguration { configuration }, {});
    for (int i = 0; i < 300; ++i) {
        auto job = makeJob("advised-" + std::to_string(i), { makeStep(1) });
        job.queue = advised.key;
        store.apply(SubmitJob { job, { wall.count - 1000 } }, {});
    }
    store.apply(SubmitJob { makeJob("plain", { makeStep(1) }), wall }, {});
    auto starts = planStarts(store, { makeCandidate("r", 8000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "plain");
}
