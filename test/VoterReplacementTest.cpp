#include "celeryline/consensus/VoterReplacement.h"

#include "ReplacementSeries.h"
#include "celeryline/control/ControlTimes.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// Replaces a follower, then the leader twice, each as soon as the one before no longer counts as lost.
void replaceFollowerThenLeaderTwice(ReplacementSeries& series, std::int64_t delay)
{
    series.replace(series.follower(), delay);
    series.runUntilNoneLost();
    for (int i = 0; i < 2; ++i) {
        series.replace(series.leader(), delay);
        series.runUntilNoneLost();
    }
    REQUIRE(findProblem(series) == noProblem);
}

} // namespace

// Guards against timing with which the voter set follows a loss later than the platform permits the next one.
TEST_CASE("The timing of control processes leaves time for a replacement", "[consensus][replacement]")
{
    REQUIRE(maxVoterReplacementTime(controlElectionTimeout) <= Millis { ReplacementSeries::catchUpTime });
}

// Guards against the loss of the majority when the voter set follows a replacement later than the platform
// removes the next machine: of three voters, two were gone for good.
TEST_CASE("Machines replaced one after the other leave a majority", "[consensus][replacement]")
{
    auto size = GENERATE(threeMachines, fourMachines);
    auto delay = GENERATE(1000, 300);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(size.machines, delay, seed);
    ReplacementSeries series(static_cast<std::uint64_t>(seed), size);
    replaceFollowerThenLeaderTwice(series, delay);
}

// Shows that the simulated machines find each other and become voters if there is enough time for it.
TEST_CASE("Machines replaced with long pauses leave a majority", "[consensus][replacement]")
{
    auto size = GENERATE(threeMachines, fourMachines, eightMachines);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(size.machines, seed);
    ReplacementSeries series(static_cast<std::uint64_t>(seed), size);
    for (int i = 0; i < 3; ++i) {
        series.replace(i == 0 ? series.follower() : series.leader(), 1000);
        series.run(15000);
    }
    REQUIRE(findProblem(series) == noProblem);
}

// Guards against the same loss with five voters, of which two may be lost at once.
TEST_CASE("Pairs of machines replaced one after the other leave a majority", "[consensus][replacement]")
{
    auto delay = GENERATE(1000, 300);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(delay, seed);
    ReplacementSeries series(static_cast<std::uint64_t>(seed), eightMachines);
    for (int i = 0; i < 3; ++i) {
        series.replace(series.follower(), delay);
        series.replace(series.leader(), delay);
        series.runUntilNoneLost();
    }
    REQUIRE(findProblem(series) == noProblem);
}

// Guards against a voter set that stops following a replacement because all processes restart, after which
// the leader knows neither the contact times nor the learners of the leader before.
TEST_CASE("A restart of all machines between two replacements leaves a majority", "[consensus][replacement]")
{
    auto size = GENERATE(threeMachines, fourMachines);
    // Processes that are killed are back within a second; machines without power stay away for longer.
    auto downTime = GENERATE(700, 13500);
    auto isLeaderFirst = GENERATE(false, true);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(size.machines, downTime, isLeaderFirst, seed);
    ReplacementSeries series(static_cast<std::uint64_t>(seed), size);
    for (int i = 0; i < 2; ++i) {
        series.replace(isLeaderFirst ? series.leader() : series.follower(), 300);
        series.run(1300);
        series.killAllFor(downTime);
        series.runUntilNoneLost();
    }
    REQUIRE(findProblem(series) == noProblem);
}

// Guards against a voter that keeps its vote while it shuts down: it counted as lost only after its end,
// which was later than the platform permits the next loss.
TEST_CASE("A planned replacement leaves a majority for the next loss", "[consensus][replacement]")
{
    auto size = GENERATE(threeMachines, fourMachines);
    auto isLeader = GENERATE(false, true);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(size.machines, isLeader, seed);
    ReplacementSeries series(static_cast<std::uint64_t>(seed), size);
    for (int i = 0; i < 2; ++i) {
        series.replacePlanned(isLeader ? series.leader() : series.follower());
        series.runUntilNoneLost();
        series.replace(series.leader(), 300);
        series.runUntilNoneLost();
    }
    REQUIRE(findProblem(series) == noProblem);
}

// Guards against a replica that is treated as leaving although it goes on, or is up again.
TEST_CASE("A replica that goes on after it announced its shutdown can vote again", "[consensus][replacement]")
{
    ReplacementSeries series(1, fourMachines);
    auto announced = series.follower();
    series.simulation.shutDown(announced);
    series.run(1000);
    auto voters = series.simulation.committedVoters();
    REQUIRE(voters.voters.size() == fourMachines.voters);
    REQUIRE(voters.find(announced) == nullptr);
    // Longer than an announcement is valid.
    series.run(6000);
    series.killFor(series.leader(), 10000);
    series.run(ReplacementSeries::catchUpTime);
    REQUIRE(series.simulation.committedVoters().find(announced) != nullptr);
}

// Guards against counting a voter's absence anew from a change of leader.
TEST_CASE("A change of leader between two replacements leaves a majority", "[consensus][replacement]")
{
    auto size = GENERATE(threeMachines, fourMachines);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(size.machines, seed);
    ReplacementSeries series(static_cast<std::uint64_t>(seed), size);
    for (int i = 0; i < 3; ++i) {
        series.replace(series.follower(), successorDelay);
        series.run(1300);
        series.transferLeadership();
        series.runUntilNoneLost();
    }
    REQUIRE(findProblem(series) == noProblem);
}

// Guards against a leader that sends its snapshot to each machine that was ever removed, ten times a second
// until the end of its term.
TEST_CASE("A removed machine gets no snapshots", "[consensus][replacement]")
{
    ReplacementSeries series(1, fourMachines);
    auto& simulation = series.simulation;
    const auto removed = series.follower();
    series.replace(removed, 300);
    series.runUntilNoneLost();
    // More entries than a leader retains for a replica that is behind.
    series.fillLog(5000);
    constexpr std::int64_t longTime = 10000;
    series.run(longTime);
    int heartbeats = 0;
    int chunks = 0;
    simulation.onMessage = [&](const RaftMessage& message) {
        if (message.to.name != removed)
            return;
        ++(message.kind == RaftMessageKind::Snapshot ? chunks : heartbeats);
    };
    series.run(longTime);
    CHECK(chunks == 0);
    // It would be noticed if the machine came back.
    CHECK(heartbeats > 0);
}

// Guards against a machine that was away while its entries were compacted and never gets the snapshot.
TEST_CASE("A machine that was away for long gets the snapshot when it is back", "[consensus][replacement]")
{
    constexpr std::int64_t longTime = 10000;
    auto seed = GENERATE(range(1, 4));
    CAPTURE(seed);
    ReplacementSeries series(static_cast<std::uint64_t>(seed), fourMachines);
    series.isolateFor(series.follower(), longTime);
    series.fillLog(5000);
    series.run(longTime);
    REQUIRE(findProblem(series) == noProblem);
}

namespace {

/// Replaces followers while the leadership is handed over at an interval in milliseconds.
void replaceWhileLeadersChange(ClusterSize size, std::int64_t interval, int seed)
{
    ReplacementSeries series(static_cast<std::uint64_t>(seed), size);
    for (int i = 0; i < 3; ++i) {
        series.replace(series.follower(), successorDelay);
        while (series.lostMachines() != 0) {
            series.run(interval);
            series.transferLeadership();
        }
    }
    REQUIRE(findProblem(series) == noProblem);
}

} // namespace

// Guards against counting a voter's absence anew from every change of leader for so long that a voter set
// doesn't follow while no leader stays for long.
TEST_CASE("Frequent changes of leader between two replacements leave a majority", "[consensus][replacement]")
{
    auto size = GENERATE(threeMachines, fourMachines);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(size.machines, seed);
    replaceWhileLeadersChange(size, 1200, seed);
}

// Guards against the same with leaders that stay for less than the time after which they replace a voter.
TEST_CASE(
    "Leaders that change before they replace a voter leave a majority", "[consensus][replacement][known-red]")
{
    auto size = GENERATE(threeMachines, fourMachines);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(size.machines, seed);
    replaceWhileLeadersChange(size, 700, seed);
}
