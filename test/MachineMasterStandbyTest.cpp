// Machines that MachineMaster sends to a standby pool.
#include "celeryline/machines/MachineMaster.h"

#include "MachineKit.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr int machinesPerPool = 6;

/// Two pools whose loads peak in turn, and a standby pool. Answers orders unless it is told not to.
struct StandbyFixture : MachineFixture {
    explicit StandbyFixture(const MachineMasterOptions& options = defaultOptions(), bool hasStandby = true)
        : MachineFixture(options)
    {
        auto configuration = store.configuration();
        ++configuration.version;
        if (hasStandby)
            configuration.pools.push_back({ "off", true, true });
        store.apply(AcceptConfiguration { configuration }, {});
        for (int i = 0; i < machinesPerPool; ++i) {
            addMachine("a" + std::to_string(i), "pool", "ra" + std::to_string(i));
            addMachine("b" + std::to_string(i), "other", "rb" + std::to_string(i));
        }
    }

    /// Advances the time by a second, in which all runners but the silent ones report.
    void second()
    {
        for (const auto& info : provider.machines) {
            if (info.runner.empty() || silent.count(info.machine) != 0)
                continue;
            auto idle = makeReport(info.runner, ++sequence);
            idle.machine = info.machine;
            idle.service = info.pool;
            report(idle);
        }
        for (int i = 0; i < 10; ++i) {
            advanceTime(100);
            if (answersOrders)
                carryOutOrders();
        }
    }

    void carryOutOrders()
    {
        if (outcome != MachineOutcome::Done) {
            refused += provider.orders.size();
            provider.answer(outcome);
            return;
        }
        for (const auto& order : provider.orders) {
            for (auto& info : provider.machines) {
                if (info.machine != order.machine || order.pool.empty())
                    continue;
                info.pool = order.pool;
                info.runner = order.pool == "off" ? "" : "r" + info.machine;
            }
        }
        provider.answer(MachineOutcome::Done);
    }

    /// Plays rotations of peaks of one queue and then the other, 4 s each. The jobs are cancelled after a
    /// second, as if they had ended.
    void rotate(int seconds)
    {
        for (int i = 0; i < seconds; ++i) {
            bool isFirst = rotationSeconds++ / 4 % 2 == 0;
            auto job = makeJob("job" + std::to_string(rotationSeconds), { makeStep(4) });
            job.queue = isFirst ? "host/queue/" : "host/other/";
            submit(job);
            second();
            master.request(CancelJob { job.id }, [](RequestOutcome) {});
            master.tick();
        }
    }

    std::ptrdiff_t onStandby() const
    {
        return std::count_if(provider.machines.begin(), provider.machines.end(),
            [](const MachineInfo& info) { return info.pool == "off"; });
    }

    std::set<std::string> silent;
    bool answersOrders = true;
    MachineOutcome outcome = MachineOutcome::Done; ///< Of all orders.
    std::size_t refused = 0; ///< Orders with another outcome than Done.
    int rotationSeconds = 0;
};

} // namespace

// Machines that are idle for whole rotations cost as much as those that work.
TEST_CASE("Idle machines go to the standby pool once a rotation was observed", "[machines][standby]")
{
    StandbyFixture fixture;
    fixture.rotate(8);
    REQUIRE(fixture.onStandby() == 0);
    REQUIRE(fixture.machines.standbyPlan().hold == StandbyHold::Learning);
    fixture.rotate(24);
    REQUIRE(fixture.onStandby() > 0);
    REQUIRE(static_cast<std::size_t>(fixture.onStandby()) == fixture.machines.standbyMachines());
}

// The function must not change deployments that don't call for it.
TEST_CASE("No machine is sent without a standby pool or if that is switched off", "[machines][standby]")
{
    auto options = MachineFixture::defaultOptions();
    options.standbyPlan.isEnabled = GENERATE(false, true);
    StandbyFixture fixture(options, !options.standbyPlan.isEnabled);
    fixture.rotate(32);
    REQUIRE(fixture.onStandby() == 0);
    REQUIRE(fixture.machines.standbyPlan().hold == StandbyHold::NoPool);
}

// A new leader's view of runners and machines is incomplete for some seconds. The demand follows from the
// committed state, so what was learnt remains valid.
TEST_CASE("A new leader waits before it sends machines, and knows the rotation", "[machines][standby]")
{
    StandbyFixture fixture;
    fixture.rotate(8);
    ++fixture.log.currentTerm;
    fixture.master.startTerm();
    fixture.machines.startTerm();
    fixture.rotate(4);
    REQUIRE(fixture.onStandby() == 0);
    REQUIRE(fixture.machines.standbyPlan().hold == StandbyHold::Settling);
    fixture.rotate(8);
    REQUIRE(fixture.onStandby() > 0);
}

// A process that doesn't lead must know the rotation when it takes over.
TEST_CASE("A process that doesn't lead learns the rotation", "[machines][standby]")
{
    StandbyFixture fixture;
    fixture.log.leads = false;
    for (int i = 0; i < 17; ++i) {
        auto job = makeJob("job" + std::to_string(i), { makeStep(4) });
        job.queue = i / 4 % 2 == 0 ? "host/queue/" : "host/other/";
        fixture.store.apply(SubmitJob { job, fixture.moment.wall }, {});
        fixture.advanceTime(1000);
        fixture.store.apply(CancelJob { job.id }, {});
    }
    fixture.log.leads = true;
    ++fixture.log.currentTerm;
    fixture.master.startTerm();
    fixture.machines.startTerm();
    fixture.rotate(4);
    REQUIRE(fixture.machines.standbyPlan().hold == StandbyHold::Settling);
    fixture.rotate(3);
    REQUIRE(fixture.machines.standbyPlan().hold == StandbyHold::None);
}

// Without answers nobody knows where the machines are; each stays in its pool and takes tasks again.
TEST_CASE("No machine is sent while the provider doesn't answer", "[machines][standby]")
{
    StandbyFixture fixture;
    fixture.rotate(9);
    fixture.provider.holdsLists = true;
    fixture.answersOrders = false;
    fixture.rotate(5);
    REQUIRE(fixture.machines.standbyPlan().hold == StandbyHold::ProviderLost);
    fixture.provider.orders.clear();
    fixture.rotate(10);
    REQUIRE(fixture.provider.orders.empty());
    fixture.submit(makeJob("next", { makeStep(1) }));
    REQUIRE(fixture.advanceUntilStart("ra0", 2000).size() == 1);
}

// Machines that fall silent together may be those of a data centre that is cut off; the others are needed. A
// machine that stays silent must not keep all others on.
TEST_CASE("No machine is sent for some seconds after one fell silent", "[machines][standby]")
{
    StandbyFixture fixture;
    fixture.rotate(5);
    fixture.silent = { "a1" };
    fixture.rotate(5);
    REQUIRE(fixture.machines.standbyPlan().hold == StandbyHold::MachinesLost);
    REQUIRE(fixture.onStandby() == 0);
    fixture.rotate(16);
    REQUIRE(fixture.onStandby() > 0);
}

// A standby pool of machines of another type refuses each machine. A refused machine isn't moved for ten
// seconds, in which its own and other pools may need it.
TEST_CASE("A kind that the standby pool refuses is not offered again", "[machines][standby]")
{
    StandbyFixture fixture;
    fixture.rotate(7);
    fixture.outcome = MachineOutcome::Refused;
    fixture.rotate(20);
    REQUIRE(fixture.refused > 0);
    REQUIRE(fixture.refused <= 5); // Those that were sent together.
    REQUIRE(fixture.onStandby() == 0);
}

// The upkeep of a machine counts for its wave wherever it is, and a machine on standby serves nobody.
TEST_CASE("A machine on standby gets its upkeep", "[machines][standby]")
{
    StandbyFixture fixture;
    fixture.rotate(32);
    std::vector<std::string> names;
    for (const auto& info : fixture.provider.machines) {
        if (info.pool == "off")
            names.push_back(info.machine);
    }
    REQUIRE_FALSE(names.empty());
    fixture.master.request(StartWave { 5, names, { 60000 }, 2, fixture.moment.wall }, [](RequestOutcome) {});
    fixture.rotate(30);
    REQUIRE(fixture.store.waves().at(5).done.size() == names.size());
}
