#include "celeryline/jobs/StartPlan.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

#include <map>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr Millis wall { 100000 };

RunnerRoom makeRoom(const std::string& runner, std::int64_t cpuMilli, std::vector<std::string> labels = {})
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

std::vector<StartRun> planStarts(
    const JobStore& store, const std::vector<RunnerRoom>& rooms, Millis wallNow, const StartHints& hints = {})
{
    RoomIndex index;
    for (const auto& room : rooms)
        index.set(room);
    return planStarts(store, index, wallNow, hints);
}

std::map<std::string, int> startsByRunner(const std::vector<StartRun>& starts)
{
    std::map<std::string, int> counts;
    for (const auto& start : starts)
        ++counts[start.life.runner];
    return counts;
}

} // namespace

// Load: a backlog of jobs that are already late, and new ones that can still meet their objective.
TEST_CASE("Late jobs come behind those that can still be on time", "[placement]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    store.apply(SubmitJob { makeJob("a-expired", { makeStep(1) }), { wall.count - 60000 } }, {});
    store.apply(SubmitJob { makeJob("b-late", { makeStep(1) }), { wall.count - 5000 } }, {});
    store.apply(SubmitJob { makeJob("c-new", { makeStep(1) }), wall }, {});
    auto starts = planStarts(store, { makeRoom("r", 3000) }, wall);
    REQUIRE(starts.size() == 3);
    REQUIRE(starts[0].run.task.job == "c-new");
    REQUIRE(starts[1].run.task.job == "b-late");
    REQUIRE(starts[2].run.task.job == "a-expired");
}

// Load: two queues of different priority that share a pool.
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
    auto starts = planStarts(store, { makeRoom("r", 1000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "b-higher");
}

// Guards against long-running jobs that count as expired after a while, so that their pool gave up their
// machines.
TEST_CASE("A long-running job is never late", "[placement]")
{
    auto step = makeStep(1);
    step.isLongRunning = true;
    auto store = storeWith({ makeJob("a", { step }) }, { wall.count - 600000 });
    REQUIRE(latenessOf(*store.findJob("a"), wall) == JobLateness::InTime);
    // It comes before a job that must start at once.
    store.apply(SubmitJob { makeJob("b", { makeStep(1) }), { wall.count - 3000 } }, {});
    auto starts = planStarts(store, { makeRoom("r", 1000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "a");
}

// Load: two jobs at once, of which one has the longer chain of steps.
TEST_CASE("The job with less slack starts first", "[placement]")
{
    auto second = makeStep(1);
    second.after = { 0 };
    second.estimate = { 2000 };
    // Submitted so much earlier that the stretch of its longer chain doesn't make up for it.
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    store.apply(SubmitJob { makeJob("a-short", { makeStep(1) }), wall }, {});
    store.apply(SubmitJob { makeJob("b-long", { makeStep(1), second }), wall - Millis { 500 } }, {});
    auto starts = planStarts(store, { makeRoom("r", 1000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "b-long");
}

// Load: tasks of several sizes on a pool that is nearly full.
TEST_CASE("A small task goes where it fits closest", "[placement]")
{
    auto store = storeWith({ makeJob("a", { makeStep(1, 1000) }) });
    auto starts = planStarts(store, { makeRoom("wide", 16000), makeRoom("tight", 1200) }, wall);
    REQUIRE(starts.at(0).life.runner == "tight");
}

// Guards against starts beyond a runner's capacity.
TEST_CASE("No runner gets more than it has room for", "[placement]")
{
    auto store = storeWith({ makeJob("a", { makeStep(20, 1000) }) });
    auto counts = startsByRunner(planStarts(store, { makeRoom("x", 3500), makeRoom("y", 2000) }, wall));
    REQUIRE(counts["x"] == 3);
    REQUIRE(counts["y"] == 2);
}

// Guards against tasks that must be kept apart ending up on one runner.
TEST_CASE("A step's limit on one runner holds", "[placement]")
{
    auto step = makeStep(4);
    step.maxPerRunner = 1;
    auto store = storeWith({ makeJob("a", { step }) });
    auto counts = startsByRunner(planStarts(store, { makeRoom("x", 16000), makeRoom("y", 16000) }, wall));
    REQUIRE(counts == std::map<std::string, int> { { "x", 1 }, { "y", 1 } });
}

// Guards against a runner without the label that a step requires.
TEST_CASE("A required label is kept, the rack of the data preferred", "[placement]")
{
    auto step = makeStep(1);
    step.requiredLabel = "b";
    step.dataRack = "rack-2";
    auto store = storeWith({ makeJob("a", { step }) });
    std::vector<RunnerRoom> rooms { makeRoom("x", 9000, { "a", "rack-2" }),
        makeRoom("y", 1000, { "b", "rack-1" }), makeRoom("z", 9000, { "b", "rack-2" }) };
    REQUIRE(planStarts(store, rooms, wall).at(0).life.runner == "z");
    rooms.resize(1);
    REQUIRE(planStarts(store, rooms, wall).empty());
}

// Guards against a part of a gang that waits for members for which there is no room.
TEST_CASE("A gang starts as a whole or not at all", "[placement]")
{
    auto gang = makeStep(3);
    gang.isGang = true;
    auto store = storeWith({ makeJob("gang", { gang }), makeJob("plain", { makeStep(1) }) });
    auto starts = planStarts(store, { makeRoom("r", 2000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "plain");
    REQUIRE(planStarts(store, { makeRoom("r", 4000) }, wall).size() == 4);
}

// Guards against a start on a runner of another pool.
TEST_CASE("Only the queue's own pool is used", "[placement]")
{
    auto store = storeWith({ makeJob("a", { makeStep(1) }) });
    auto room = makeRoom("r", 9000);
    room.service = "other";
    REQUIRE(planStarts(store, { room }, wall).empty());
}

// Load: fillers beside serving tasks; they use what is left of the processor and reserve memory only.
TEST_CASE("A filling step reserves no processor time", "[placement]")
{
    auto filler = makeStep(2, 9000, 100);
    filler.fills = true;
    auto store = storeWith({ makeJob("a", { filler }) });
    REQUIRE(planStarts(store, { makeRoom("r", 0) }, wall).size() == 2);
}

// Load: steps whose tasks are slower when they are spread over racks.
TEST_CASE("A step that should share a rack goes where all of it fits most closely", "[placement]")
{
    auto step = makeStep(3);
    step.sameRack = true;
    auto store = storeWith({ makeJob("j", { step }) });
    std::vector<RunnerRoom> rooms = { makeRoom("a1", 2000), makeRoom("b1", 2000), makeRoom("b2", 2000),
        makeRoom("c1", 4000), makeRoom("c2", 4000) };
    rooms[0].rack = "a";
    rooms[1].rack = rooms[2].rack = "b";
    rooms[3].rack = rooms[4].rack = "c";
    auto counts = startsByRunner(planStarts(store, rooms, wall));
    REQUIRE(counts["b1"] + counts["b2"] == 3);
    // What runs already decides for the tasks that follow.
    store.apply(StartRun { { { "j", 0, 0, 0 }, 1 }, rooms[3].life }, {});
    counts = startsByRunner(planStarts(store, rooms, wall));
    REQUIRE(counts["c1"] + counts["c2"] == 2);
}

// Load: a worker that fails everything has the least room left, so that tasks fit there most closely.
TEST_CASE("A task doesn't start again where it failed, and goes last to where others failed", "[placement]")
{
    auto store = storeWith({ makeJob("j", { makeStep(1) }) });
    StartHints hints;
    hints.failedOn[{ "j", 0, 0, 0 }]["bad"] = hints.now;
    REQUIRE(planStarts(store, { makeRoom("bad", 1000), makeRoom("full", 0) }, wall, hints).empty());
    REQUIRE(planStarts(store, { makeRoom("bad", 1000) }, wall, hints).size() == 1);
    auto suspect = makeRoom("suspect", 1000);
    suspect.failuresInARow = 1;
    auto starts = planStarts(store, { suspect, makeRoom("good", 5000) }, wall);
    REQUIRE(starts.at(0).life.runner == "good");
}

// Guards against a task that waits for ever for a runner without room, because it failed on those that have
// some (LOST, Atlas quiet-1 seed 402506973380).
TEST_CASE("A task waits only a while for a runner where it didn't fail", "[placement]")
{
    auto store = storeWith({ makeJob("j", { makeStep(1) }) });
    StartHints hints;
    hints.failedOn[{ "j", 0, 0, 0 }]["bad"] = hints.now;
    hints.now = { 1999 };
    REQUIRE(planStarts(store, { makeRoom("bad", 1000), makeRoom("full", 0) }, wall, hints).empty());
    hints.now = { 2000 };
    REQUIRE(planStarts(store, { makeRoom("bad", 1000), makeRoom("full", 0) }, wall, hints).size() == 1);
    auto starts = planStarts(store, { makeRoom("bad", 1000), makeRoom("good", 5000) }, wall, hints);
    REQUIRE(starts.at(0).life.runner == "good");
}

// Guards against a runner that is being tried out and gets more than one task.
TEST_CASE("A runner on probation gets one task", "[placement]")
{
    auto store = storeWith({ makeJob("j", { makeStep(3) }) });
    auto room = makeRoom("r", 10000);
    room.takesOneTask = true;
    REQUIRE(planStarts(store, { room }, wall).size() == 1);
}

// Load: a task whose run stands still and whose step allows copies.
TEST_CASE("A copy runs beside a slow run, on another runner, behind all other tasks", "[placement]")
{
    auto step = makeStep(1);
    step.isSpeculative = true;
    auto store = storeWith({ makeJob("slow", { step }), makeJob("waits", { makeStep(1) }) });
    auto first = makeRoom("r1", 5000);
    store.apply(StartRun { { { "slow", 0, 0, 0 }, 1 }, first.life }, {});
    StartHints hints;
    hints.copies.insert({ "slow", 0, 0, 0 });
    auto starts = planStarts(store, { makeRoom("r2", 1000) }, wall, hints);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "waits");
    starts = planStarts(store, { makeRoom("r2", 2000) }, wall, hints);
    REQUIRE(starts.size() == 2);
    REQUIRE(starts[1].run == RunName { { "slow", 0, 0, 0 }, 2 });
    REQUIRE(planStarts(store, { first }, wall, hints).size() == 1);
}

// Load: a backlog of thousands of jobs that wait for a pool without room, while another pool is idle.
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
    auto idle = makeRoom("i", 1000);
    idle.service = other.service;
    auto starts = planStarts(store, { makeRoom("f", 500), idle }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "idle");
}

// Load: jobs that have all become late; the oldest can't be of use to their callers any more.
TEST_CASE("Among late jobs the one that is late for the shortest time comes first", "[placement]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    store.apply(SubmitJob { makeJob("a-older", { makeStep(1) }), { wall.count - 9000 } }, {});
    store.apply(SubmitJob { makeJob("b-newer", { makeStep(1) }), { wall.count - 5000 } }, {});
    auto starts = planStarts(store, { makeRoom("r", 1000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "b-newer");
}

// Guards against a scheduled job that counts as late from its submission on, although its next occurrence has
// just become due.
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

// Guards against a copy beside another task of its step that the same plan starts on the runner, although the
// step allows one task on each (ROUTE, Atlas grown, fresh-f588).
TEST_CASE("A copy counts the starts of the same plan", "[placement]")
{
    auto step = makeStep(2);
    step.isSpeculative = true;
    step.maxPerRunner = 1;
    auto store = storeWith({ makeJob("a", { step }) });
    TaskName slow { "a", 0, 0, 0 };
    store.apply(StartRun { { slow, 1 }, { "slow", { 1 } } }, {});
    StartHints hints;
    hints.copies.insert(slow);
    auto starts = planStarts(store, { makeRoom("free", 4000) }, wall, hints);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.index == 1);
}

// Load: hundreds of late jobs with tasks that are larger than any gap of their pool, and an older one that
// fits.
TEST_CASE("A small job starts behind a backlog of large ones", "[placement]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    for (int i = 0; i < 300; ++i) {
        auto large = makeJob("large-" + std::to_string(i), { makeStep(4, 3000) });
        store.apply(SubmitJob { large, { wall.count - 5000 } }, {});
    }
    store.apply(SubmitJob { makeJob("small", { makeStep(1) }), { wall.count - 9000 } }, {});
    auto starts = planStarts(store, { makeRoom("r", 2000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "small");
}

// Load: hundreds of late jobs whose tasks need more memory than any runner has left, with processor time to
// spare, and an older job that fits.
TEST_CASE("A small job starts behind a backlog of jobs that need much memory", "[placement]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    for (int i = 0; i < 300; ++i) {
        auto large = makeJob("large-" + std::to_string(i), { makeStep(4, 1000, 20000 + i) });
        store.apply(SubmitJob { large, { wall.count - 5000 } }, {});
    }
    store.apply(SubmitJob { makeJob("small", { makeStep(1) }), { wall.count - 9000 } }, {});
    auto room = makeRoom("r", 8000);
    room.free.memoryMb = 16000;
    auto starts = planStarts(store, { room }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "small");
}

// Guards against a queue that starves because hundreds of jobs of another queue of its pool wait for advice.
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
    auto starts = planStarts(store, { makeRoom("r", 8000) }, wall);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "plain");
}
