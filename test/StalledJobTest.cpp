// Tests that every condition that delays a task or an occurrence ends without outside help.
#include "ProgressKit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// An advisor that approves all requested runners with a long validity.
class ApprovingAdvisor final : public PlacementAdvisor {
public:
    void ask(const TaskName&, const std::vector<std::string>& runners, Millis, Callback done) override
    {
        PlacementAdvice advice;
        for (const auto& runner : runners)
            advice.tickets[runner] = "ticket" + std::to_string(++calls);
        advice.validFor = { 30000 };
        done(advice);
    }

    int calls = 0;
};

void requireAdvice(JobMasterFixture& kit)
{
    auto configuration = makeConfiguration(2);
    configuration.queues.front().needsAdvice = true;
    kit.store.apply(AcceptConfiguration { configuration }, {});
}

} // namespace

// Guards against a task that waits longer than 3 s because the only eligible runner is quarantined for jobs
// that always fail.
TEST_CASE("The only runner of a pool is tried again within three seconds", "[progress]")
{
    JobMasterFixture kit;
    kit.store.apply(AcceptConfiguration { makeConfiguration(2, 1) }, {});
    FakeRunner runner("r");
    simulate(kit, { &runner }, 500);
    runner.fails = true; // These jobs fail on any runner.
    for (int i = 0; i < 12; ++i) {
        auto id = "bad" + std::to_string(i);
        kit.submit(makeJob(id, { makeStep(1) }));
        for (int turn = 0; turn < 800 && kit.store.findJob(id)->phase == JobPhase::Open; ++turn)
            simulate(kit, { &runner }, reportIntervalMs);
    }
    runner.fails = false;
    std::int64_t waited = 0;
    kit.submit(makeJob("waiting", { makeStep(1) }));
    while (waited < 200000 && simulate(kit, { &runner }, reportIntervalMs).count("waiting") == 0)
        waited += reportIntervalMs;
    INFO("waited " << waited);
    REQUIRE(waited <= 3000);
}

// Guards against a step that waits until its advice expires, because the only approved runner is gone and no
// advice is requested for the new one.
TEST_CASE("Advice is requested again when no approved runner is left", "[progress]")
{
    JobMasterFixture kit;
    ApprovingAdvisor advisor;
    requireAdvice(kit);
    kit.master.setAdvisor(advisor);
    FakeRunner old("old");
    simulate(kit, { &old }, 1000);
    auto second = makeStep(1);
    second.after = { 0 };
    kit.submit(makeJob("job", { makeStep(1), second }));
    // The first plan requested advice for both steps.
    auto report = makeReport("old", ++old.sequence);
    auto orders = kit.report(report);
    REQUIRE(orders->starts.size() == 1);
    kit.master.leave("old");
    FakeRunner fresh("fresh");
    REQUIRE(simulate(kit, { &fresh }, 6000).count("job") == 1);
}

// Guards against a start with a ticket of a runner's earlier incarnation, which the runner rejects.
TEST_CASE("A ticket isn't used for a later incarnation of its runner", "[progress]")
{
    JobMasterFixture kit;
    ApprovingAdvisor advisor;
    requireAdvice(kit);
    kit.master.setAdvisor(advisor);
    kit.report(makeReport("r", 1));
    kit.submit(makeJob("job", { makeStep(1) }));
    auto first = kit.report(makeReport("r", 2));
    REQUIRE(first->starts.size() == 1);
    kit.advance({ 500 });
    kit.report(makeReport("r", 1, 2)); // A later incarnation with the same id.
    kit.advance({ 500 });
    auto again = kit.report(makeReport("r", 2, 2));
    REQUIRE(again->starts.size() == 1);
    REQUIRE(again->starts[0].ticket != first->starts[0].ticket);
}

// Guards against a speculative task that stalls forever, because queues that need advice get no second run.
TEST_CASE("A stalled speculative task restarts on a queue that needs advice", "[progress]")
{
    JobMasterFixture kit;
    ApprovingAdvisor advisor;
    requireAdvice(kit);
    kit.master.setAdvisor(advisor);
    auto step = makeStep(1);
    step.isSpeculative = true;
    std::uint64_t sequence = 0;
    kit.report(makeReport("a", ++sequence));
    kit.report(makeReport("b", sequence));
    kit.submit(makeJob("job", { step }));
    std::vector<std::pair<std::string, StartOrder>> starts;
    for (int i = 0; i < 120; ++i) {
        ++sequence;
        for (const auto* id : { "a", "b" }) {
            auto report = makeReport(id, sequence);
            for (const auto& [runner, start] : starts) {
                if (runner == id)
                    report.running.push_back(running(start, 10)); // No progress.
            }
            auto orders = kit.report(report);
            for (const auto& start : orders->starts)
                starts.push_back({ id, start });
            if (!orders->stops.empty())
                return; // The run is being replaced.
        }
        kit.advance({ 250 });
    }
    REQUIRE(starts.size() > 1);
}

// Guards against a job that stays open for good: both runs of a task with copies stand still, and neither is
// stopped nor replaced (ProgressTest seed 7, on arm64 seed 348).
TEST_CASE("A task whose two copies stand still gets a third run", "[progress]")
{
    JobMasterFixture kit;
    auto step = makeStep(1);
    step.isSpeculative = true;
    std::map<std::string, std::vector<StartOrder>> starts; // By runner.
    std::map<std::string, std::vector<ReportedEnd>> ends;
    std::uint64_t sequence = 0;
    kit.submit(makeJob("job", { step }));
    for (int i = 0; i < 40; ++i) {
        ++sequence;
        for (const auto* id : { "a", "b", "c" }) {
            auto report = makeReport(id, sequence);
            report.ended = ends[id];
            for (const auto& start : starts[id])
                report.running.push_back(running(start, 10)); // No progress.
            auto orders = kit.report(report);
            starts[id].insert(starts[id].end(), orders->starts.begin(), orders->starts.end());
            for (const auto& stop : orders->stops) {
                ends[id].push_back({ ends[id].size() + 1, stop, RunOutcome::Stopped, "" });
                auto isStopped = [&](const StartOrder& start) { return start.run == stop; };
                auto& held = starts[id];
                held.erase(std::remove_if(held.begin(), held.end(), isStopped), held.end());
            }
        }
        kit.advance({ 250 });
    }
    REQUIRE(kit.store.findTask({ "job", 0, 0, 0 })->lastRun >= 3);
}

// Guards against occurrences that fall behind because each round of housekeeping opens only one.
TEST_CASE("Occurrences that are due are opened, however many", "[progress]")
{
    JobMasterFixture kit;
    auto job = makeJob("often", { makeStep(1) });
    job.occurrences = 50;
    job.firstDue = kit.moment.wall;
    job.period = { 200 };
    kit.submit(job);
    for (int i = 0; i < 200; ++i)
        kit.advance({ 50 });
    REQUIRE(kit.store.findJob("often")->opened >= 49);
}
