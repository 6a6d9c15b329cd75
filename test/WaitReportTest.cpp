#include "celeryline/jobs/WaitReport.h"

#include "celeryline/jobs/TaskFit.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

#include <set>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr Millis wall { 100000 };

using Counts = std::map<WaitReason, std::uint32_t>;

PoolRunner makeRunner(const std::string& id, WaitReason refusal = WaitReason::HasRoom)
{
    return { { { id, { 1 } }, "pool", {}, { 4000, 8000, 1 } }, refusal };
}

void submit(JobStore& store, const JobSpec& job, Millis submittedAt = wall)
{
    store.apply(SubmitJob { job, submittedAt }, {});
}

JobStore emptyStore(bool needsAdvice = false)
{
    JobStore store;
    auto configuration = makeConfiguration();
    configuration.queues[0].needsAdvice = needsAdvice;
    store.apply(AcceptConfiguration { configuration }, {});
    return store;
}

/// @return the counts for a job with one step.
Counts countsFor(
    const StepSpec& step, const std::vector<PoolRunner>& runners, const PlacementHints& hints = {})
{
    auto store = emptyStore();
    submit(store, makeJob("a", { step }));
    auto waits = findPoolWaits(store, runners, {}, wall, hints);
    REQUIRE(waits.size() == 1);
    return waits[0].runners;
}

} // namespace

// Guards against a runner that is counted under the wrong reason.
TEST_CASE("A runner that takes no task is counted under its reason", "[waits]")
{
    for (auto refusal : { WaitReason::Leaving, WaitReason::Silent, WaitReason::Reserved,
             WaitReason::Quarantine, WaitReason::Probation, WaitReason::HasRoom }) {
        REQUIRE(countsFor(makeStep(1), { makeRunner("r", refusal) }) == Counts { { refusal, 1 } });
    }
    auto other = makeRunner("other");
    other.candidate.service = "other pool";
    REQUIRE(countsFor(makeStep(1), { other }).empty());
}

// Guards against a report that names the wrong resource as insufficient.
TEST_CASE("A runner on which a task doesn't fit is counted under what is short", "[waits]")
{
    REQUIRE(countsFor(makeStep(1, 4001), { makeRunner("r") }) == Counts { { WaitReason::LittleCpu, 1 } });
    REQUIRE(countsFor(makeStep(1, 1000, 8001), { makeRunner("r") })
        == Counts { { WaitReason::LittleMemory, 1 } });
    auto step = makeStep(1);
    step.demand.accelerators = 2;
    REQUIRE(countsFor(step, { makeRunner("r") }) == Counts { { WaitReason::FewAccelerators, 1 } });
    step = makeStep(1, 4001);
    step.isBestEffort = true; // It reserves no CPU.
    REQUIRE(countsFor(step, { makeRunner("r") }) == Counts { { WaitReason::HasRoom, 1 } });
    step.requiredLabel = "ssd";
    auto labelled = makeRunner("labelled");
    labelled.candidate.labels = { "ssd" };
    REQUIRE(countsFor(step, { makeRunner("r"), labelled })
        == Counts { { WaitReason::HasRoom, 1 }, { WaitReason::MissingLabel, 1 } });
}

// Guards against a limit that the plan enforces and the report ignores. A job without active runs never
// reaches it, so the check that both share is tested directly.
TEST_CASE("A runner that holds as many tasks of a step as it may is at its limit", "[waits]")
{
    auto step = makeStep(3);
    step.maxPerRunner = 2;
    REQUIRE(checkDemand(step, makeRunner("r").candidate, 1) == WaitReason::HasRoom);
    REQUIRE(checkDemand(step, makeRunner("r").candidate, 2) == WaitReason::TaskLimit);
}

// Guards against an unreported wait of a failed task for other runners of its pool, which are full.
TEST_CASE("A runner on which the task failed is counted while another one could run it", "[waits]")
{
    PlacementHints hints;
    hints.failedOn[{ "a", 0, 0, 0 }]["bad"] = hints.now;
    auto full = makeRunner("full");
    full.candidate.free = {};
    REQUIRE(countsFor(makeStep(1), { makeRunner("bad"), full }, hints)
        == Counts { { WaitReason::FailedThere, 1 }, { WaitReason::LittleCpu, 1 } });
    REQUIRE(countsFor(makeStep(1), { makeRunner("bad") }, hints) == Counts { { WaitReason::HasRoom, 1 } });
    REQUIRE(countsFor(makeStep(1), { makeRunner("bad"), makeRunner("q", WaitReason::Quarantine) }, hints)
        == Counts { { WaitReason::HasRoom, 1 }, { WaitReason::Quarantine, 1 } });
}

// Guards against a queue that appears to have capacity while its advice service doesn't answer.
TEST_CASE("A runner without advice is counted in a queue that needs it", "[waits]")
{
    auto store = emptyStore(true);
    submit(store, makeJob("a", { makeStep(1) }));
    std::vector<PoolRunner> runners { makeRunner("named"), makeRunner("r") };
    REQUIRE(findPoolWaits(store, runners, {}, wall)[0].runners == Counts { { WaitReason::NoAdvice, 2 } });
    AdviceCheck advice { [](const TaskName&) { return true; },
        [](const TaskName&, const std::string& runner) { return runner == "named"; } };
    REQUIRE(findPoolWaits(store, runners, {}, wall, {}, advice)[0].runners
        == Counts { { WaitReason::HasRoom, 1 }, { WaitReason::NoAdvice, 1 } });
}

// Guards against a report about a job with active runs, or about one that isn't the oldest. The job with the
// long estimate has the earliest latest start and isn't the oldest.
TEST_CASE("The oldest job of which nothing runs is reported", "[waits]")
{
    auto store = emptyStore();
    REQUIRE(findPoolWaits(store, { makeRunner("r") }, {}, wall).empty());
    auto slow = makeStep(1);
    slow.estimate = { 90000 };
    submit(store, makeJob("started", { makeStep(2) }), { wall.count - 9000 });
    store.apply(StartRun { { { "started", 0, 0, 0 }, 1 }, { "r", { 1 } } }, wall);
    submit(store, makeJob("newer", { slow }), { wall.count - 4000 });
    submit(store, makeJob("oldest", { makeStep(3), makeStep(1) }), { wall.count - 5000 });
    submit(store, makeJob("newest", { makeStep(1) }));
    auto waits = findPoolWaits(store, {}, {}, wall);
    REQUIRE(waits.size() == 1);
    REQUIRE(waits[0].pool == "pool");
    REQUIRE(waits[0].task == TaskName { "oldest", 0, 0, 0 });
    REQUIRE(waits[0].tasksWaiting == 3);
    REQUIRE(waits[0].age == Millis { 5000 });
    REQUIRE(waits[0].lateness == JobLateness::Late);
    REQUIRE(waits[0].demand == makeStep(1).demand);
    REQUIRE(waits[0].runners.empty());
}

// Guards against a report that names a step that isn't ready, or a task that is done.
TEST_CASE("The first task that waits is reported", "[waits]")
{
    auto store = emptyStore();
    auto second = makeStep(2);
    second.after = { 0 };
    submit(store, makeJob("a", { makeStep(1), second }));
    REQUIRE(waitingTaskOf(*store.findJob("a")) == TaskName { "a", 0, 0, 0 });
    for (const auto& task : { TaskName { "a", 0, 0, 0 }, TaskName { "a", 0, 1, 0 } }) {
        store.apply(StartRun { { task, 1 }, { "r", { 1 } } }, wall);
        REQUIRE_FALSE(waitingTaskOf(*store.findJob("a")));
        store.apply(EndRun { { task, 1 }, RunOutcome::Done, "" }, wall);
    }
    REQUIRE(waitingTaskOf(*store.findJob("a")) == TaskName { "a", 0, 1, 1 });
    REQUIRE(findPoolWaits(store, {}, {}, wall)[0].tasksWaiting == 1);
}

// Guards against log fields with the same name.
TEST_CASE("Each reason has a name of its own", "[waits]")
{
    std::set<std::string> names;
    for (auto reason : allWaitReasons)
        names.insert(waitReasonName(reason));
    REQUIRE(names.size() == allWaitReasons.size());
    REQUIRE(names.count("") == 0);
}
