#include "RaftSimulation.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>

using namespace celeryline;
using celeryline::test::RaftSimulation;

namespace {

/// One random fault or repair.
/// @return whether a disk was lost.
bool disturb(RaftSimulation& simulation, int voters)
{
    auto name = "v" + std::to_string(simulation.below(static_cast<std::uint64_t>(voters)));
    auto& node = simulation.node(name);
    bool isLost = false;
    bool isUp = node.core != nullptr;
    switch (simulation.below(10)) {
    case 0: // Killed at an idle moment.
        if (isUp)
            simulation.kill(name);
        break;
    case 1: // Power fails during one of the next file operations, such as between a write and its sync.
    case 2:
        if (isUp)
            node.files->failPowerAfter(simulation.below(12));
        break;
    case 3: // Silent partition.
        simulation.isolate(name);
        break;
    case 4: { // One direction only.
        auto other = "v" + std::to_string(simulation.below(static_cast<std::uint64_t>(voters)));
        simulation.cut(name, other);
        break;
    }
    case 5:
    case 6:
        simulation.heal();
        break;
    case 7: // Storage is lost only while every committed entry is on a majority of intact disks.
        if (simulation.isFullStrength()) {
            simulation.loseDisk(name);
            isLost = true;
        }
        break;
    case 8: // Disk full.
        if (isUp)
            node.files->setFreeBytes(simulation.below(500));
        break;
    default: // Planned stop of the leader.
        if (!simulation.leader().empty()) {
            auto& leader = simulation.node(simulation.leader());
            leader.core->transferLeadership({ 0 });
        }
    }
    for (auto& [other, down] : simulation.nodes()) {
        if (down.core == nullptr && simulation.below(3) == 0) {
            down.files->setFreeBytes(1 << 30);
            simulation.startNode(other);
        }
    }
    return isLost;
}

/// @return how many entries were committed.
std::uint64_t runRandomly(std::uint64_t seed, int voters, int rounds, int& losses)
{
    RaftSimulation simulation(seed, voters, 1);
    simulation.start();
    int number = 0;
    for (int round = 0; round < rounds; ++round) {
        simulation.network
            = { simulation.below(3) * 5, simulation.below(3) * 5, simulation.below(4) == 0 ? 150U : 4U };
        losses += disturb(simulation, voters) ? 1 : 0;
        // Sometimes a long time, in which everything settles or an isolated instance falls far behind.
        auto steps = simulation.below(8) == 0 ? 100 : 1 + simulation.below(12);
        for (std::uint64_t i = 0; i < steps; ++i) {
            for (auto& [name, node] : simulation.nodes())
                simulation.propose(name, "c" + std::to_string(number++));
            simulation.run(20);
        }
    }
    simulation.network = {};
    simulation.heal();
    for (auto& [name, node] : simulation.nodes()) {
        node.files->failPowerAfter(~0ULL);
        node.files->setFreeBytes(1 << 30);
        if (node.core == nullptr)
            simulation.startNode(name);
    }
    auto before = simulation.committed();
    REQUIRE(simulation.runUntil([&] { return simulation.isFullStrength(); }, 20000));
    REQUIRE(simulation.runUntil([&] {
        auto leader = simulation.leader();
        return !leader.empty() && simulation.propose(leader, "last") != 0;
    }));
    REQUIRE(simulation.runUntil([&] { return simulation.isConverged(before + 1); }, 20000));
    return simulation.committed();
}

} // namespace

// Searches for any order of faults that loses or changes a committed entry, elects two leaders in a term,
// lets an instance vote twice or leaves the survivors unable to agree.
TEST_CASE("Random faults never change what was committed", "[consensus]")
{
    // CELERYLINE_SEEDS runs more than the fixed seeds, for a longer search.
    const char* more = std::getenv("CELERYLINE_SEEDS");
    std::uint64_t seeds = more == nullptr ? 100 : std::stoull(more);
    std::uint64_t committed = 0;
    int losses = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        REQUIRE_NOTHROW(committed += runRandomly(seed, seed % 2 == 0 ? 3 : 5, 60, losses));
    }
    std::printf("consensus: seeds 1 to %d, %d entries committed, %d disks lost\n", static_cast<int>(seeds),
        static_cast<int>(committed), losses);
    // Guards against runs in which nothing happens.
    CHECK(committed > seeds * 300);
    CHECK(losses > static_cast<int>(seeds / 2));
}
