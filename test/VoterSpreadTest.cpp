// Voters that are replaced while they are only cut off or shut down, and their spread over data centres.
#include "ReplacementSeries.h"
#include "celeryline/control/ControlTimes.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::test;

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
