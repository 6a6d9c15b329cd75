/// @file
/// Simulated machines that announce themselves and follow instructions, on a manual clock.
#pragma once

#include "FleetFixture.h"
#include "LocalStore.h"
#include "celeryline/base/Clock.h"
#include "celeryline/decisions/InstructionResponder.h"
#include "celeryline/fleet/PoolMembership.h"
#include "celeryline/operators/MaintenanceController.h"
#include "celeryline/operators/UpstreamObserver.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace celeryline::test {

/// A simulated machine.
struct Machine {
    Announcement announcement;
    bool isUp = true;
    bool returnsAfterReboot = true; ///< Whether it comes back after a reboot.
    int ticksUntilBoot = 0;
    int ticksUntilIdle = 2; ///< How long work in progress lasts after the drain instruction.
    int reboots = 0;
};

/// Simulates a data centre with machines, one entry instance and a MaintenanceController.
class SimulatedSite : public StateFixture {
public:
    static constexpr Millis tickLength { 100 };

    /// @param racks number of racks; each has four machines, all in pool "a".
    explicit SimulatedSite(int racks)
    {
        settings.drainTimeout = Millis { 5000 };
        settings.rebootTimeout = Millis { 5000 };
        settings.permitLease = Millis { 3000 };
        settings.rollOutTimeWeight = 1;
        run(applyCommand({ "a", "b" }));
        for (int i = 0; i < racks * 4; ++i) {
            Machine machine;
            auto& announcement = machine.announcement;
            announcement.name = "w" + std::to_string(100 + i);
            announcement.dataCentre = "dc1";
            announcement.rack = "r" + std::to_string(i / 4);
            announcement.labels = { { "pool", "a" }, { "service", "a" } };
            announcement.bootEpoch = 1;
            machines[announcement.name] = machine;
        }
        changeLeader();
        tick();
    }

    /// Replaces the controller with a new one, as after a change of leader.
    void changeLeader()
    {
        controller = std::make_unique<MaintenanceController>(
            settings, store, state, [] { return std::set<std::string> { "dc1" }; });
    }

    /// Stops all machines of a rack for a number of ticks. They return with a new boot epoch.
    void failRack(const std::string& rack, int ticks)
    {
        for (auto& [name, machine] : machines) {
            if (machine.announcement.rack == rack) {
                machine.isUp = false;
                machine.ticksUntilBoot = ticks;
            }
        }
    }

    /// Advances the clock by one tick: machines announce, then the observer and the controller run one step.
    void tick()
    {
        clock.advance(tickLength);
        store.now = clock.wallTime();
        UpstreamSnapshot snapshot;
        snapshot.liveInstances = { "entry-1" };
        for (auto& [name, machine] : machines) {
            advance(machine);
            if (machine.isUp) {
                snapshot.upstreams.push_back(machine.announcement);
            }
        }
        upstreams.snapshot = std::make_shared<const UpstreamSnapshot>(snapshot);
        observer.step(clock.now(), true);
        controller->step(clock.now());
    }

    void runTicks(int count)
    {
        for (int i = 0; i < count; ++i) {
            tick();
        }
    }

    /// @return the disruption budget of service "a".
    ServiceBudget budget() const
    {
        auto fleet = state.fleet();
        return budgetOf(*fleet->pools, *fleet->instances, *fleet->permits, fleet->services->at("a"));
    }

    /// Runs until a wave ends.
    /// @param beforeTick called with the number of each tick before it.
    /// @return whether the wave ended, and whether all grants stayed within the budget.
    std::pair<bool, bool> runWave(
        const std::string& wave, int maxTicks, const std::function<void(int)>& beforeTick = [](int) {})
    {
        bool isWithinBudget = true;
        for (int i = 0; i < maxTicks; ++i) {
            beforeTick(i);
            auto permits = state.fleet()->permits;
            tick();
            bool isGranted = false;
            for (const auto& [name, permit] : *state.fleet()->permits) {
                auto old = permits->find(name);
                isGranted = isGranted || old == permits->end() || old->second.revision != permit.revision;
            }
            isWithinBudget = isWithinBudget && (!isGranted || budget().remaining() >= 0);
            if (state.fleet()->waves->at(wave).state == WaveState::Done) {
                return { true, isWithinBudget };
            }
        }
        return { false, isWithinBudget };
    }

    MaintenanceSettings settings;
    ManualClock clock;
    LocalStore store { state };
    FakeUpstreamView upstreams;
    std::map<std::string, Machine> machines;
    InstructionResponder instructions { state };
    UpstreamObserver observer { { "entry-1", "dc1" }, store, state, upstreams };
    std::unique_ptr<MaintenanceController> controller;

private:
    void advance(Machine& machine)
    {
        auto& announcement = machine.announcement;
        if (!machine.isUp) {
            if (machine.returnsAfterReboot && --machine.ticksUntilBoot <= 0) {
                machine.isUp = true;
                ++announcement.bootEpoch;
                announcement.draining = false;
            }
            return;
        }
        auto reply = instructions.answer(announcement, {}, true);
        if (reply.instruction == "reboot") {
            ++machine.reboots;
            machine.isUp = false;
            machine.ticksUntilBoot = 4;
            return;
        }
        bool wasDraining = announcement.draining;
        announcement.draining = reply.instruction == "drain";
        if (!announcement.draining) {
            announcement.usage.cpuMilli = 1000;
            machine.ticksUntilIdle = 2;
        } else if (wasDraining && --machine.ticksUntilIdle <= 0) {
            announcement.usage.cpuMilli = 0;
        }
        announcement.labels = labelsFor(*state.fleet(), announcement);
    }
};

} // namespace celeryline::test
