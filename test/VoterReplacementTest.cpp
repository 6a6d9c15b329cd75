#include "celeryline/consensus/VoterReplacement.h"

#include "ReplacementSeries.h"
#include "celeryline/control/ControlTimes.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

using namespace celeryline;
using celeryline::test::ClusterSize;
using celeryline::test::ReplacementSeries;

namespace {

/// A leader commits entries this long after the last disturbance, in milliseconds.
constexpr std::int64_t calmLimit = 5000;

/// The voter set consists of live machines this long after the last machine counts as lost, in milliseconds.
constexpr std::int64_t voterSetLimit = 5000;

const std::string noProblem;

const ClusterSize threeMachines { 3, 3 };
const ClusterSize fourMachines { 4, 3 };
const ClusterSize eightMachines { 8, 5 };

std::uint64_t seedCount(std::uint64_t inContinuousIntegration)
{
    // CELERYLINE_SEEDS sets the number of seeds for a longer search.
    const char* more = std::getenv("CELERYLINE_SEEDS");
    return more == nullptr ? inContinuousIntegration : std::stoull(more);
}

/// @return why the cluster doesn't serve writes with a voter set of live machines; noProblem if it does.
std::string findProblem(ReplacementSeries& series)
{
    auto isConverged = [&] { return series.simulation.isConverged(); };
    auto problem = noProblem;
    if (!series.commitsWithin(calmLimit)) {
        problem = "no leader commits entries";
    } else if (!series.hasTargetVotersWithin(voterSetLimit)) {
        problem = "the voter set is incomplete or has a machine that isn't live";
    } else if (!series.runUntil(isConverged, voterSetLimit)) {
        problem = "the replicas don't converge";
    }
    return problem == noProblem ? noProblem : problem + ": " + series.describe();
}

/// Replaces a follower, then the leader twice, each as soon as the one before no longer counts as lost.
void replaceFollowerThenLeaderTwice(ReplacementSeries& series, std::int64_t successorDelay)
{
    series.replace(series.follower(), successorDelay);
    series.runUntilNoneLost();
    for (int i = 0; i < 2; ++i) {
        series.replace(series.leader(), successorDelay);
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
    auto successorDelay = GENERATE(1000, 300);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(size.machines, successorDelay, seed);
    ReplacementSeries series(static_cast<std::uint64_t>(seed), size);
    replaceFollowerThenLeaderTwice(series, successorDelay);
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
    auto successorDelay = GENERATE(1000, 300);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(successorDelay, seed);
    ReplacementSeries series(static_cast<std::uint64_t>(seed), eightMachines);
    for (int i = 0; i < 3; ++i) {
        series.replace(series.follower(), successorDelay);
        series.replace(series.leader(), successorDelay);
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

// Guards against counting a voter's absence anew from each change of leader.
TEST_CASE("A change of leader between two replacements leaves a majority", "[consensus][replacement]")
{
    auto size = GENERATE(threeMachines, fourMachines);
    auto seed = GENERATE(range(1, 6));
    CAPTURE(size.machines, seed);
    ReplacementSeries series(static_cast<std::uint64_t>(seed), size);
    for (int i = 0; i < 3; ++i) {
        series.replace(series.follower(), 300);
        series.run(1300);
        auto& leader = series.simulation.node(series.leader());
        leader.core->transferLeadership({ 0 });
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

/// Cuts off as many followers as may be lost, for a time in which they are replaced.
/// @return their names.
std::set<std::string> cutOffFollowers(ReplacementSeries& series, std::size_t count, std::int64_t milliseconds)
{
    std::set<std::string> names;
    const auto leader = series.simulation.leader();
    for (const auto& voter : series.simulation.committedVoters().voters) {
        if (voter.name != leader && names.size() < count)
            names.insert(voter.name);
    }
    for (const auto& name : names)
        series.isolateFor(name, milliseconds);
    return names;
}

/// Lets the leader and others lose their disks, and all other machines that are in contact their power.
/// @param cutOff machines that aren't affected.
/// @param disks how many disks are lost.
void loseDisksAndPower(ReplacementSeries& series, const std::set<std::string>& cutOff, std::size_t disks)
{
    constexpr std::int64_t downTime = 700;
    auto& simulation = series.simulation;
    std::set<std::string> empty { series.leader() };
    for (const auto& [name, node] : simulation.nodes()) {
        if (cutOff.count(name) == 0 && empty.size() < disks)
            empty.insert(name);
    }
    for (auto& [name, node] : simulation.nodes()) {
        if (cutOff.count(name) != 0)
            continue;
        if (empty.count(name) != 0) {
            simulation.loseDisk(name);
        } else {
            simulation.kill(name);
        }
        node.restartAt = simulation.now() + downTime;
    }
}

} // namespace

// Guards against a voter that is replaced while it is only cut off, although its disk is needed: entries that
// were committed meanwhile must survive the disks that may be lost, and the others must form a majority.
TEST_CASE("Disks lost while voters are cut off and replaced lose no entry", "[consensus][replacement]")
{
    constexpr std::int64_t awayTime = 6000;
    auto size = GENERATE(fourMachines, eightMachines);
    // From before the first change of the voter set until after the last one.
    auto lossAt = GENERATE(range(800, 2600, 100));
    CAPTURE(size.machines, lossAt);
    ReplacementSeries series(1, size);
    auto cutOff = cutOffFollowers(series, size.tolerance(), awayTime);
    series.run(lossAt);
    loseDisksAndPower(series, cutOff, size.tolerance());
    series.run(awayTime);
    REQUIRE(findProblem(series) == noProblem);
}

// Guards against two voters in one data centre although each could have one: while a data centre was cut
// off, its voter was replaced by a machine beside another voter, and then the loss of that one left no
// majority.
TEST_CASE("Any data centre may be lost after another one was", "[consensus][replacement]")
{
    constexpr std::int64_t cutTime = 5500;
    /// Time after which all machines know the data centres of the others.
    constexpr std::int64_t introductionTime = 2500;
    const ClusterSize sixMachines { 6, 3 };
    // The first three are the founders.
    const std::vector<std::string> dataCentres[] = { { "v0", "v3" }, { "v1", "v4" }, { "v2", "v5" } };
    auto first = GENERATE(0, 1, 2);
    auto second = GENERATE(0, 1, 2);
    CAPTURE(first, second);
    ReplacementSeries series(1, sixMachines);
    for (const auto& names : dataCentres) {
        for (const auto& name : names)
            series.simulation.dataCentres[name] = names.front();
    }
    series.run(introductionTime);
    for (auto lost : { first, second }) {
        for (const auto& name : dataCentres[lost])
            series.isolateFor(name, cutTime);
        CHECK(series.commitsWithin(maxElectionTime(controlElectionTimeout).count));
        series.runUntilNoneLost();
    }
    REQUIRE(findProblem(series) == noProblem);
}

// Guards against a voter set that takes in machines which shut down as well, when all get SIGTERM.
TEST_CASE("All machines shut down and come back", "[consensus][replacement]")
{
    auto size = GENERATE(threeMachines, fourMachines, eightMachines);
    // Time between the shutdown of a machine and that of the next one, in milliseconds.
    auto spread = GENERATE(0, 60, 300);
    CAPTURE(size.machines, spread);
    constexpr std::int64_t shutdownTime = 400;
    constexpr std::int64_t downTime = 500;
    ReplacementSeries series(1, size);
    std::vector<std::string> names;
    for (const auto& [name, node] : series.simulation.nodes())
        names.push_back(name);
    for (const auto& name : names) {
        series.simulation.shutDown(name);
        series.run(spread);
    }
    series.run(shutdownTime);
    for (const auto& name : names) {
        series.killFor(name, downTime);
        series.run(spread);
    }
    series.run(downTime);
    REQUIRE(findProblem(series) == noProblem);
}

namespace {

/// Result of a randomised run.
struct SeriesResult {
    std::string problem;
    int replacements = 0;
    std::uint64_t committed = 0;
};

/// Disturbs a random machine, or all, for a while. A machine is replaced only within the tolerance.
/// @param rarity each kind of disturbance but replacement has this chance, as one in so many calls.
/// @return whether a machine was replaced.
bool disturb(ReplacementSeries& series, std::uint64_t rarity)
{
    auto& simulation = series.simulation;
    auto name = simulation.randomBelow(2) == 0 ? series.leader() : series.randomMachine();
    if (name.empty())
        return false;
    auto upTo = [&](std::uint64_t limit) { return static_cast<std::int64_t>(simulation.randomBelow(limit)); };
    if (series.mayReplace() && simulation.randomBelow(4) != 0) {
        series.replace(name, 300 + upTo(1000));
        return true;
    }
    auto duration = 200 + upTo(simulation.randomBelow(3) == 0 ? 6000 : 1500);
    switch (simulation.randomBelow(rarity)) {
    case 0:
        series.killFor(name, duration);
        break;
    case 1:
        series.isolateFor(name, duration);
        break;
    case 2:
        series.freezeFor(name, duration);
        break;
    case 3:
        series.killAllFor(200 + upTo(800));
        break;
    case 4:
        simulation.network = { simulation.randomBelow(3) * 3, simulation.randomBelow(2) * 5,
            simulation.randomBelow(4) == 0 ? 30U : 2U };
        break;
    case 5:
        simulation.node(name).core->transferLeadership({ 0 });
        break;
    default: // Leaves time without a disturbance, after which the next machine may be replaced.
        break;
    }
    return false;
}

SeriesResult runRandomSeries(std::uint64_t seed, ClusterSize size, int rounds)
{
    ReplacementSeries series(seed, size);
    SeriesResult result;
    auto& simulation = series.simulation;
    const std::uint64_t rarity = 12U << simulation.randomBelow(4);
    try {
        if (simulation.randomBelow(4) == 0)
            series.fillLog(4000);
        for (int round = 0; round < rounds; ++round) {
            result.replacements += disturb(series, rarity) ? 1 : 0;
            series.run(static_cast<std::int64_t>(100 + simulation.randomBelow(800)));
        }
        simulation.network = {};
        series.runUntilNoneLost();
        result.problem = findProblem(series);
    } catch (const InvariantViolation& e) {
        result.problem = std::string(e.what()) + ": " + series.describe();
    }
    result.committed = simulation.committed();
    return result;
}

} // namespace

// Searches for series of replacements, overlapped by kills, isolated and frozen machines and lost messages,
// after which there is no leader, a committed entry is lost or the voter set has other than live machines.
TEST_CASE("Random series of replacements leave a majority", "[consensus][replacement]")
{
    auto seeds = seedCount(30);
    SeriesResult total;
    const ClusterSize sizes[] = { threeMachines, fourMachines, eightMachines };
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto& size = sizes[seed % 3];
        auto result = runRandomSeries(seed, size, 100);
        INFO("seed " << seed << ", machines " << size.machines);
        CHECK(result.problem == noProblem);
        total.replacements += result.replacements;
        total.committed += result.committed;
    }
    std::printf("replacement: seeds 1 to %d, %d machines replaced, %d entries committed\n",
        static_cast<int>(seeds), total.replacements, static_cast<int>(total.committed));
    // Guards against runs without replacements or commits.
    CHECK(total.replacements > static_cast<int>(seeds) * 3);
    CHECK(total.committed > seeds * 500);
}
