// Measures and random searches: how fast and how often the voter set changes.
#include "ReplacementSeries.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// How long a voter set is observed until it counts as unchanged for good, in milliseconds.
constexpr std::int64_t followLimit = 15000;

std::uint64_t seedCount(std::uint64_t inContinuousIntegration)
{
    // CELERYLINE_SEEDS sets the number of seeds for a longer search.
    const char* more = std::getenv("CELERYLINE_SEEDS");
    return more == nullptr ? inContinuousIntegration : std::stoull(more);
}

} // namespace

// Guards against a voter set that follows a replacement only after the platform may remove the next machine.
// The time counts from the successors' start, as the platform's catch-up time does.
TEST_CASE("The voter set follows a replacement within the catch-up time", "[consensus][replacement]")
{
    struct Case {
        ClusterSize size;
        bool isFollowerLost;
        bool isLeaderLost;
    };
    auto lost = GENERATE(Case { threeMachines, true, false }, Case { threeMachines, false, true },
        Case { fourMachines, true, false }, Case { fourMachines, false, true },
        Case { eightMachines, true, false }, Case { eightMachines, false, true },
        Case { eightMachines, true, true });
    CAPTURE(lost.size.machines, lost.isFollowerLost, lost.isLeaderLost);
    const auto seeds = seedCount(5);
    std::vector<std::int64_t> times;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ReplacementSeries series(seed, lost.size);
        series.simulation.network.maxDelay = 20;
        series.fillLog(3000);
        if (lost.isFollowerLost)
            series.replace(series.follower(), successorDelay);
        if (lost.isLeaderLost)
            series.replace(series.leader(), successorDelay);
        series.run(successorDelay);
        auto start = series.simulation.now();
        series.hasTargetVotersWithin(followLimit);
        times.push_back(series.simulation.now() - start);
    }
    std::sort(times.begin(), times.end());
    std::printf(
        "replacement: %d machines%s%s lost: the voter set follows in %d ms (median), %d ms (maximum)\n",
        lost.size.machines, lost.isFollowerLost ? ", a follower" : "",
        lost.isLeaderLost ? ", the leader" : "", static_cast<int>(times[times.size() / 2]),
        static_cast<int>(times.back()));
    CHECK(times.back() < ReplacementSeries::catchUpTime);
}

// Guards against learners that never become voters because the log grows by more entries in a round trip than
// a caught-up learner may lack. Voters lack as many entries in that case.
TEST_CASE("A learner becomes a voter while the log grows quickly", "[consensus][replacement]")
{
    ReplacementSeries series(1, fourMachines);
    auto& simulation = series.simulation;
    simulation.network.minDelay = 20;
    simulation.network.maxDelay = 25;
    series.replace(series.follower(), successorDelay);
    auto proposeAndCheck = [&] {
        for (int i = 0; i < 3; ++i)
            simulation.propose(series.leader(), "quick");
        return simulation.hasTargetVoters();
    };
    bool isComplete = series.runUntil(proposeAndCheck, followLimit);
    INFO(series.describe());
    CHECK(isComplete);
}

// Guards against elections that take so long that the voter set can't follow in time. With two of five voters
// lost, the others all have to vote for the same candidate, and here they restart at the same time.
TEST_CASE("Three of five voters elect a leader in time after a restart", "[consensus][replacement]")
{
    constexpr std::int64_t electionLimit = 3000; ///< Leaves a second of the catch-up time to the voter set.
    const auto seeds = seedCount(100);
    std::vector<std::int64_t> times;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ReplacementSeries series(seed, eightMachines);
        series.simulation.network.maxDelay = 30;
        series.replace(series.follower(), successorDelay);
        series.replace(series.leader(), successorDelay);
        series.run(2 * successorDelay);
        series.killAllFor(successorDelay);
        series.run(successorDelay);
        auto start = series.simulation.now();
        series.commitsWithin(followLimit);
        times.push_back(series.simulation.now() - start);
    }
    std::sort(times.begin(), times.end());
    std::printf("replacement: three of five voters commit %d ms (median), %d ms (maximum) after a restart\n",
        static_cast<int>(times[times.size() / 2]), static_cast<int>(times.back()));
    CHECK(times.back() < electionLimit);
}

// Prints how often the voter set changes while no machine is lost for good. Each change writes to all disks
// and leaves a moment in which more voters than usual are needed for a majority.
TEST_CASE("Machines that are away for seconds change the voter set in bounds", "[consensus][replacement]")
{
    constexpr std::int64_t pause = 1000; ///< Between two absences, in milliseconds.
    constexpr std::int64_t minutes = 2;
    auto size = GENERATE(threeMachines, fourMachines, eightMachines);
    auto isFrozen = GENERATE(false, true);
    auto away = GENERATE(500, 1500, 3000, 6000);
    CAPTURE(size.machines, isFrozen, away);
    ReplacementSeries series(1, size);
    auto& simulation = series.simulation;
    auto before = simulation.committedConfigurations();
    auto end = simulation.now() + minutes * 60000;
    std::uint64_t absences = 0;
    while (simulation.now() < end) {
        ++absences;
        auto name = simulation.randomBelow(2) == 0 ? series.leader() : series.follower();
        if (isFrozen) {
            series.freezeFor(name, away);
        } else {
            series.isolateFor(name, away);
        }
        series.run(away + pause);
    }
    std::printf("replacement: %d machines, one %s for %d ms each %d ms: %.1f configurations a minute\n",
        size.machines, isFrozen ? "frozen" : "isolated", static_cast<int>(away),
        static_cast<int>(away + pause),
        static_cast<double>(simulation.committedConfigurations() - before) / minutes);
    // One addition and one removal for each absence that outlasts the replacement timeout.
    CHECK(simulation.committedConfigurations() - before <= 2 * absences);
    CHECK((away > pause || simulation.committedConfigurations() == before));
    CHECK(findProblem(series) == noProblem);
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
    if (name.empty() || simulation.node(name).core == nullptr)
        return false;
    auto upTo = [&](std::uint64_t limit) { return static_cast<std::int64_t>(simulation.randomBelow(limit)); };
    if (series.mayReplace() && simulation.randomBelow(4) != 0) {
        if (simulation.randomBelow(4) == 0) {
            series.wipe(name, 300 + upTo(1000));
        } else {
            series.replace(name, 300 + upTo(1000));
        }
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
        simulation.network.dropPercent = simulation.randomBelow(3) * 3;
        simulation.network.maxDelay = simulation.randomBelow(4) == 0 ? 30 : 2;
        break;
    case 5:
        series.transferLeadership();
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
        simulation.network.dropPercent = 0;
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
