#include "RaftSimulation.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>

using namespace celeryline;
using celeryline::test::RaftSimulation;

namespace {

/// Injects a random fault or repairs one.
/// @return whether a disk was lost.
bool injectFault(RaftSimulation& simulation, int voters)
{
    auto name = "v" + std::to_string(simulation.randomBelow(static_cast<std::uint64_t>(voters)));
    auto& node = simulation.node(name);
    bool isDiskLost = false;
    bool isUp = node.core != nullptr;
    switch (simulation.randomBelow(10)) {
    case 0: // Kill while idle.
        if (isUp)
            simulation.kill(name);
        break;
    case 1: // Power failure during one of the next file operations, e.g. between a write and its sync.
    case 2:
        if (isUp)
            node.files->failPowerAfter(simulation.randomBelow(12));
        break;
    case 3: // Isolation from all others.
        simulation.isolate(name);
        break;
    case 4: { // One-way link failure.
        auto other = "v" + std::to_string(simulation.randomBelow(static_cast<std::uint64_t>(voters)));
        simulation.blockLink(name, other);
        break;
    }
    case 5:
    case 6:
        simulation.healNetwork();
        break;
    case 7: // Disk loss, only while every committed entry is on a majority of intact disks.
        if (simulation.hasAllVoters()) {
            simulation.loseDisk(name);
            isDiskLost = true;
        }
        break;
    case 8: // Full disk.
        if (isUp)
            node.files->setFreeBytes(simulation.randomBelow(500));
        break;
    default: // Leadership transfer.
        if (!simulation.leader().empty()) {
            auto& leader = simulation.node(simulation.leader());
            leader.core->transferLeadership({ 0 });
        }
    }
    for (auto& [other, downNode] : simulation.nodes()) {
        if (downNode.core == nullptr && simulation.randomBelow(3) == 0) {
            downNode.files->setFreeBytes(1 << 30);
            simulation.startNode(other);
        }
    }
    return isDiskLost;
}

/// @return how many entries were committed.
std::uint64_t runRandomFaults(std::uint64_t seed, int voters, int rounds, int& losses)
{
    RaftSimulation simulation(seed, voters, 1);
    simulation.start();
    int number = 0;
    for (int round = 0; round < rounds; ++round) {
        simulation.network = { simulation.randomBelow(3) * 5, simulation.randomBelow(3) * 5,
            simulation.randomBelow(4) == 0 ? 150U : 4U };
        losses += injectFault(simulation, voters) ? 1 : 0;
        // Some rounds are long enough for the log to converge or for an isolated instance to fall far behind.
        auto steps = simulation.randomBelow(8) == 0 ? 100 : 1 + simulation.randomBelow(12);
        for (std::uint64_t i = 0; i < steps; ++i) {
            for (auto& [name, node] : simulation.nodes())
                simulation.propose(name, "c" + std::to_string(number++));
            simulation.run(20);
        }
    }
    simulation.network = {};
    simulation.healNetwork();
    for (auto& [name, node] : simulation.nodes()) {
        node.files->failPowerAfter(~0ULL);
        node.files->setFreeBytes(1 << 30);
        if (node.core == nullptr)
            simulation.startNode(name);
    }
    auto before = simulation.committed();
    REQUIRE(simulation.runUntil([&] { return simulation.hasAllVoters(); }, 20000));
    REQUIRE(simulation.runUntil([&] {
        auto leader = simulation.leader();
        return !leader.empty() && simulation.propose(leader, "last") != 0;
    }));
    REQUIRE(simulation.runUntil([&] { return simulation.isConverged(before + 1); }, 20000));
    return simulation.committed();
}

} // namespace

// Searches for sequences of faults that lose or change a committed entry, elect two leaders in a term, let an
// instance vote twice in a term or prevent the replicas from converging after all faults are repaired.
TEST_CASE("Random faults never change what was committed", "[consensus]")
{
    // CELERYLINE_SEEDS sets the number of seeds for a longer search.
    const char* more = std::getenv("CELERYLINE_SEEDS");
    std::uint64_t seeds = more == nullptr ? 100 : std::stoull(more);
    std::uint64_t committed = 0;
    int losses = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        INFO("seed " << seed);
        REQUIRE_NOTHROW(committed += runRandomFaults(seed, seed % 2 == 0 ? 3 : 5, 60, losses));
    }
    std::printf("consensus: seeds 1 to %d, %d entries committed, %d disks lost\n", static_cast<int>(seeds),
        static_cast<int>(committed), losses);
    // Guards against runs without commits or lost disks.
    CHECK(committed > seeds * 300);
    CHECK(losses > static_cast<int>(seeds / 2));
}
