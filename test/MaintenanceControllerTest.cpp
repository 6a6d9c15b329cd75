#include "SimulatedSite.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// Starts wave "v" on all machines of pool "a".
void startWave(SimulatedSite& site) { REQUIRE(site.run(startWaveCommand("v", "pool=a")).accepted); }

const Wave& waveIn(const SimulatedSite& site) { return site.state.fleet()->waves->at("v"); }

bool allServe(const SimulatedSite& site)
{
    for (const auto& [name, instance] : *site.state.fleet()->instances) {
        if (instance.phase != InstancePhase::Serving) {
            return false;
        }
    }
    return site.state.fleet()->permits->empty();
}

} // namespace

TEST_CASE("A wave reboots every instance once within the budget", "[maintenance]")
{
    SimulatedSite site(4);
    REQUIRE(site.state.fleet()->instances->size() == 16);
    startWave(site);
    auto [ended, isWithinBudget] = site.runWave("v", 300);
    CHECK(ended);
    CHECK(isWithinBudget);
    CHECK(waveIn(site).completed.size() == 16);
    for (const auto& [name, machine] : site.machines) {
        CHECK(machine.reboots == 1);
    }
    CHECK(allServe(site));
}

// Guards against stopping more instances when failures have used up the disruption budget, and against a wave
// that doesn't resume after the failed instances return.
TEST_CASE("A rack may fail between any two steps of a wave", "[maintenance]")
{
    for (int failAt = 0; failAt < 40; ++failAt) {
        INFO("fails before tick " << failAt);
        SimulatedSite site(4);
        startWave(site);
        auto [ended, isWithinBudget] = site.runWave("v", 400, [&](int i) {
            if (i == failAt) {
                site.failRack("r" + std::to_string(failAt % 4), 20);
            }
        });
        CHECK(ended);
        CHECK(isWithinBudget);
        CHECK(waveIn(site).completed.size() == 16);
        site.runTicks(25); // The wave may end before the failed rack returns.
        CHECK(allServe(site));
    }
}

// Guards against a new leader repeating or skipping a command whose result the previous leader never
// received.
TEST_CASE("The leader may change between any two steps of a wave", "[maintenance]")
{
    for (int failAtCommand = 1; failAtCommand < 60; ++failAtCommand) {
        for (bool isApplied : { false, true }) {
            INFO("fails at command " << failAtCommand << (isApplied ? ", applied" : ", not applied"));
            SimulatedSite site(2);
            startWave(site);
            site.store.commandsUntilFailure = failAtCommand;
            site.store.appliesFailedCommand = isApplied;
            auto [ended, isWithinBudget] = site.runWave("v", 400, [&](int) {
                if (site.store.commandsUntilFailure == 0) {
                    site.changeLeader();
                }
            });
            CHECK(ended);
            CHECK(isWithinBudget);
            CHECK(waveIn(site).completed.size() == 8);
            for (const auto& [name, machine] : site.machines) {
                CHECK(machine.reboots == 1);
            }
        }
    }
}

TEST_CASE("An instance that never returns is abandoned and the wave ends", "[maintenance]")
{
    SimulatedSite site(2);
    site.machines["w103"].returnsAfterReboot = false;
    startWave(site);
    auto [ended, isWithinBudget] = site.runWave("v", 400);
    CHECK(ended);
    CHECK(isWithinBudget);
    CHECK(waveIn(site).abandoned == std::set<std::string> { "w103" });
    CHECK(waveIn(site).completed.size() == 7);
    CHECK(site.instance("w103").phase == InstancePhase::Failed);
    site.machines["w103"].returnsAfterReboot = true;
    site.runTicks(6);
    CHECK(site.instance("w103").phase == InstancePhase::Serving);
}

TEST_CASE("A drain that never ends is abandoned and the instance serves again", "[maintenance]")
{
    SimulatedSite site(1);
    site.machines["w102"].ticksUntilIdle = 100000;
    startWave(site);
    auto [ended, isWithinBudget] = site.runWave("v", 300, [&](int) {
        auto& machine = site.machines["w102"];
        machine.ticksUntilIdle = 100000;
    });
    CHECK(ended);
    CHECK(isWithinBudget);
    CHECK(waveIn(site).abandoned == std::set<std::string> { "w102" });
    site.tick();
    CHECK(site.instance("w102").phase == InstancePhase::Serving);
    CHECK_FALSE(site.machines["w102"].announcement.draining);
}

// Guards against exceeding the disruption budget because of a faulty planner.
TEST_CASE("A planner that grants everything can't exceed the budget", "[maintenance]")
{
    SimulatedSite site(4);
    startWave(site);
    auto grantAll = [](const WaveInput& input, Millis, const MaintenanceSettings&) {
        WaveDecision decision;
        for (const auto& name : input.pending) {
            decision.grants.push_back({ name, "dc1", "" });
        }
        decision.done = input.pending.empty();
        return decision;
    };
    site.controller = std::make_unique<MaintenanceController>(
        site.settings, site.store, site.state, [] { return std::set<std::string> { "dc1" }; }, grantAll);
    auto [ended, isWithinBudget] = site.runWave("v", 300, [&](int i) {
        if (i == 3) {
            site.failRack("r2", 30);
        }
    });
    CHECK(ended);
    CHECK(isWithinBudget);
}

// Guards against a jump of the leader's wall clock making every reboot look overdue.
TEST_CASE("A step of the wall clock abandons nothing", "[maintenance]")
{
    SimulatedSite site(2);
    startWave(site);
    auto [ended, isWithinBudget] = site.runWave("v", 300, [&](int i) {
        if (i % 5 == 0) {
            site.clock.stepWallClock(Millis { 3600000 });
        }
    });
    CHECK(ended);
    CHECK(isWithinBudget);
    CHECK(waveIn(site).abandoned.empty());
}

TEST_CASE("A paused wave finishes started instances and starts no others", "[maintenance]")
{
    SimulatedSite site(2);
    startWave(site);
    site.tick();
    auto begun = site.state.fleet()->permits->size();
    REQUIRE(begun > 0);
    site.run(command(FleetOperation::PauseWave, "v"));
    site.runTicks(30);
    CHECK(waveIn(site).completed.size() == begun);
    CHECK(site.state.fleet()->permits->empty());
    site.run(command(FleetOperation::ResumeWave, "v"));
    CHECK(site.runWave("v", 300).first);
}

// Guards against a move that interrupts work in progress or exceeds the budget of the old pool.
TEST_CASE("Moved instances drain in their old pool within its budget and are handed over", "[maintenance]")
{
    SimulatedSite site(2);
    for (const auto* name : { "w100", "w101", "w102", "w103", "w104", "w105" }) {
        REQUIRE(site.run(labelCommand(name, "b")).accepted);
    }
    for (int i = 0; i < 60; ++i) {
        site.tick();
        CHECK(site.budget().remaining() >= 0);
        for (const auto& [name, machine] : site.machines) {
            bool isHandedOver = site.instance(name).pool == "b";
            CHECK((!isHandedOver || machine.announcement.labels.at("pool") == "b"));
        }
    }
    CHECK(site.instance("w105").pool == "b");
    CHECK(allServe(site));
    CHECK(site.machines["w100"].reboots == 0);
}

TEST_CASE("Only the leader acts", "[maintenance]")
{
    SimulatedSite site(1);
    startWave(site);
    site.store.role = ConsensusRole::Follower;
    auto revision = site.state.revision();
    site.tick();
    site.tick();
    CHECK(site.state.revision() == revision);
}

// Guards against a second reboot instruction from an entry instance that hasn't applied the first reboot yet.
TEST_CASE("Instructions follow the phase, the boot epoch and the age of the state", "[maintenance]")
{
    StateFixture f;
    f.run(applyCommand({ "a" }));
    f.run(registerCommand("w1", "a"));
    f.run(registerCommand("w2", "a"));
    Announcement upstream;
    upstream.name = "w1";
    upstream.bootEpoch = 1;
    CHECK(instructionFor(*f.state.fleet(), upstream, true).instruction == "serve");
    f.run(startWaveCommand("v", "pool=a"));
    f.run(grantCommand("v", { "w1" }, f.state.revision()));
    auto reply = instructionFor(*f.state.fleet(), upstream, true);
    CHECK(reply.instruction == "drain");
    CHECK(reply.permit == f.state.revision());
    CHECK(instructionFor(*f.state.fleet(), upstream, false).instruction == "serve");
    upstream.draining = true;
    CHECK(instructionFor(*f.state.fleet(), upstream, false).instruction == "drain");
    f.run(commandWithEpoch(FleetOperation::InstanceDrained, "w1"));
    f.run(command(FleetOperation::InstanceRebooting, "w1"));
    CHECK(instructionFor(*f.state.fleet(), upstream, true).instruction == "reboot");
    CHECK(instructionFor(*f.state.fleet(), upstream, false).instruction == "drain");
    upstream.bootEpoch = 2;
    CHECK(instructionFor(*f.state.fleet(), upstream, true).instruction == "serve");
}

TEST_CASE("Workers get tasks to start and stop, and their reports end jobs", "[maintenance]")
{
    SimulatedSite site(1);
    auto submit = command(FleetOperation::SubmitJob);
    submit.job.id = "j1";
    submit.job.team = "t";
    submit.job.pool = "a";
    site.run(submit);
    auto place = command(FleetOperation::PlaceJobs);
    place.placements = { { "j1", "w100", false, false, "" } };
    site.run(place);
    auto fence = site.state.fleet()->jobs->at("j1").fence;
    auto worker = site.machines["w100"].announcement;
    worker.kind = UpstreamKind::Worker;
    auto tasks = site.instructions.answer(worker, { { "old", "running", 1, {} } }, true).tasks;
    REQUIRE(tasks.size() == 2);
    CHECK((tasks[0].action == "start" && tasks[0].id == "j1" && tasks[0].fence == fence));
    CHECK((tasks[1].action == "stop" && tasks[1].id == "old"));
    site.observer.recordTaskReports({ { "j1", "running", fence, {} } });
    site.tick();
    CHECK(site.state.fleet()->jobs->at("j1").phase == JobPhase::Running);
    CHECK(site.instructions.answer(worker, { { "j1", "running", fence, {} } }, true).tasks.empty());
    site.observer.recordTaskReports({ { "j1", "done", fence, {} } });
    site.tick();
    CHECK(site.state.fleet()->jobs->at("j1").phase == JobPhase::Done);
}

TEST_CASE("No commands are submitted while nothing changes", "[maintenance]")
{
    SimulatedSite site(2);
    site.tick();
    auto submitted = site.store.ids.size();
    site.runTicks(10);
    CHECK(site.store.ids.size() == submitted);
    site.failRack("r1", 3);
    site.runTicks(10);
    CHECK(site.store.ids.size() == submitted + 8);
}
