#include "celeryline/machines/PoolPlan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace celeryline;

namespace {

constexpr std::int64_t milliCores = 16000;

PoolMachine machine(const std::string& name, const std::string& pool)
{
    PoolMachine made;
    made.machine = name;
    made.pool = pool;
    made.milliCores = milliCores;
    return made;
}

PoolDemand demand(const std::string& pool, std::int64_t arrivals)
{
    PoolDemand made;
    made.pool = pool;
    made.arrivalRate = arrivals;
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

// Load: one queue has five times its mean load while another one is idle.
TEST_CASE("A pool at its peak gets machines of an idle pool", "[pools]")
{
    auto moves = planPoolMoves({ demand("a", 8 * milliCores), demand("b", milliCores / 2) }, twoPools(6), {});
    // Load for 8 machines needs 9.4 machines at the usable fraction; no move is made for less than half a
    // machine.
    REQUIRE(moves.size() == 3);
    for (const auto& move : moves)
        REQUIRE(move.pool == "a");
}

// Load: the demand of both pools equals their capacity; moves in both directions would only cost time.
TEST_CASE("Balanced pools keep their machines", "[pools]")
{
    auto half = 5 * milliCores / 2;
    REQUIRE(planPoolMoves({ demand("a", half), demand("b", half) }, twoPools(3), {}).empty());
}

// Load: a peak that exceeds the idle machines, with a standby pool.
TEST_CASE("Standby machines are used after idle ones", "[pools]")
{
    auto machines = twoPools(2);
    for (int i = 0; i < 2; ++i) {
        machines.push_back(machine("off" + std::to_string(i), "off"));
        machines.back().isStandby = true;
    }
    auto moves = planPoolMoves({ demand("a", 5 * milliCores / 2) }, machines, {});
    REQUIRE(moves == std::vector<MachineMove> { { "b0", "a" } });
    moves = planPoolMoves({ demand("a", 4 * milliCores) }, machines, {});
    REQUIRE(moves == std::vector<MachineMove> { { "b0", "a" }, { "b1", "a" }, { "off0", "a" } });
    PoolPlanOptions withoutStandby;
    withoutStandby.usesStandby = false;
    REQUIRE(planPoolMoves({ demand("a", 4 * milliCores) }, machines, withoutStandby).size() == 2);
}

// Load: after an outage one queue has a large backlog that is already late when another queue's peak begins.
// The late queue kept all machines for seconds (Kromrivier trouble-1 varied, seed 12).
TEST_CASE("Work that can still be in time comes before late work", "[pools]")
{
    PoolDemand late;
    late.pool = "a";
    late.lateBacklog = 1000 * milliCores;
    auto machines = twoPools(4);
    for (auto& each : machines)
        each.inUse = each.pool == "a" ? milliCores : 0;
    auto moves = planPoolMoves({ late, demand("b", 6 * milliCores) }, machines, {});
    REQUIRE(moves.size() == 3);
    for (const auto& move : moves)
        REQUIRE(move.pool == "b");
    // Without other demand, late work gets the idle machines.
    moves = planPoolMoves({ late, demand("b", 0) }, machines, {});
    REQUIRE(moves.size() == 4);
    REQUIRE(moves[0].pool == "a");
}

// Machines with long-running tasks and machines that have just arrived must not be moved.
TEST_CASE("Pinned machines and machines new in their pool aren't moved", "[pools]")
{
    auto machines = twoPools(2);
    for (auto& each : machines) {
        each.isPinned = each.machine == "b0";
        each.isNewInPool = each.machine == "b1";
    }
    REQUIRE(planPoolMoves({ demand("a", 8 * milliCores) }, machines, {}).empty());
}

// A pool must not be left with fewer machines than its limits of tasks per runner require: such tasks
// couldn't be placed although there were enough cores (Kromrivier quiet-1, seed 1).
TEST_CASE("A pool keeps its minimum number of machines", "[pools]")
{
    auto apart = demand("b", 0);
    apart.minMachines = 5;
    auto moves = planPoolMoves({ demand("a", 20 * milliCores), apart }, twoPools(6), {});
    REQUIRE(moves.size() == 1);
    auto lacking = demand("a", 0);
    lacking.minMachines = 8;
    REQUIRE(planPoolMoves({ lacking, demand("b", 0) }, twoPools(6), {}).size() == 2);
}

// A task that fits no machine of its pool never started if the shortage was less than half a machine or the
// job had expired.
TEST_CASE("A pool without room for a waiting task gets one machine", "[pools]")
{
    auto full = demand("a", 0);
    full.needsMachine = true;
    auto moves = planPoolMoves({ full, demand("b", 0) }, twoPools(6), {});
    REQUIRE(moves.size() == 1);
    REQUIRE(moves[0].pool == "a");
    // A pool that needs all of its machines gives none, and shortages of jobs that are in time come first.
    REQUIRE(planPoolMoves({ full, demand("b", 5 * milliCores) }, twoPools(6), {}).empty());
    auto lacking = demand("a", 8 * milliCores);
    lacking.needsMachine = true;
    auto usual = planPoolMoves({ demand("a", 8 * milliCores), demand("b", 0) }, twoPools(6), {});
    REQUIRE(planPoolMoves({ lacking, demand("b", 0) }, twoPools(6), {}) == usual);
}

// The backlog must count in addition to the tasks that run.
TEST_CASE("The backlog is to be processed within the horizon", "[pools]")
{
    PoolDemand waiting;
    waiting.backlog = 32 * 2000; // 32 cores for the horizon of two seconds.
    PoolPlanOptions options;
    options.usableFraction = 1;
    REQUIRE(wantedMilliCores(waiting, options) == 32000);
}

// Load: the peak of a pool has just ended, and its jobs have dependent steps left. These counted in addition
// to the tasks that they wait for, so the pool kept its machines during another pool's peak (grown Kromrivier
// scale-1).
TEST_CASE("Machines kept for dependent steps go to a pool with an immediate shortage", "[pools]")
{
    auto ending = demand("a", 0);
    ending.inUse = 2 * milliCores;
    ending.backlog = 4 * milliCores * 2;
    ending.dependentBacklog = ending.backlog;
    auto machines = twoPools(6);
    auto moves = planPoolMoves({ ending, demand("b", 8 * milliCores) }, machines, {});
    REQUIRE(moves.size() == 3);
    for (const auto& move : moves)
        REQUIRE(move.pool == "b");
}

// A pool must get machines for the dependent steps of its jobs if another pool is idle.
TEST_CASE("Idle machines are moved for dependent steps too", "[pools]")
{
    auto beginning = demand("a", 0);
    beginning.inUse = 5 * milliCores;
    beginning.backlog = 4 * milliCores * 2;
    beginning.dependentBacklog = beginning.backlog;
    REQUIRE(planPoolMoves({ beginning, demand("b", 0) }, twoPools(6), {}).size() == 5);
}

// Load: the same, on a site that sends idle machines to standby. Machines that are switched on for steps that
// reuse cores stay idle.
TEST_CASE("Standby machines are not switched on for dependent steps if that is excluded", "[pools]")
{
    auto beginning = demand("a", 0);
    beginning.inUse = 5 * milliCores;
    beginning.backlog = 4 * milliCores * 2;
    beginning.dependentBacklog = beginning.backlog;
    auto machines = twoPools(6);
    for (auto& each : machines)
        each.isStandby = each.pool == "b";
    PoolPlanOptions options;
    REQUIRE(planPoolMoves({ beginning }, machines, options).size() == 5);
    options.usesStandbyForDependents = false;
    REQUIRE(planPoolMoves({ beginning }, machines, options).empty());
    // Steps that are ready still get them.
    beginning.dependentBacklog = 0;
    REQUIRE(planPoolMoves({ beginning }, machines, options).size() == 5);
}
