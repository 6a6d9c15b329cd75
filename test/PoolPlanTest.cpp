#include "celeryline/machines/PoolPlan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace celeryline;

namespace {

constexpr std::int64_t cores = 16000;

PoolMachine machine(const std::string& name, const std::string& pool)
{
    PoolMachine made;
    made.machine = name;
    made.pool = pool;
    made.cores = cores;
    return made;
}

PoolDemand demand(const std::string& pool, std::int64_t arrivals)
{
    PoolDemand made;
    made.pool = pool;
    made.arrivals = arrivals;
    return made;
}

std::vector<PoolMachine> twoPools(int each)
{
    std::vector<PoolMachine> machines;
    for (int i = 0; i < each; ++i) {
        machines.push_back(machine("a" + std::to_string(i), "a"));
        machines.push_back(machine("b" + std::to_string(i), "b"));
    }
    return machines;
}

} // namespace

// Load: one queue asks for five times its mean while another one idles.
TEST_CASE("A pool at its peak gets the machines of one in its trough", "[pools]")
{
    auto moves = planPoolMoves({ demand("a", 8 * cores), demand("b", cores / 2) }, twoPools(6), {});
    // 8 machines' worth of work needs 9.4 machines at the usable share; half a machine isn't moved for.
    REQUIRE(moves.size() == 3);
    for (const auto& move : moves)
        REQUIRE(move.pool == "a");
}

// Load: both pools ask for what they have; moves to and fro would cost time only.
TEST_CASE("Balanced pools keep their machines", "[pools]")
{
    auto half = 5 * cores / 2;
    REQUIRE(planPoolMoves({ demand("a", half), demand("b", half) }, twoPools(3), {}).empty());
}

// Load: a peak beyond all idle machines, with a standby pool.
TEST_CASE("Machines that are off come after idle ones", "[pools]")
{
    auto machines = twoPools(2);
    for (int i = 0; i < 2; ++i) {
        machines.push_back(machine("off" + std::to_string(i), "off"));
        machines.back().isStandby = true;
    }
    auto moves = planPoolMoves({ demand("a", 5 * cores / 2) }, machines, {});
    REQUIRE(moves == std::vector<MachineMove> { { "b0", "a" } });
    moves = planPoolMoves({ demand("a", 4 * cores) }, machines, {});
    REQUIRE(moves == std::vector<MachineMove> { { "b0", "a" }, { "b1", "a" }, { "off0", "a" } });
    PoolPlanOptions withoutStandby;
    withoutStandby.usesStandby = false;
    REQUIRE(planPoolMoves({ demand("a", 4 * cores) }, machines, withoutStandby).size() == 2);
}

// Load: after an outage one queue has a large backlog that is late already while another one begins its peak;
// the late one kept all machines for seconds (Kromrivier trouble-1 varied with seed 12).
TEST_CASE("Work that can still be in time comes before late work", "[pools]")
{
    PoolDemand late;
    late.pool = "a";
    late.lateBacklog = 1000 * cores;
    auto machines = twoPools(4);
    for (auto& each : machines)
        each.inUse = each.pool == "a" ? cores : 0;
    auto moves = planPoolMoves({ late, demand("b", 6 * cores) }, machines, {});
    REQUIRE(moves.size() == 3);
    for (const auto& move : moves)
        REQUIRE(move.pool == "b");
    // Without other demand the idle machines work on what is late.
    moves = planPoolMoves({ late, demand("b", 0) }, machines, {});
    REQUIRE(moves.size() == 4);
    REQUIRE(moves[0].pool == "a");
}

// Guards against moving what lasts, or what has just come.
TEST_CASE("Pinned and fresh machines stay", "[pools]")
{
    auto machines = twoPools(2);
    for (auto& each : machines) {
        each.isPinned = each.machine == "b0";
        each.isFresh = each.machine == "b1";
    }
    REQUIRE(planPoolMoves({ demand("a", 8 * cores) }, machines, {}).empty());
}

// Guards against a pool left with fewer machines than tasks that must be kept apart need: such tasks found no
// place although the cores sufficed (Kromrivier quiet-1, seed 1).
TEST_CASE("A pool keeps as many machines as its tasks need to be kept apart", "[pools]")
{
    auto apart = demand("b", 0);
    apart.fewestMachines = 5;
    auto moves = planPoolMoves({ demand("a", 20 * cores), apart }, twoPools(6), {});
    REQUIRE(moves.size() == 1);
    auto lacking = demand("a", 0);
    lacking.fewestMachines = 8;
    REQUIRE(planPoolMoves({ lacking, demand("b", 0) }, twoPools(6), {}).size() == 2);
}

// Guards against a task that no machine of its pool has room for and that never starts, because its pool
// lacks less than half a machine or its job is late beyond use.
TEST_CASE("A pool without room for a waiting task gets one machine", "[pools]")
{
    auto full = demand("a", 0);
    full.needsMachine = true;
    auto moves = planPoolMoves({ full, demand("b", 0) }, twoPools(6), {});
    REQUIRE(moves.size() == 1);
    REQUIRE(moves[0].pool == "a");
    // A pool that needs all of its machines gives none, and what is lacking in time comes first.
    REQUIRE(planPoolMoves({ full, demand("b", 5 * cores) }, twoPools(6), {}).empty());
    auto lacking = demand("a", 8 * cores);
    lacking.needsMachine = true;
    auto usual = planPoolMoves({ demand("a", 8 * cores), demand("b", 0) }, twoPools(6), {});
    REQUIRE(planPoolMoves({ lacking, demand("b", 0) }, twoPools(6), {}) == usual);
}

// Guards against a backlog that isn't counted beside what runs.
TEST_CASE("Work that waits is to be done within the horizon", "[pools]")
{
    PoolDemand waiting;
    waiting.backlog = 32 * 2000; // 32 cores for the horizon of two seconds.
    PoolPlanOptions options;
    options.usableShare = 1;
    REQUIRE(wantedCores(waiting, options) == 32000);
}

// Load: a pool's peak has just ended and its jobs have steps to go. Those were counted beside the tasks that
// they wait for, so the pool kept its machines while another one was in its peak (grown Kromrivier scale-1).
TEST_CASE("Machines kept for later steps go to a pool that lacks them at once", "[pools]")
{
    auto ending = demand("a", 0);
    ending.inUse = 2 * cores;
    ending.backlog = 4 * cores * 2;
    ending.followingBacklog = ending.backlog;
    auto machines = twoPools(6);
    auto moves = planPoolMoves({ ending, demand("b", 8 * cores) }, machines, {});
    REQUIRE(moves.size() == 3);
    for (const auto& move : moves)
        REQUIRE(move.pool == "b");
}

// Guards against a pool that gets no machines for the later steps of its jobs although another one idles.
TEST_CASE("Idle machines come for later steps too", "[pools]")
{
    auto beginning = demand("a", 0);
    beginning.inUse = 5 * cores;
    beginning.backlog = 4 * cores * 2;
    beginning.followingBacklog = beginning.backlog;
    REQUIRE(planPoolMoves({ beginning, demand("b", 0) }, twoPools(6), {}).size() == 5);
}
