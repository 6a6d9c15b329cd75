#include "FleetScenario.h"

#include "celeryline/decisions/MovePlan.h"
#include "celeryline/decisions/SlotLending.h"
#include "celeryline/decisions/WavePlan.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>
#include <random>

namespace celeryline::bench {

namespace {

const int slotsPerInstance = 8;
const int warmUpSeconds = 600; // The reserve is estimated from the load of this period.
const int loadSeconds = 2400;
const int rackFailsAt = warmUpSeconds + 150; // While the wave is in progress under every policy.
const int rackRepairedAt = rackFailsAt + 300;
const int maxSeconds = 100000;
const int planInterval = 5;

/// A request takes one second, so a service needs as many slots as requests arrive per second.
struct FakeService {
    double meanRate = 0;
    double declaredFactor = 1; ///< Declared over actual demand, from 0.1 to 10.
    int waiting = 0; ///< Arrived one second ago; they miss their deadline after another second.
    std::int64_t arrived = 0;
    std::int64_t inTime = 0;
};

/// Simulated state of an instance that is hidden from the decisions.
struct FakeInstance {
    int service = 0;
    bool neverReturns = false; ///< 2% of the instances don't come back from their reboot.
    int phaseEndsAt = 0; ///< End of its drain or reboot.
};

class FleetRun {
public:
    explicit FleetRun(const FleetScenario& scenario);
    FleetResult run();

private:
    void build();
    void rotatePeaks();
    void changePhases();
    void stop(std::size_t index);
    void planWaveStep();
    void serve();
    void learnReserve();
    int downOf(int service) const { return m_down[static_cast<std::size_t>(service)]; }
    int allowedOf(int service) const
    {
        return allowedDownOf(m_total[static_cast<std::size_t>(service)], StopBudget {});
    }
    void countUnavailable();

    const FleetScenario& m_scenario;
    std::mt19937 m_random;
    WaveInput m_wave;
    std::vector<FakeInstance> m_fakeInstances;
    std::vector<FakeService> m_services;
    std::vector<int> m_total;
    std::vector<int> m_down;
    std::vector<int> m_peak; ///< For each group of five services, the one at its peak.
    std::vector<ExcessSample> m_history;
    std::vector<PoolLoad> m_pools;
    std::string m_failedRack;
    int m_now = 0;
    int m_reserveSlots = 0;
    double m_idleSlotSeconds = 0;
    FleetResult m_result;
};

FleetRun::FleetRun(const FleetScenario& scenario)
    : m_scenario(scenario)
    , m_random(scenario.seed)
{
    build();
}

void FleetRun::build()
{
    auto services = static_cast<std::size_t>(m_scenario.services);
    m_services.resize(services);
    m_total.resize(services);
    m_down.resize(services);
    m_pools.resize(services);
    m_peak.resize((services + 4) / 5);
    std::uniform_real_distribution<double> exponent(-1, 1);
    for (int i = 0; i < m_scenario.instances; ++i) {
        FleetInstance instance;
        instance.name = "i" + std::to_string(i);
        instance.dataCentre = "dc" + std::to_string(i / 4 % m_scenario.dataCentres);
        instance.rack = "r" + std::to_string(i / 4);
        auto service = i % m_scenario.services;
        instance.service = "s" + std::to_string(service);
        ++m_total[static_cast<std::size_t>(service)];
        m_wave.pending.insert(instance.name);
        m_wave.fleet.reachableDataCentres.insert(instance.dataCentre);
        m_wave.fleet.instances.push_back(instance);
        m_fakeInstances.push_back({ service, m_random() % 50 == 0, 0 });
    }
    for (std::size_t i = 0; i < services; ++i) {
        // The peak of five times the mean is 1.5 times the capacity of the pool.
        m_services[i].meanRate = 0.3 * slotsPerInstance * m_total[i];
        m_services[i].declaredFactor = std::pow(10, exponent(m_random));
    }
    m_failedRack = "r" + std::to_string(m_random() % static_cast<unsigned>((m_scenario.instances + 3) / 4));
}

void FleetRun::rotatePeaks()
{
    for (std::size_t group = 0; group < m_peak.size(); ++group) {
        if ((m_now + static_cast<int>(group) * 7) % 20 == 0) { // Groups rotate at different times.
            m_peak[group] = (m_peak[group] + 1 + static_cast<int>(m_random() % 4)) % 5;
        }
    }
}

void FleetRun::changePhases()
{
    Millis now { m_now * std::int64_t { 1000 } };
    for (std::size_t i = 0; i < m_fakeInstances.size(); ++i) {
        auto& instance = m_wave.fleet.instances[i];
        auto& fake = m_fakeInstances[i];
        if (m_now == rackFailsAt && instance.rack == m_failedRack) {
            instance.phase = InstancePhase::Failed;
            instance.phaseSince = now;
            fake.phaseEndsAt = rackRepairedAt;
        }
        if (instance.phase == InstancePhase::Serving || m_now < fake.phaseEndsAt) {
            continue;
        }
        bool reboots = instance.phase == InstancePhase::Draining;
        if (instance.phase == InstancePhase::Rebooting) {
            m_wave.pending.erase(instance.name);
            m_wave.completed.insert(instance.name);
        }
        instance.phase = reboots ? InstancePhase::Rebooting : InstancePhase::Serving;
        instance.phaseSince = now;
        if (reboots) {
            fake.phaseEndsAt = m_now + 60 + static_cast<int>(m_random() % 31);
            fake.phaseEndsAt += fake.neverReturns ? 900 : 0; // Time until an operator repairs it.
        }
    }
    countUnavailable();
}

void FleetRun::countUnavailable()
{
    std::fill(m_down.begin(), m_down.end(), 0);
    for (std::size_t i = 0; i < m_fakeInstances.size(); ++i) {
        bool down = m_wave.fleet.instances[i].phase != InstancePhase::Serving;
        m_down[static_cast<std::size_t>(m_fakeInstances[i].service)] += down ? 1 : 0;
    }
}

void FleetRun::stop(std::size_t index)
{
    auto& instance = m_wave.fleet.instances[index];
    auto service = m_fakeInstances[index].service;
    instance.phase = InstancePhase::Draining;
    instance.phaseSince = Millis { m_now * std::int64_t { 1000 } };
    m_fakeInstances[index].phaseEndsAt = m_now + 2 + static_cast<int>(m_random() % 9);
    ++m_down[static_cast<std::size_t>(service)];
    m_result.violations += downOf(service) > allowedOf(service) ? 1 : 0;
}

void FleetRun::planWaveStep()
{
    Millis now { m_now * std::int64_t { 1000 } };
    if (m_scenario.policy == Policy::Decisions) {
        auto decision = planWave(m_wave, now, m_scenario.settings);
        for (const auto& step : decision.abandons) {
            m_wave.pending.erase(step.instance);
            m_wave.abandoned.insert(step.instance);
        }
        for (const auto& step : decision.grants) {
            stop(static_cast<std::size_t>(std::stoi(step.instance.substr(1))));
        }
        return;
    }
    // The baselines see the true state, and apply the same budget and reboot timeout.
    std::string openRack;
    for (std::size_t i = 0; i < m_fakeInstances.size(); ++i) {
        const auto& instance = m_wave.fleet.instances[i];
        bool pending = m_wave.pending.count(instance.name) > 0;
        bool serving = instance.phase == InstancePhase::Serving;
        if (pending && !serving && now - instance.phaseSince >= m_scenario.settings.rebootTimeout) {
            m_wave.pending.erase(instance.name);
            m_wave.abandoned.insert(instance.name);
            pending = false;
        }
        if (!pending) {
            continue;
        }
        if (m_scenario.policy == Policy::RackAtATime) {
            openRack = openRack.empty() ? instance.rack : openRack;
            if (instance.rack != openRack) {
                break; // Instances are ordered by rack.
            }
        }
        auto service = m_fakeInstances[i].service;
        int width = m_scenario.policy == Policy::StaticPools
            ? std::min(allowedOf(service), std::max(1, m_scenario.reserveInstances))
            : allowedOf(service);
        if (serving && downOf(service) < width) {
            stop(i);
        }
    }
}

void FleetRun::learnReserve()
{
    auto decision = planReserve(m_history, m_scenario.settings);
    m_reserveSlots = (decision.slots + slotsPerInstance - 1) / slotsPerInstance * slotsPerInstance;
}

void FleetRun::serve()
{
    auto count = m_services.size();
    std::vector<int> demand(count);
    std::vector<int> own(count);
    ExcessSample excess(count);
    for (std::size_t i = 0; i < count; ++i) {
        auto& service = m_services[i];
        bool atPeak = m_peak[i / 5] == static_cast<int>(i % 5);
        std::poisson_distribution<int> arrivals(service.meanRate * (atPeak ? 5 : 0.05));
        int arrived = arrivals(m_random);
        service.arrived += arrived;
        own[i] = (m_total[i] - m_down[i]) * slotsPerInstance;
        demand[i] = service.waiting + arrived;
        // The wave may use the whole budget, so the reserve covers peaks beyond the remaining capacity.
        auto least = (m_total[i] - allowedOf(static_cast<int>(i))
                         + waveReserve(allowedOf(static_cast<int>(i)), m_scenario.settings))
            * slotsPerInstance;
        excess[i] = std::max(0, arrived - least);
    }
    bool measured = m_now >= warmUpSeconds;
    if (!measured) {
        m_history.push_back(excess);
    }
    std::vector<int> lent(count);
    int reserve = 0;
    if (m_scenario.policy == Policy::Decisions) {
        reserve = measured ? m_reserveSlots : std::accumulate(own.begin(), own.end(), 0);
        LendingInput input { reserve, 0, {} };
        for (std::size_t i = 0; i < count; ++i) {
            input.queues.push_back({ "", own[i], 0, 0, demand[i] });
        }
        auto decision = lendSlots(input);
        for (std::size_t i = 0; i < count; ++i) {
            lent[i] = decision.loans[i].startNow;
        }
    } else if (m_scenario.policy == Policy::GreedyFirstFit) {
        reserve = m_scenario.reserveInstances * slotsPerInstance;
        int left = reserve;
        for (std::size_t i = 0; i < count; ++i) {
            auto declared = static_cast<int>(m_services[i].declaredFactor * demand[i]) - own[i];
            lent[i] = std::min(left, std::max(0, declared));
            left -= lent[i];
        }
    } else {
        reserve = m_scenario.reserveInstances * slotsPerInstance * m_scenario.services;
        std::fill(lent.begin(), lent.end(), m_scenario.reserveInstances * slotsPerInstance);
    }
    int busy = 0;
    for (std::size_t i = 0; i < count; ++i) {
        auto& service = m_services[i];
        int served = std::min(demand[i], own[i] + lent[i]);
        int left = demand[i] - served;
        busy += std::max(0, std::min(lent[i], served - own[i]));
        // Requests that have waited for a second are served first; those left over miss their deadline.
        int late = std::max(0, service.waiting - served);
        service.waiting = left - late;
        service.inTime += served;
        m_pools[i].needs.push_back(
            { Millis { m_now * std::int64_t { 1000 } }, static_cast<double>(demand[i]) / slotsPerInstance });
    }
    if (measured) {
        m_idleSlotSeconds += reserve - busy;
    } else {
        for (auto& service : m_services) {
            service.arrived = service.inTime = 0;
        }
    }
}

FleetResult FleetRun::run()
{
    auto decisionTime = std::chrono::steady_clock::duration::zero();
    auto timed = [&](auto&& decide) {
        auto before = std::chrono::steady_clock::now();
        decide();
        decisionTime += std::chrono::steady_clock::now() - before;
    };
    for (m_now = 0; m_now < maxSeconds && (m_now < loadSeconds || !m_wave.pending.empty()); ++m_now) {
        changePhases();
        if (m_now == warmUpSeconds && m_scenario.policy == Policy::Decisions) {
            timed([&] { learnReserve(); });
        }
        if (m_now >= warmUpSeconds && m_now % planInterval == 0 && !m_wave.pending.empty()) {
            timed([&] { planWaveStep(); });
        }
        if (m_wave.pending.empty() && m_result.rollOutSeconds == 0) {
            m_result.rollOutSeconds = m_now - warmUpSeconds;
        }
        if (m_now < loadSeconds) {
            rotatePeaks();
            serve();
        }
        if (m_scenario.policy == Policy::Decisions && m_now % 60 == 0 && m_now < loadSeconds) {
            for (std::size_t i = 0; i < m_pools.size(); ++i) {
                m_pools[i].pool = "s" + std::to_string(i);
                m_pools[i].instances = m_total[i];
                m_pools[i].stoppable = allowedOf(static_cast<int>(i)) - m_down[i];
            }
            timed([&] {
                for (const auto& move :
                    planMoves(m_pools, Millis { m_now * std::int64_t { 1000 } }, m_scenario.settings).moves) {
                    m_result.moves += move.instances;
                }
            });
        }
    }
    if (m_result.rollOutSeconds == 0) {
        m_result.rollOutSeconds = m_now - warmUpSeconds;
    }
    std::int64_t arrived = 0;
    std::int64_t inTime = 0;
    for (const auto& service : m_services) {
        arrived += service.arrived;
        inTime += service.inTime;
        auto share = static_cast<double>(service.inTime)
            / static_cast<double>(std::max<std::int64_t>(1, service.arrived));
        m_result.worstServiceShare = std::min(m_result.worstServiceShare, std::min(1.0, share));
    }
    m_result.inTimeShare = static_cast<double>(inTime) / static_cast<double>(arrived);
    m_result.bufferCost = m_idleSlotSeconds / slotsPerInstance / (loadSeconds - warmUpSeconds);
    m_result.abandoned = static_cast<int>(m_wave.abandoned.size());
    m_result.decisionMillis = std::chrono::duration<double, std::milli>(decisionTime).count();
    return m_result;
}

} // namespace

FleetResult runFleet(const FleetScenario& scenario) { return FleetRun(scenario).run(); }

} // namespace celeryline::bench
