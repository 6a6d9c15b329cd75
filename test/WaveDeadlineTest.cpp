// Waves over machines with long-running tasks, which can be recalled only a few at a time.
#include "JobKit.h"
#include "ProgressSimulation.h"

#include "celeryline/jobs/StartPlan.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr int pools = 2;
constexpr int machinesPerPool = 20;
constexpr std::int64_t waveAt = 8000;
constexpr std::int64_t deadlineMs = 25000;
constexpr std::ptrdiff_t maxAtOnce = 8;
constexpr std::uint32_t maxUnavailable = 2;

/// CELERYLINE_WAVE_SEEDS overrides the number of seeds, for longer manual runs.
std::uint64_t seedCount()
{
    const char* text = std::getenv("CELERYLINE_WAVE_SEEDS");
    return text == nullptr ? 6 : std::strtoull(text, nullptr, 10);
}

/// Two pools under a steady load, each with a job of 24 long-running tasks, and a wave over most machines.
class WaveScenario {
public:
    explicit WaveScenario(std::uint64_t seed)
        : m_simulation(seed)
        , m_random(seed)
    {
        for (int pool = 0; pool < pools; ++pool) {
            m_simulation.addPool(poolName(pool));
            for (int i = 0; i < machinesPerPool; ++i)
                m_simulation.addMachine(poolName(pool), { 32000, 128000, 0 });
        }
        m_simulation.start();
    }

    ProgressSimulation& simulation() { return m_simulation; }

    /// @return the time from the start of the wave until its last machine is done; 0 if that is too long.
    std::int64_t timeOfWave()
    {
        bool isStarted = false;
        while (m_simulation.now() < waveAt + 2 * deadlineMs) {
            if (m_simulation.now() == 1500)
                submitLongRunning();
            if (m_simulation.now() == waveAt)
                startWave();
            submitJobs();
            m_simulation.step();
            const auto& machines = m_simulation.machines();
            m_mostDown = std::max(m_mostDown,
                std::count_if(machines.begin(), machines.end(),
                    [](const auto& each) { return each.state == MachineState::Upkeep; }));
            if (m_simulation.now() >= waveAt)
                countAway();
            const auto& waves = m_simulation.store().waves();
            isStarted = isStarted || waves.count(1) != 0;
            if (isStarted && waves.at(1).done.size() == waves.at(1).order.machines.size())
                return m_simulation.now() - waveAt;
        }
        return 0;
    }

    /// @return the highest number of machines that were down for upkeep at the same time.
    std::ptrdiff_t mostDown() const { return m_mostDown; }

    /// @return the highest number of tasks of a long-running step without a run during the wave.
    std::uint32_t mostAway() const { return m_mostAway; }

private:
    void countAway()
    {
        for (int pool = 0; pool < pools; ++pool) {
            const auto* job = m_simulation.store().findJob(JobId("lasting" + std::to_string(pool)));
            const auto& step = job->occurrences.at(0)[0];
            auto away = static_cast<std::uint32_t>(step.tasks.size()) - step.active;
            m_mostAway = std::max(m_mostAway, away);
        }
    }

    static std::string poolName(int number) { return "p" + std::to_string(number); }

    void submitLongRunning()
    {
        for (int pool = 0; pool < pools; ++pool) {
            auto step = makeStep(24, 1000, 1000);
            step.isLongRunning = true;
            step.maxPerRunner = 3;
            step.maxUnavailable = maxUnavailable;
            step.estimate = { 400 };
            auto job = makeJob("lasting" + std::to_string(pool), { step });
            job.queue = poolName(pool) + "/work/";
            m_simulation.submit(job);
        }
    }

    void startWave()
    {
        StartWave wave { 1, {}, { deadlineMs }, static_cast<std::uint32_t>(maxAtOnce), {} };
        for (std::size_t i = 0; i < m_simulation.machines().size(); ++i) {
            if (i % 10 != 0)
                wave.machines.push_back(m_simulation.machines()[i].name);
        }
        m_simulation.startWave(wave);
    }

    /// Submits a third of what the pools can run.
    void submitJobs()
    {
        for (int pool = 0; pool < pools; ++pool) {
            if (m_random() % 1000 >= 130)
                continue;
            auto step = makeStep(8, 1500);
            step.estimate = { 700 + static_cast<std::int64_t>(m_random() % 1400) };
            auto job = makeJob("job" + std::to_string(m_jobs++), { step });
            job.queue = poolName(pool) + "/work/";
            m_simulation.submit(job);
        }
    }

    ProgressSimulation m_simulation;
    std::mt19937_64 m_random;
    int m_jobs = 0;
    std::ptrdiff_t m_mostDown = 0;
    std::uint32_t m_mostAway = 0;
};

} // namespace

// Load: as above. A machine of a wave stayed late: recalls were spread over all machines that were being
// drained, which occupied the places of the wave meanwhile, and recalled tasks went to machines whose upkeep
// was still to come. The wave took 20.0 to 25.8 s (seeds 1 to 12); 36 machines, eight at once, need about 12
// s if nothing has to be recalled.
TEST_CASE("A wave over machines with long-running tasks leaves time to its deadline", "[upkeep][random]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        WaveScenario scenario(seed);
        auto time = scenario.timeOfWave();
        INFO("seed " << seed << ", violation " << scenario.simulation().violation());
        CHECK(scenario.simulation().violation().empty());
        CHECK(time > 0);
        CHECK(time <= deadlineMs * 3 / 4);
        CHECK(scenario.mostDown() <= maxAtOnce);
        CHECK(scenario.mostAway() <= maxUnavailable);
    }
}

// Load: a long-running task that is recalled during a wave. Such tasks are packed on few runners, so it went
// to one whose upkeep was still to come, and had to be recalled again.
TEST_CASE("A long-running task starts on a runner that is not due for upkeep", "[upkeep][placement]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    auto step = makeStep(1);
    step.isLongRunning = true;
    store.apply(SubmitJob { makeJob("lasting", { step }), {} }, {});
    auto startsOn = [&](const PlacementHints& hints) {
        CandidateIndex index;
        PlacementCandidate used { { "used", { 1 } }, "pool", {}, { 4000, 8000, 0 } };
        used.longRunning = 2;
        index.set(used);
        index.set({ { "unused", { 1 } }, "pool", {}, { 4000, 8000, 0 } });
        return planStarts(store, index, {}, hints).at(0).incarnation.runner;
    };
    PlacementHints hints;
    REQUIRE(startsOn(hints) == "used");
    hints.dueForUpkeep = { "used" };
    REQUIRE(startsOn(hints) == "unused");
    hints.dueForUpkeep = { "used", "unused" };
    REQUIRE(startsOn(hints) == "used");
}
