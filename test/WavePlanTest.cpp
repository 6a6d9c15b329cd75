#include "celeryline/decisions/WavePlan.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace celeryline;
using Catch::Matchers::Contains;

namespace {

MaintenanceSettings settingsFor(double bufferCost, double rollOutTime)
{
    MaintenanceSettings settings;
    settings.bufferCostWeight = bufferCost;
    settings.rollOutTimeWeight = rollOutTime;
    settings.drainTimeout = Millis { 60000 };
    settings.rebootTimeout = Millis { 120000 };
    settings.permitLease = Millis { 30000 };
    return settings;
}

WaveInput waveOver(int instances, int dataCentres, int services)
{
    WaveInput input;
    for (int i = 0; i < instances; ++i) {
        FleetInstance instance;
        instance.name = "i" + std::to_string(i);
        instance.dataCentre = "dc" + std::to_string(i / 4 % dataCentres);
        instance.rack = "r" + std::to_string(i / 4);
        instance.service = "s" + std::to_string(i % services);
        input.fleet.instances.push_back(instance);
        input.fleet.reachableDataCentres.insert(instance.dataCentre);
        input.pending.insert(instance.name);
    }
    return input;
}

/// Simulates one time step of an instance: drains and reboots complete, failures and repairs happen.
void advanceInstance(FleetInstance& instance, WaveInput& input, std::mt19937& random, Millis now)
{
    auto to = [&](InstancePhase phase) {
        instance.phase = phase;
        instance.phaseSince = now;
    };
    auto roll = random() % 100;
    if (instance.phase == InstancePhase::Draining && roll < 60) {
        to(InstancePhase::Rebooting);
    } else if (instance.phase == InstancePhase::Rebooting && roll < 50) {
        to(InstancePhase::Serving);
        instance.leaseLive = true;
        if (input.pending.erase(instance.name) > 0) {
            input.completed.insert(instance.name);
        }
    } else if (instance.phase == InstancePhase::Failed && roll < 30) {
        to(InstancePhase::Serving);
    } else if (roll < 1) {
        to(InstancePhase::Failed);
    }
}

/// Runs a wave with random failures and a network partition. Checks at each grant that the number of
/// instances that are down fits the budget.
/// @return whether the wave completed within the given number of steps.
bool runWave(unsigned seed, int instances, int dataCentres, int services, int steps)
{
    std::mt19937 random(seed);
    auto settings = settingsFor(random() % 2 == 0 ? 0 : 1, 1);
    auto input = waveOver(instances, dataCentres, services);
    auto allDataCentres = input.fleet.reachableDataCentres;
    for (int step = 0; step < steps; ++step) {
        Millis now { step * std::int64_t { 20000 } };
        input.fleet.reachableDataCentres = allDataCentres;
        if (step > 5 && step < 15) {
            input.fleet.reachableDataCentres.erase("dc0");
        }
        auto rack = step == 3 ? "r" + std::to_string(random() % 4) : "";
        for (auto& instance : input.fleet.instances) {
            advanceInstance(instance, input, random, now);
            if (instance.rack == rack) {
                instance.phase = InstancePhase::Failed;
                instance.phaseSince = now;
            }
        }
        auto decision = planWave(input, now, settings);
        std::map<std::string, int> down;
        std::map<std::string, int> total;
        std::map<std::string, std::map<std::string, int>> totalByDataCentre;
        std::map<std::string, std::map<std::string, int>> stopped;
        std::set<std::string> granted;
        for (const auto& grant : decision.grants) {
            granted.insert(grant.instance);
            RC_ASSERT(input.fleet.reachableDataCentres.count(grant.dataCentre) == 1);
        }
        auto allAbandoned = input.abandoned; // They count as failed instead of as planned stops.
        for (const auto& abandon : decision.abandons) {
            allAbandoned.insert(abandon.instance);
        }
        for (auto& instance : input.fleet.instances) {
            ++total[instance.service];
            ++totalByDataCentre[instance.service][instance.dataCentre];
            bool isDown = instance.phase != InstancePhase::Serving || granted.count(instance.name) > 0
                || input.fleet.reachableDataCentres.count(instance.dataCentre) == 0;
            down[instance.service] += isDown ? 1 : 0;
            if (granted.count(instance.name) > 0) {
                instance.phase = InstancePhase::Draining;
                instance.phaseSince = now;
            }
            bool isStopped
                = instance.phase == InstancePhase::Draining || instance.phase == InstancePhase::Rebooting;
            bool planned = isStopped && allAbandoned.count(instance.name) == 0;
            stopped[instance.service][instance.dataCentre] += planned ? 1 : 0;
        }
        for (const auto& grant : decision.grants) {
            auto index = std::stoi(grant.instance.substr(1));
            const auto& service = input.fleet.instances[static_cast<std::size_t>(index)].service;
            RC_ASSERT(down[service] <= total[service] / 4);
            auto allowed = total[service] / 4;
            auto share = (allowed * totalByDataCentre[service][grant.dataCentre] + total[service] - 1)
                / total[service];
            RC_ASSERT(stopped[service][grant.dataCentre] <= share);
        }
        for (const auto& abandon : decision.abandons) {
            input.pending.erase(abandon.instance);
            input.abandoned.insert(abandon.instance);
        }
        if (decision.done) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("A wave never exceeds a budget or a data centre's share under failures, and ends", "[WavePlan]")
{
    REQUIRE(rc::check("budget holds", [] {
        auto seed = *rc::gen::arbitrary<unsigned>();
        auto dataCentres = *rc::gen::inRange(1, 5);
        auto services = *rc::gen::inRange(1, 5);
        RC_ASSERT(runWave(seed, 48, dataCentres, services, 600));
    }));
}

TEST_CASE("A halted wave names the exhausted budget and resumes by itself", "[WavePlan]")
{
    auto settings = settingsFor(0, 1);
    auto input = waveOver(8, 2, 1);
    input.fleet.instances[0].phase = InstancePhase::Failed;
    input.fleet.instances[1].leaseLive = false;
    auto halted = planWave(input, Millis { 0 }, settings);
    CHECK(halted.grants.empty());
    CHECK(halted.halted);
    CHECK_THAT(halted.haltReason, Contains("2 of 8 down (1 failed, 1 with a lapsed lease), budget allows 2"));
    input.fleet.instances[1].leaseLive = true;
    CHECK(planWave(input, Millis { 0 }, settings).grants.size() == 1);
}

TEST_CASE("A wave abandons an instance that does not come back but still counts it as down", "[WavePlan]")
{
    auto settings = settingsFor(0, 1);
    auto input = waveOver(8, 2, 1);
    input.fleet.instances[3].phase = InstancePhase::Rebooting;
    auto early = planWave(input, Millis { 119999 }, settings);
    CHECK(early.abandons.empty());
    auto late = planWave(input, Millis { 120000 }, settings);
    REQUIRE(late.abandons.size() == 1);
    CHECK(late.abandons[0].instance == "i3");
    CHECK(late.grants.size() == 1);
}

TEST_CASE("An abandoned instance doesn't hold the share of its data centre", "[WavePlan]")
{
    auto input = waveOver(8, 2, 1);
    input.fleet.instances[3].phase = InstancePhase::Rebooting;
    input.abandoned.insert("i3");
    input.pending = { "i0", "i1", "i2" };
    CHECK(planWave(input, Millis { 130000 }, settingsFor(0, 1)).grants.size() == 1);
    input.abandoned.clear();
    CHECK(planWave(input, Millis { 130000 }, settingsFor(0, 1)).grants.empty());
}

TEST_CASE("A wave leaves the started rack before it opens another one", "[WavePlan]")
{
    auto input = waveOver(16, 1, 1);
    input.fleet.instances[9].phase = InstancePhase::Rebooting;
    auto decision = planWave(input, Millis { 0 }, settingsFor(0, 1));
    REQUIRE(decision.grants.size() == 3);
    for (const auto& grant : decision.grants) {
        CHECK((grant.instance == "i8" || grant.instance == "i10" || grant.instance == "i11"));
    }
}

TEST_CASE("An unexpired permit counts as down and an expired one does not", "[WavePlan]")
{
    auto input = waveOver(4, 1, 1);
    input.fleet.permits.push_back({ "i0", Millis { 1000 } });
    CHECK_FALSE(mayStop("i1", input.fleet, Millis { 999 }).allowed);
    CHECK(mayStop("i1", input.fleet, Millis { 1000 }).allowed);
    CHECK(mayStop("i0", input.fleet, Millis { 0 }).allowed);
    CHECK_FALSE(mayStop("absent", input.fleet, Millis { 0 }).allowed);
}

TEST_CASE("The objective weighs the width of a wave against its reserve", "[WavePlan]")
{
    auto input = waveOver(40, 4, 1);
    CHECK(planWave(input, Millis { 0 }, settingsFor(0, 1)).grants.size() == 10);
    CHECK(planWave(input, Millis { 0 }, settingsFor(1, 0)).grants.size() == 5);
}
