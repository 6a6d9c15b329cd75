// Plans with customers that have a limit.
#include "CustomerKit.h"
#include "celeryline/jobs/WaitReport.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr Millis wall { 100000 };
const Resources large { 1000000, 1000000, 100 };

JobStore storeWithLimit(const Resources& limit)
{
    JobStore store;
    auto configuration = makeCustomerConfiguration({ "a", "b" });
    configuration.customers[0].limit = limit;
    store.apply(AcceptConfiguration { configuration }, {});
    return store;
}

void submit(JobStore& store, const std::string& id, const std::string& customer, const StepSpec& step,
    Millis submittedAt = wall)
{
    store.apply(SubmitJob { makeCustomerJob(id, customer, { step }), submittedAt }, {});
}

void applyAll(JobStore& store, const std::vector<StartRun>& starts)
{
    for (const auto& start : starts)
        store.apply(start, {});
}

} // namespace

// Guards against starts of one plan that exceed a limit together, and against a wide step that never starts.
TEST_CASE("A step that is wider than the limit runs in parts", "[customers][quota]")
{
    auto store = storeWithLimit({ 3000, 0, 0 });
    submit(store, "wide", "a", makeStep(8));
    submit(store, "other", "b", makeStep(8));
    auto starts = planOn(store, 4, { 8000, 100000, 0 }, wall);
    REQUIRE(startsByCustomer(store, starts) == std::map<std::string, int> { { "a", 3 }, { "b", 8 } });
    applyAll(store, starts);
    REQUIRE(planOn(store, 4, large, wall).empty());
    auto wide = std::find_if(
        starts.begin(), starts.end(), [](const StartRun& start) { return start.run.task.job == "wide"; });
    store.apply(EndRun { wide->run, RunOutcome::Done, "" }, {});
    REQUIRE(planOn(store, 4, large, wall).size() == 1);
}

// Guards against a limit that is checked for CPU only.
TEST_CASE("Each resource is limited for itself", "[customers][quota]")
{
    auto step = makeStep(8, 1000, 1000);
    step.demand.accelerators = 1;
    for (const auto& [limit, expected] : std::map<std::int64_t, Resources> {
             { 2, { 2500, 0, 0 } }, { 4, { 0, 4000, 0 } }, { 1, { 0, 0, 1 } }, { 8, {} } }) {
        auto store = storeWithLimit(expected);
        submit(store, "j", "a", step);
        REQUIRE(static_cast<std::int64_t>(planOn(store, 4, large, wall).size()) == limit);
    }
}

// Guards against a gang of which some members start within the limit.
TEST_CASE("A gang starts within the limit as a whole or not at all", "[customers][quota]")
{
    auto store = storeWithLimit({ 4000, 0, 0 });
    submit(store, "first", "a", makeStep(1), wall - Millis { 100 });
    auto gang = makeStep(4);
    gang.isGang = true;
    applyAll(store, planOn(store, 4, large, wall));
    submit(store, "gang", "a", gang);
    REQUIRE(planOn(store, 4, large, wall).empty());
    store.apply(EndRun { { { "first", 0, 0, 0 }, 1 }, RunOutcome::Done, "" }, {});
    REQUIRE(planOn(store, 4, large, wall).size() == 4);
    // A gang without room on the runners leaves the limit to others.
    submit(store, "small", "a", makeStep(4));
    REQUIRE(planOn(store, 1, { 3000, 10000, 0 }, wall).size() == 3);
}

// Guards against a second run that exceeds the limit.
TEST_CASE("A speculative copy counts against the limit", "[customers][quota]")
{
    for (std::int64_t cores : { 1, 2 }) {
        auto store = storeWithLimit({ cores * 1000, 0, 0 });
        auto step = makeStep(1);
        step.isSpeculative = true;
        submit(store, "j", "a", step);
        applyAll(store, { { { { "j", 0, 0, 0 }, 1 }, { "elsewhere", { 1 } } } });
        PlacementHints hints;
        hints.speculativeTasks.insert({ "j", 0, 0, 0 });
        REQUIRE(static_cast<std::int64_t>(planOn(store, 2, large, wall, hints).size()) == cores - 1);
    }
}

// Guards against best-effort tasks that run without a bound, since they reserve no CPU.
TEST_CASE("Best-effort and long-running tasks count in full", "[customers][quota]")
{
    auto store = storeWithLimit({ 3000, 0, 0 });
    auto bestEffort = makeStep(8);
    bestEffort.isBestEffort = true;
    auto serving = makeStep(1);
    serving.isLongRunning = true;
    submit(store, "serving", "a", serving);
    submit(store, "fill", "a", bestEffort);
    REQUIRE(planOn(store, 4, large, wall).size() == 3);
}

// Guards against a version with a lower limit under which starts go on, and against one that ends runs.
TEST_CASE("Under a lowered limit nothing starts until the sum has fallen", "[customers][quota]")
{
    auto store = storeWithLimit({ 4000, 0, 0 });
    submit(store, "j", "a", makeStep(6));
    auto starts = planOn(store, 4, large, wall);
    applyAll(store, starts);
    auto configuration = makeCustomerConfiguration({ "a", "b" }, 2);
    configuration.customers[0].limit = { 2000, 0, 0 };
    store.apply(AcceptConfiguration { configuration }, {});
    for (std::size_t i = 0; i < 3; ++i) {
        REQUIRE(planOn(store, 4, large, wall).empty());
        store.apply(EndRun { starts[i].run, RunOutcome::Done, "" }, {});
    }
    REQUIRE(planOn(store, 4, large, wall).size() == 1);
}

// Guards against a large task that never starts, because smaller ones of its customer take all that ends.
TEST_CASE("A customer waits for a task that needs most of its limit", "[customers][quota]")
{
    auto store = storeWithLimit({ 4000, 0, 0 });
    submit(store, "running", "a", makeStep(2));
    applyAll(store, planOn(store, 4, large, wall));
    submit(store, "a-large", "a", makeStep(1, 3000), wall - Millis { 100 });
    submit(store, "b-small", "a", makeStep(1));
    submit(store, "c-other", "b", makeStep(1));
    REQUIRE(
        startsByCustomer(store, planOn(store, 4, large, wall)) == std::map<std::string, int> { { "b", 1 } });
    store.apply(EndRun { { { "running", 0, 0, 0 }, 1 }, RunOutcome::Done, "" }, {});
    auto starts = planOn(store, 4, large, wall);
    REQUIRE(startsByCustomer(store, starts) == std::map<std::string, int> { { "a", 1 }, { "b", 1 } });
}

// Guards against a customer that stands still for a task that doesn't fit beside its long-running ones.
TEST_CASE("A customer doesn't wait for a task that its long-running tasks keep out", "[customers][quota]")
{
    auto store = storeWithLimit({ 4000, 0, 0 });
    auto serving = makeStep(1, 2000);
    serving.isLongRunning = true;
    submit(store, "serving", "a", serving);
    applyAll(store, planOn(store, 4, large, wall));
    submit(store, "a-large", "a", makeStep(1, 3000), wall - Millis { 100 });
    submit(store, "b-small", "a", makeStep(1));
    REQUIRE(planOn(store, 4, large, wall).size() == 1);
}

// Guards against a backlog of one customer at its limit that uses up the searches of the queue, so that jobs
// of others behind it don't start.
TEST_CASE("The backlog of a customer at its limit doesn't hide other jobs", "[customers][quota]")
{
    auto store = storeWithLimit({ 1000, 0, 0 });
    submit(store, "running", "a", makeStep(1));
    applyAll(store, planOn(store, 4, large, wall));
    auto gang = makeStep(2, 400);
    gang.isGang = true;
    for (int i = 0; i < 600; ++i)
        submit(store, "a" + std::to_string(i), "a", i % 2 == 0 ? makeStep(1) : gang, wall - Millis { 100 });
    submit(store, "b", "b", makeStep(1));
    REQUIRE(
        startsByCustomer(store, planOn(store, 4, large, wall)) == std::map<std::string, int> { { "b", 1 } });
}

// Guards against a report that blames the runners, and against machines that are moved, for a job that its
// customer's limit holds back, and against such a job that hides one that lacks capacity.
TEST_CASE("A job that the limit holds back is reported with the figures", "[customers][quota][waits]")
{
    auto store = storeWithLimit({ 2000, 0, 0 });
    submit(store, "running", "a", makeStep(2));
    auto starts = planOn(store, 4, large, wall);
    applyAll(store, { starts[0] });
    submit(store, "held", "a", makeStep(1), wall - Millis { 500 });
    submit(store, "short", "b", makeStep(1, 5000));
    PoolRunner runner { { { "r", { 1 } }, "pool", {}, { 4000, 8000, 0 } }, WaitReason::HasRoom };
    // The second start of the plan isn't committed yet.
    auto waits = findPoolWaits(store, { runner }, { starts[1] }, wall);
    REQUIRE(waits.size() == 2);
    REQUIRE(waits[0].task.job == "short");
    REQUIRE(waits[0].hold == WaitReason::HasRoom);
    REQUIRE(waits[0].runners == std::map<WaitReason, std::uint32_t> { { WaitReason::LittleCpu, 1 } });
    REQUIRE(waits[1].task.job == "held");
    REQUIRE(waits[1].hold == WaitReason::Quota);
    REQUIRE(waits[1].customer == "a");
    REQUIRE(waits[1].customerRunning.cpuMilli == 2000);
    REQUIRE(waits[1].customerLimit.cpuMilli == 2000);
}

// Guards against a wait that is blamed on the runners, while other customers come first.
TEST_CASE("A job whose customer has its share is reported with the share", "[customers][shares][waits]")
{
    auto store = storeWithLimit({});
    submit(store, "running", "a", makeStep(3));
    submit(store, "other", "b", makeStep(1));
    applyAll(store, planOn(store, 1, { 4000, 8000, 0 }, wall));
    submit(store, "more", "a", makeStep(1), wall - Millis { 500 });
    PoolRunner runner { { { "r0", { 1 } }, "pool", {}, { 0, 4000, 0 } }, WaitReason::HasRoom };
    auto waits = findPoolWaits(store, { runner }, {}, wall);
    REQUIRE(waits.size() == 1);
    REQUIRE(waits[0].task.job == "more");
    REQUIRE(waits[0].hold == WaitReason::FairShare);
    REQUIRE(waits[0].customerFraction == Approx(0.75));
    REQUIRE(waits[0].customerShare == Approx(0.5));
    submit(store, "within", "b", makeStep(1), wall - Millis { 600 });
    waits = findPoolWaits(store, { runner }, {}, wall);
    REQUIRE(waits[0].task.job == "within");
    REQUIRE(waits[0].hold == WaitReason::HasRoom);
}
