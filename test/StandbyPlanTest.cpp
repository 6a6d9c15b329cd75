#include "celeryline/machines/StandbyPlan.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <string>

using namespace celeryline;

namespace {

constexpr std::int64_t milliCores = 32000;
constexpr std::int64_t phaseMs = 5000;
constexpr std::int64_t turnMs = 200;
const std::vector<std::string> pools { "a", "b", "c", "d" };

/// A site of four pools of ten machines, whose peaks rotate and need five machines each.
struct RotatingSite {
    RotatingSite()
    {
        input.history = &history;
        input.returnTime = { 2000 };
        input.standbyPool = "off";
        input.maxSent = 100;
        for (const auto& pool : pools) {
            for (int i = 0; i < 10; ++i)
                addMachine(pool + std::to_string(i), pool);
        }
    }

    void addMachine(const std::string& name, const std::string& pool)
    {
        StandbyCandidate machine;
        machine.base.machine = name;
        machine.base.pool = pool;
        machine.base.milliCores = milliCores;
        machine.kind = "0";
        machine.base.isStandby = pool == "off";
        input.machines.push_back(machine);
    }

    /// @return the demand of each pool while one of them peaks.
    static std::vector<PoolDemand> demandsWithPeak(std::size_t peak, std::int64_t cores)
    {
        std::vector<PoolDemand> demands;
        for (std::size_t i = 0; i < pools.size(); ++i) {
            PoolDemand demand;
            demand.pool = pools[i];
            demand.inUse = i == peak ? cores * 1000 : cores * 1000 / 90;
            demands.push_back(demand);
        }
        return demands;
    }

    void observe(std::int64_t milliseconds, std::int64_t cores = 136)
    {
        for (std::int64_t i = 0; i < milliseconds; i += turnMs) {
            input.now = input.now + Millis { turnMs };
            auto phase = static_cast<std::size_t>(input.now.count / phaseMs) % pools.size();
            input.demands = demandsWithPeak(phase, cores);
            DemandByPool finite;
            for (const auto& demand : input.demands)
                finite[demand.pool] = finiteMilliCores(demand, options.poolPlan);
            history.add(finite, input.now);
        }
    }

    void carryOut(const std::vector<MachineMove>& moves)
    {
        for (const auto& move : moves) {
            auto moved = std::find_if(input.machines.begin(), input.machines.end(),
                [&](const auto& machine) { return machine.base.machine == move.machine; });
            returned += moved->base.isStandby ? 1 : 0;
            moved->base.pool = move.pool;
            moved->base.isStandby = move.pool == "off";
        }
    }

    /// Plans moves between the pools and to the standby pool, and carries them out.
    StandbyPlan plan()
    {
        std::vector<PoolMachine> machines;
        for (const auto& machine : input.machines)
            machines.push_back(machine.base);
        carryOut(planPoolMoves(input.demands, machines, options.poolPlan));
        auto made = planStandby(input, options);
        carryOut(made.moves);
        return made;
    }

    std::ptrdiff_t count(const std::function<bool(const StandbyCandidate&)>& matches) const
    {
        return std::count_if(input.machines.begin(), input.machines.end(), matches);
    }

    std::ptrdiff_t machinesOn() const
    {
        return count([](const auto& machine) { return !machine.base.isStandby; });
    }

    DemandHistory history;
    StandbyPlanInput input;
    StandbyPlanOptions options;
    int returned = 0; ///< Moves from the standby pool.
};

} // namespace

// Load: four queues peak in turn for 5 s each. Machines that are sent away before each peak was seen are
// missing in the first peak of another pool.
TEST_CASE("No machine goes to standby before a rotation was observed", "[standby]")
{
    RotatingSite site;
    site.observe(19000);
    auto plan = site.plan();
    REQUIRE(plan.hold == StandbyHold::Learning);
    REQUIRE(plan.moves.empty());
    site.observe(2000);
    REQUIRE(site.history.rotation() >= Millis { 15000 });
    REQUIRE(site.history.rotation() <= Millis { 21000 });
    REQUIRE(site.plan().hold == StandbyHold::None);
    REQUIRE(site.machinesOn() < 40);
}

// Load: the same rotation. Each peak needs five machines at the usable fraction of 0.85.
TEST_CASE("Enough machines stay on for each peak of the rotation", "[standby]")
{
    RotatingSite site;
    site.observe(21000);
    for (int i = 0; i < 200; ++i) {
        site.observe(turnMs);
        auto plan = site.plan();
        CHECK(plan.on >= 5 * milliCores);
        CHECK(plan.hold == StandbyHold::None);
    }
    // The load repeats exactly, so a machine that returns was needlessly sent.
    REQUIRE(site.returned == 0);
    REQUIRE(site.machinesOn() <= 16);
    REQUIRE(site.machinesOn() >= 7);
}

// Load: a burst of three times the usual load after a calm period. Machines that return only once all others
// are busy arrive late by the time of a move.
TEST_CASE("Machines return while the demand rises, before it exceeds what is on", "[standby]")
{
    RotatingSite site;
    site.observe(21000);
    for (int i = 0; i < 100; ++i) {
        site.observe(turnMs);
        site.plan();
    }
    auto before = site.machinesOn();
    std::int64_t cores = 136;
    bool isExceeded = false;
    for (int i = 0; i < 10; ++i) {
        cores += 27; // The rate at which it triples within two seconds.
        site.observe(turnMs, cores);
        auto plan = site.plan();
        auto wanted = static_cast<std::int64_t>(static_cast<double>(cores) * 1000 / 0.85);
        isExceeded = isExceeded || plan.on + milliCores < wanted;
    }
    REQUIRE(site.machinesOn() > before);
    REQUIRE_FALSE(isExceeded);
    // What the burst needed stays on in the calm after it, since it may come again with the next rotation.
    site.observe(15000);
    site.plan();
    auto wanted = static_cast<double>(cores) * 1000 / 0.85 * site.options.reserveFactor;
    REQUIRE(static_cast<double>(site.machinesOn() * milliCores) >= wanted);
}

// Each of these conditions means that the idle machines may be needed within the time of a move.
TEST_CASE("No machine goes to standby while work waits or the site is disturbed", "[standby]")
{
    RotatingSite site;
    site.observe(26000);
    auto planned = [&] { return planStandby(site.input, site.options); };
    REQUIRE(planned().sent > 0);
    SECTION("late work")
    {
        site.input.demands[1].lateBacklog = 1000;
        REQUIRE(planned().hold == StandbyHold::LateWork);
    }
    SECTION("a task that finds no room")
    {
        site.input.demands[1].needsMachine = true;
        REQUIRE(planned().hold == StandbyHold::WaitingTask);
    }
    SECTION("a pool that wants more than it has")
    {
        site.input.demands[2].inUse = 11 * milliCores;
        REQUIRE(planned().hold == StandbyHold::Shortage);
    }
    SECTION("reasons of the caller")
    {
        site.input.hold = StandbyHold::MachinesLost;
        REQUIRE(planned().hold == StandbyHold::MachinesLost);
    }
    SECTION("switched off")
    {
        site.options.isEnabled = false;
        REQUIRE(planned().hold == StandbyHold::NoPool);
    }
    REQUIRE(planned().sent == 0);
}

// Moving a machine that is busy, pinned, new or due for upkeep costs more than its time off saves.
TEST_CASE("Only idle machines without other duties go to standby", "[standby]")
{
    RotatingSite site;
    site.observe(26000);
    int number = 0;
    for (auto& machine : site.input.machines) {
        auto& base = machine.base;
        base.inUse = number % 5 == 0 ? 1000 : 0;
        base.isPinned = number % 5 == 1;
        base.isNewInPool = number % 5 == 2;
        machine.mayBeSent = number % 5 != 3;
        ++number;
    }
    auto plan = planStandby(site.input, site.options);
    REQUIRE(plan.sent > 0);
    for (const auto& move : plan.moves)
        REQUIRE((move.machine.back() == '4' || move.machine.back() == '9'));
}

// A pool must keep the machines that its limits of tasks per runner require.
TEST_CASE("A pool keeps more than its minimum number of machines on", "[standby]")
{
    RotatingSite site;
    site.observe(26000);
    for (auto& demand : site.input.demands)
        demand.minMachines = 8;
    site.plan();
    for (const auto& pool : pools) {
        REQUIRE(site.count([&](const auto& machine) { return machine.base.pool == pool; }) >= 9);
    }
}

// Steps with data in a rack run slower elsewhere, and a step that shares a rack needs a whole one.
TEST_CASE("Racks that no job named are emptied first, and named ones are kept", "[standby]")
{
    RotatingSite site;
    site.observe(26000);
    int number = 0;
    for (auto& machine : site.input.machines) {
        machine.rack = number % 2 == 0 ? "named" : "other";
        machine.isRackNamed = number++ % 2 == 0;
    }
    site.input.maxSent = 4;
    for (const auto& move : site.plan().moves)
        CHECK(move.machine.back() % 2 == '1' % 2);
    site.input.maxSent = 100;
    site.plan();
    for (const auto& pool : pools) {
        CHECK(site.count([&](const auto& machine) {
            return machine.base.pool == pool && machine.rack == "named";
        }) >= 2);
    }
}

// Jobs that require a label or accelerators can't use other machines, and the demand in cores doesn't show
// how many machines they need.
TEST_CASE("Half of the machines of a kind that jobs require stay on", "[standby]")
{
    RotatingSite site;
    site.observe(26000);
    for (auto& machine : site.input.machines) {
        machine.isKindNamed = true;
        machine.kind = machine.base.machine.back() < '4' ? "few" : "many";
    }
    site.plan();
    for (const char* kind : { "few", "many" }) {
        auto all = site.count([&](const auto& machine) { return machine.kind == kind; });
        auto off
            = site.count([&](const auto& machine) { return machine.kind == kind && machine.base.isStandby; });
        CHECK(2 * off <= all);
    }
}

// At a steady load, no pool's peak follows another's, and the time until a rotation counts as observed must
// end.
TEST_CASE("A steady load counts as observed after ten minutes", "[standby]")
{
    DemandHistory history;
    for (std::int64_t at = 0; at < 599000; at += 1000)
        history.add({ { "a", 1000 }, { "b", 1000 } }, { at });
    REQUIRE_FALSE(history.isComplete({ 599000 }));
    REQUIRE(history.isComplete({ 600000 }));
    REQUIRE(history.rotation() == Millis { 0 });
}

// A site that is idle before its callers begin shows nothing about its load.
TEST_CASE("Time without any demand before the first one isn't observed", "[standby]")
{
    DemandHistory history;
    for (std::int64_t at = 0; at < 700000; at += 1000)
        history.add({ { "a", 0 } }, { at });
    REQUIRE_FALSE(history.isComplete({ 700000 }));
}
