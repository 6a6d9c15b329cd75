#include "celeryline/machines/ReachableCapacity.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

std::vector<PoolMachine> makeMachines(const std::string& pool, int count, bool isStandby = false)
{
    std::vector<PoolMachine> machines;
    for (int i = 0; i < count; ++i)
        machines.push_back({ pool + std::to_string(i), pool, 8500, isStandby });
    return machines;
}

PoolDemand makeDemand(const std::string& pool, std::int64_t inUse)
{
    PoolDemand demand;
    demand.pool = pool;
    demand.inUse = inUse;
    return demand;
}

std::vector<PoolMachine> operator+(std::vector<PoolMachine> a, const std::vector<PoolMachine>& b)
{
    a.insert(a.end(), b.begin(), b.end());
    return a;
}

} // namespace

// Guards against a forecast that leaves out what off-peak pools and standby machines can add.
TEST_CASE("A pool can reach what the others don't want", "[admission][pools]")
{
    auto machines = makeMachines("peak", 4) + makeMachines("calm", 4) + makeMachines("off", 2, true);
    auto reachable
        = reachableMilliCores({ makeDemand("peak", 40000), makeDemand("calm", 7225) }, machines, {});
    // The calm pool wants 8,500, one machine; all other machines are within reach.
    REQUIRE(reachable.at("peak") == 5 * 8500);
    PoolPlanOptions withoutStandby;
    withoutStandby.usesStandby = false;
    reachable = reachableMilliCores(
        { makeDemand("peak", 40000), makeDemand("calm", 7225) }, machines, withoutStandby);
    REQUIRE(reachable.at("peak") == 3 * 8500);
}

// Guards against a forecast by which each of several overloaded pools counts on the others' machines.
TEST_CASE("Pools that all lack machines reach none of each other's", "[admission][pools]")
{
    auto machines = makeMachines("a", 4) + makeMachines("b", 4);
    auto reachable = reachableMilliCores({ makeDemand("a", 90000), makeDemand("b", 90000) }, machines, {});
    REQUIRE(reachable.at("a") == 0);
    REQUIRE(reachable.at("b") == 0);
}

// Guards against counting on machines that can't leave.
TEST_CASE("Pinned machines and those that a pool needs at least are out of reach", "[admission][pools]")
{
    auto machines = makeMachines("peak", 1) + makeMachines("calm", 4);
    machines[1].isPinned = true;
    auto calm = makeDemand("calm", 0);
    calm.minMachines = 2;
    auto reachable = reachableMilliCores({ makeDemand("peak", 90000), calm }, machines, {});
    REQUIRE(reachable.at("peak") == 2 * 8500);
}
