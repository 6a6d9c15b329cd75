// Queues that peak in turn, with and without machines that are sent to standby.
#include "JobKit.h"
#include "ProgressSimulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr int pools = 4;
constexpr int machinesPerPool = 14;
constexpr std::int64_t phaseMs = 5000;
constexpr std::int64_t callersUntil = 81000;

/// Callers of four queues, of which one has 4.5 times its mean load and the others a twentieth of it.
class RotatingLoad {
public:
    RotatingLoad(std::uint64_t seed, bool sendsToStandby)
        : m_simulation(seed)
        , m_random(seed)
    {
        m_simulation.sendsToStandby = sendsToStandby;
        for (int i = 0; i < pools; ++i)
            m_simulation.addPool(poolName(i));
        m_simulation.addPool("standby", true);
        for (int i = 0; i < pools; ++i) {
            for (int machine = 0; machine < machinesPerPool; ++machine)
                m_simulation.addMachine(poolName(i), capacity);
        }
        m_simulation.addMachine("standby", capacity);
        m_simulation.start();
    }

    ProgressSimulation& simulation() { return m_simulation; }

    /// @param eachStep called before each step of the simulation.
    void simulate(const std::function<void()>& eachStep = [] {})
    {
        for (int i = 0; i < 50; ++i)
            m_simulation.step();
        for (int i = 0; i < pools; ++i)
            submitLongRunning(i);
        while (m_simulation.now() < callersUntil + 12000) {
            eachStep();
            if (m_simulation.now() < callersUntil)
                request();
            m_simulation.step();
            if (m_simulation.now() % 100 == 0)
                observe();
        }
    }

    std::size_t jobs() const { return m_submittedAt.size(); }
    std::size_t finished() const { return m_ages.size(); }
    /// @return the number of jobs that ended within a time.
    std::ptrdiff_t endedWithin(std::int64_t milliseconds) const
    {
        return std::count_if(
            m_ages.begin(), m_ages.end(), [&](const auto& entry) { return entry.second <= milliseconds; });
    }
    std::int64_t meanAge() const
    {
        std::int64_t sum = 0;
        for (const auto& [job, age] : m_ages)
            sum += age;
        return sum / static_cast<std::int64_t>(std::max<std::size_t>(1, m_ages.size()));
    }
    /// @return machines on, summed up over time, as a fraction of all machines that aren't off at the start.
    double onFraction() const { return m_onSum / static_cast<double>(m_observations); }
    int standbyMoves() const { return m_standbyMoves; }
    std::size_t onStandby() const { return m_onStandby; }

    double burst = 1; ///< Factor of the load.

private:
    static constexpr Resources capacity { 32000, 128000, 0 };

    static std::string poolName(int number) { return "p" + std::to_string(number); }

    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(high - low + 1));
    }

    void submitLongRunning(int pool)
    {
        auto step = makeStep(12, 1000, 1000);
        step.isLongRunning = true;
        step.maxPerRunner = 3;
        step.maxUnavailable = 2;
        step.estimate = { 1000 };
        auto job = makeJob("lasting" + std::to_string(pool), { step });
        job.queue = poolName(pool) + "/work/";
        m_simulation.submit(job);
    }

    void submitJob(int pool)
    {
        std::vector<StepSpec> steps;
        for (auto count = between(1, 5); count > 0; --count) {
            auto step = makeStep(8, between(500, 1500), 1000);
            step.estimate = { between(700, 2100) };
            if (!steps.empty())
                step.after = { static_cast<std::uint32_t>(steps.size() - 1) };
            steps.push_back(step);
        }
        auto job = makeJob("job" + std::to_string(m_submittedAt.size()), steps);
        job.queue = poolName(pool) + "/work/";
        m_submittedAt[job.id] = m_simulation.now();
        m_simulation.submit(job);
    }

    void request()
    {
        auto peak = static_cast<int>(m_simulation.now() / phaseMs % pools);
        for (int i = 0; i < pools; ++i) {
            // The mean is 2 jobs of about 34 core-seconds a second.
            auto jobsPerSecond = 2.0 * burst * (i == peak ? 4.5 : 0.05);
            if (static_cast<double>(m_random() % 100000) < jobsPerSecond * ProgressSimulation::stepMs * 100)
                submitJob(i);
        }
    }

    void observe()
    {
        for (const auto& [job, at] : m_submittedAt) {
            const auto* state = m_simulation.store().findJob(job);
            if (m_ages.count(job) == 0 && state != nullptr && state->phase == JobPhase::Completed)
                m_ages[job] = m_simulation.now() - at;
        }
        m_onStandby = 0;
        for (const auto& machine : m_simulation.machines()) {
            m_onStandby += machine.pool == "standby" ? 1 : 0;
            auto& pool = m_poolOf[machine.name];
            bool isMoved = !pool.empty() && pool != machine.pool;
            m_standbyMoves += isMoved && (pool == "standby" || machine.pool == "standby") ? 1 : 0;
            pool = machine.pool;
        }
        m_onSum
            += static_cast<double>(m_simulation.machines().size() - m_onStandby) / (pools * machinesPerPool);
        ++m_observations;
    }

    ProgressSimulation m_simulation;
    std::mt19937_64 m_random;
    std::map<JobId, std::int64_t> m_submittedAt;
    std::map<JobId, std::int64_t> m_ages; ///< Of completed jobs, from the submission to the end.
    std::map<std::string, std::string> m_poolOf;
    std::size_t m_onStandby = 0;
    double m_onSum = 0;
    int m_observations = 0;
    int m_standbyMoves = 0; ///< Moves to and from the standby pool.
};

/// CELERYLINE_STANDBY_SEEDS overrides the number of seeds, for longer manual runs.
std::uint64_t seedCount()
{
    const char* text = std::getenv("CELERYLINE_STANDBY_SEEDS");
    return text == nullptr ? 3 : std::strtoull(text, nullptr, 10);
}

/// Checks that the jobs of a load are served as well as without machines on standby. Placement differs
/// between the two, so single jobs may end later; the bounds are 2% of the jobs and 3% of the mean.
void checkService(const RotatingLoad& with, const RotatingLoad& without)
{
    auto jobs = static_cast<std::ptrdiff_t>(with.jobs());
    CHECK(with.finished() == with.jobs());
    CHECK(with.endedWithin(6000) >= without.endedWithin(6000) - jobs / 50);
    CHECK(with.endedWithin(9000) >= without.endedWithin(9000) - jobs / 50);
    CHECK(with.meanAge() <= without.meanAge() * 103 / 100);
}

/// Runs a load with and without machines on standby, and compares them.
void compare(std::uint64_t seed, const std::function<void(RotatingLoad&)>& eachStep, double maxOnFraction)
{
    RotatingLoad with(seed, true);
    RotatingLoad without(seed, false);
    for (auto* load : { &with, &without })
        load->simulate([&] { eachStep(*load); });
    INFO("seed " << seed << ": jobs " << with.jobs() << "; ended in 6 s " << with.endedWithin(6000) << ", "
                 << without.endedWithin(6000) << "; in 9 s " << with.endedWithin(9000) << ", "
                 << without.endedWithin(9000) << "; mean ms " << with.meanAge() << ", " << without.meanAge()
                 << "; on " << with.onFraction() << "; standby moves " << with.standbyMoves() << " of "
                 << with.onStandby());
    CHECK(with.simulation().violation().empty());
    checkService(with, without);
    CHECK(with.onFraction() <= maxOnFraction);
    CHECK(with.standbyMoves() <= 2 * pools * machinesPerPool);
}

} // namespace

// Load: queues that peak in turn, on a site that is large enough for each peak. A job must not wait for a
// machine that was sent to standby.
TEST_CASE("Jobs of rotating queues are served as well with idle machines on standby", "[standby][random]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        compare(
            seed, [](RotatingLoad&) {}, 0.9);
    }
}

// Load: a burst of three times the load after a calm period in which machines were sent to standby.
TEST_CASE("A burst after a calm period is served as well with idle machines on standby", "[standby][random]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        compare(
            seed,
            [](RotatingLoad& load) {
                auto now = load.simulation().now();
                load.burst = now >= 55000 && now < 62000 ? 1.2 : 0.4;
            },
            0.9);
    }
}

// A new leader must neither begin to learn anew, nor order again what an earlier one ordered.
TEST_CASE("Machines on standby outlast changes of leader", "[standby][random]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        std::size_t afterChange = 0;
        compare(
            seed,
            [&](RotatingLoad& load) {
                auto now = load.simulation().now();
                if (now == 24000 || now == 27000)
                    load.simulation().changeLeader(600);
                if (now == 44000 && load.simulation().sendsToStandby)
                    afterChange = load.onStandby();
            },
            1);
        CHECK(afterChange > 0);
    }
}

// Machines on standby need their upkeep too, and machines that are sent there must not miss theirs.
TEST_CASE("A wave over machines on standby ends before its deadline", "[standby][random]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        RotatingLoad load(seed, true);
        std::size_t onStandby = 0;
        std::size_t doneInTime = 0;
        load.simulate([&] {
            auto now = load.simulation().now();
            if (now == 40000) {
                StartWave wave { 1, {}, { 30000 }, 14, {} };
                for (const auto& machine : load.simulation().machines())
                    wave.machines.push_back(machine.name);
                onStandby = load.onStandby();
                load.simulation().startWave(wave);
            }
            if (now == 70000)
                doneInTime = load.simulation().store().waves().at(1).done.size();
        });
        INFO("seed " << seed << ", on standby at the start of the wave: " << onStandby);
        CHECK(load.simulation().violation().empty());
        CHECK(load.finished() == load.jobs());
        CHECK(onStandby > 0);
        CHECK(doneInTime == load.simulation().machines().size());
    }
}
