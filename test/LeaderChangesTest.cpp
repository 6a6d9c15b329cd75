// Promises with a time limit that must be kept although the leader changes again and again.
#include "ProgressKit.h"

#include <catch2/catch.hpp>

#include <functional>
#include <set>
#include <string>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr std::int64_t termMs = 2000;
constexpr int terms = 15;
/// Lease of runs, 2% for a slow clock and 100 ms.
constexpr std::int64_t leaseEndMs = 4180;

/// Runners "lost" and "here", of which the first runs a long-running task and then reports no more.
struct LostRunner {
    LostRunner()
    {
        fixture.submit(makeJob("a", { makeLongRunningStep(1, 1000, 1000) }));
        simulate(fixture, { &lost }, 2 * reportIntervalMs);
        exchangeReport(fixture, lost, started);
        lostAt = fixture.moment.steady;
        REQUIRE(lost.running.size() == 1);
        started.clear();
    }

    /// Begins another term; only committed state is left.
    void changeLeader()
    {
        ++fixture.log.currentTerm;
        fixture.master.startTerm();
    }

    /// Advances the time until the task starts on the other runner, or for a series of terms.
    /// @return time since the last report of the lost runner.
    Millis untilStartedElsewhere(const std::function<void()>& beginTerm)
    {
        for (int term = 0; term < terms; ++term) {
            beginTerm();
            for (std::int64_t passed = 0; passed < termMs; passed += reportIntervalMs) {
                if (!simulate(fixture, { &here }, reportIntervalMs).empty())
                    return fixture.moment.steady - lostAt;
            }
        }
        return { terms * termMs };
    }

    JobMasterFixture fixture;
    FakeRunner lost { "lost" };
    FakeRunner here { "here" };
    std::set<std::string> started;
    Millis lostAt; ///< Steady time of the last report.
};

} // namespace

// Guards against a lost runner whose tasks never run again, because each new leader counts its lease anew.
TEST_CASE("A lost runner's task starts elsewhere while the leader changes every two seconds", "[master]")
{
    LostRunner scenario;
    auto after = scenario.untilStartedElsewhere([&] { scenario.changeLeader(); });
    REQUIRE(after.count >= leaseEndMs);
    REQUIRE(after.count <= leaseEndMs + 2000);
}

// Guards against the same when all processes restart again and again: a replica counts from its restart.
TEST_CASE("A lost runner's task starts elsewhere while all processes restart every two seconds", "[master]")
{
    LostRunner scenario;
    auto after = scenario.untilStartedElsewhere([&] {
        scenario.fixture.store.restoreSnapshot(scenario.fixture.store.takeSnapshot());
        scenario.fixture.master.onSnapshot();
        scenario.changeLeader();
    });
    REQUIRE(after.count >= leaseEndMs);
    REQUIRE(after.count <= 3 * leaseEndMs);
}

// Guards against a second run of a task whose runner was only silent for a while: the end of the lease that
// an earlier leader noted no longer holds once the runner has reported again.
TEST_CASE("A runner that reports again after a silence keeps its run", "[master]")
{
    LostRunner scenario;
    auto& fixture = scenario.fixture;
    simulate(fixture, { &scenario.here }, 2500);
    REQUIRE(fixture.store.allocations().begin()->second.silentLeaseLeft);
    exchangeReport(fixture, scenario.lost, scenario.started);
    REQUIRE_FALSE(fixture.store.allocations().begin()->second.silentLeaseLeft);
    scenario.changeLeader();
    // The first lease has ended, the second one has not.
    REQUIRE(simulate(fixture, { &scenario.here }, 3000).empty());
    exchangeReport(fixture, scenario.lost, scenario.started);
    REQUIRE(scenario.lost.running.size() == 1);
    REQUIRE(scenario.started.empty());
}

// Guards against a lease of which a later leader doesn't know: it would start the task elsewhere too early.
TEST_CASE("A silent runner gets a lease only after its contact is committed", "[master]")
{
    LostRunner scenario;
    auto& fixture = scenario.fixture;
    simulate(fixture, { &scenario.here }, 2500);
    fixture.log.commitsImmediately = false;
    auto report = makeReport("lost", 9);
    report.running.push_back({ scenario.lost.running[0], "", 100, 0 });
    REQUIRE_FALSE(fixture.report(report));
    fixture.commit();
    report.sequence = 10;
    auto orders = fixture.report(report);
    REQUIRE(orders);
    REQUIRE(orders->lease > Millis {});
}

// Guards against a task that uses up its attempts on one bad runner, because each new leader has forgotten
// where it failed.
TEST_CASE("A task avoids the runner where it failed after a change of leader", "[master]")
{
    JobMasterFixture fixture;
    fixture.report(makeReport("a", 1));
    fixture.report(makeReport("b", 1));
    fixture.submit(makeJob("job", { makeStep(1) }));
    auto bad = fixture.store.allocations().begin()->first.runner;
    auto start = fixture.report(makeReport(bad, 2))->starts.at(0);
    auto report = makeReport(bad, 3);
    report.ended.push_back(ended(1, start, RunOutcome::Failed));
    fixture.log.commitsImmediately = false;
    fixture.report(report);
    fixture.log.commit(); // The leader changes before its next plan.
    ++fixture.log.currentTerm;
    fixture.master.startTerm();
    fixture.log.commitsImmediately = true;
    for (const auto* runner : { "a", "b" })
        fixture.master.report(makeReport(runner, 4), [](const std::optional<RunnerOrders>&) {});
    fixture.master.tick();
    REQUIRE(fixture.store.allocations().size() == 1);
    REQUIRE(fixture.store.allocations().begin()->first.runner != bad);
}
