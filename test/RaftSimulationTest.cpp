#include "RaftSimulation.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using celeryline::test::RaftSimulation;

namespace {

/// One random fault or repair.
void disturb(RaftSimulation& simulation, int voters, bool mayLoseDisk)
{
    auto name = "v" + std::to_string(simulation.below(static_cast<std::uint64_t>(voters)));
    auto& node = simulation.node(name);
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
        if (mayLoseDisk && simulation.isFullStrength()) {
            simulation.loseDisk(name);
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
}

void runRandomly(std::uint64_t seed, int voters, bool mayLoseDisk, int rounds)
{
    INFO("seed " << seed << ", " << voters << " voters");
    RaftSimulation simulation(seed, voters, 1);
    simulation.start();
    int number = 0;
    for (int round = 0; round < rounds; ++round) {
        simulation.network
            = { simulation.below(3) * 5, simulation.below(3) * 5, simulation.below(4) == 0 ? 150U : 4U };
        disturb(simulation, voters, mayLoseDisk);
        // Sometimes a long time, in which everything settles or an isolated instance falls far behind.
        auto steps = simulation.below(8) == 0 ? 60 : 1 + simulation.below(12);
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
    REQUIRE(simulation.propose(simulation.leader(), "last") != 0);
    REQUIRE(simulation.runUntil([&] { return simulation.isConverged(before + 1); }, 20000));
}

} // namespace

TEST_CASE("Random faults never change what was committed", "[consensus]")
{
    std::uint64_t committed = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed)
        REQUIRE_NOTHROW(runRandomly(seed, seed % 2 == 0 ? 3 : 5, true, 60));
    (void)committed;
}
