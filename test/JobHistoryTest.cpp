// Random histories over the real log, job state and JobMaster. They check that no task runs twice, no
// accepted job is lost and the configuration never reverts.
#include "CustomerKit.h"
#include "JobSimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// CELERYLINE_HISTORY_SEEDS sets the number of seeds for longer manual runs.
std::uint64_t seedCount()
{
    const char* text = std::getenv("CELERYLINE_HISTORY_SEEDS");
    return text == nullptr ? 150 : std::strtoull(text, nullptr, 10);
}

constexpr int replicas = 4;
constexpr int runners = 4;

void injectFault(JobSimulation& simulation, std::int64_t& diskSafeAt, std::int64_t now)
{
    auto replica = static_cast<int>(simulation.below(replicas));
    auto runner = static_cast<int>(simulation.below(runners));
    auto length = 200 + static_cast<std::int64_t>(simulation.below(3000));
    switch (simulation.below(9)) {
    case 0:
        simulation.kill(replica, length);
        break;
    case 1:
        // At most one disk is lost at a time; the next one only after the log has converged.
        if (now >= diskSafeAt && simulation.isConverged()) {
            simulation.loseDisk(replica, length);
            diskSafeAt = now + length + 12000;
        }
        break;
    case 2:
        if (simulation.leader() >= 0)
            simulation.freeze(simulation.leader(), length);
        break;
    case 3:
        if (simulation.leader() >= 0)
            simulation.partition(simulation.leader(), length);
        break;
    case 4:
        simulation.partition(replica, length);
        break;
    case 5:
        simulation.partitionRunner(runner, 2 * length);
        break;
    case 6:
        simulation.restartRunner(runner);
        break;
    case 7:
        simulation.fillDisk(
            simulation.leader() >= 0 ? simulation.leader() : replica, length, simulation.below(2000));
        break;
    default:
        for (int i = 0; i < replicas; ++i)
            simulation.kill(i, length); // All replicas lose power and keep their disks.
    }
}

/// What a history contains besides faults, jobs and new versions.
struct HistoryOptions {
    bool cancelsBefore = false; ///< Jobs are also cancelled before their submissions arrive.
    bool hasCustomers = false; ///< The jobs are those of two customers whose limits change.
};

QueueConfiguration makeVersion(
    JobSimulation& simulation, std::uint64_t version, const HistoryOptions& options)
{
    if (!options.hasCustomers)
        return makeConfiguration(version, 4);
    auto configuration = makeCustomerConfiguration({ "a", "b" }, version);
    configuration.queues[0].attempts = 4;
    for (auto& customer : configuration.customers)
        customer.limit.cpuMilli = 2000 + 1000 * static_cast<std::int64_t>(simulation.below(2));
    return configuration;
}

void runHistory(std::uint64_t seed, const HistoryOptions& options = {})
{
    JobSimulation simulation(seed, replicas, runners);
    simulation.configure(makeVersion(simulation, 1, options));
    simulation.run(2500);
    std::int64_t now = 0;
    std::int64_t diskSafeAt = 0;
    int jobs = 0;
    std::uint64_t version = 1;
    for (int round = 0; round < 12; ++round) {
        for (std::uint64_t i = simulation.below(3) + 1; i > 0; --i) {
            auto second = makeStep(static_cast<std::uint32_t>(simulation.below(3)) + 1);
            second.after = { 0 };
            auto job = makeJob("job" + std::to_string(jobs++), { makeStep(2), second });
            if (options.hasCustomers) {
                job.customer = jobs % 3 == 0 ? "a" : "b";
                job.steps[0].isGang = simulation.below(3) == 0;
            }
            simulation.submit(job);
        }
        if (simulation.below(2) == 0) {
            // Two concurrent operators; the versions increase in uneven steps.
            version += 1 + simulation.below(3);
            simulation.configure(makeVersion(simulation, version, options));
            version += 1 + simulation.below(3);
            simulation.configure(makeVersion(simulation, version, options));
        }
        if (options.cancelsBefore) {
            simulation.submitAfterCancellation(makeJob("late" + std::to_string(round), { makeStep(2) }),
                static_cast<std::int64_t>(simulation.below(6000)));
        }
        auto pause = 100 + static_cast<std::int64_t>(simulation.below(1500));
        simulation.run(pause);
        now += pause;
        injectFault(simulation, diskSafeAt, now);
    }
    // Without further faults, every accepted job must complete.
    for (int i = 0; i < 60 && !(simulation.isComplete() && simulation.isConverged()); ++i)
        simulation.run(1000);
    INFO("seed " << seed << "\n" << simulation.describe());
    REQUIRE(simulation.isComplete());
    REQUIRE(simulation.startedRuns() > 0);
}

} // namespace

// Guards against tasks that run twice, accepted jobs that are lost and configurations that revert, under
// kills, lost disks, suspensions and partitions of replicas and runners, with lost, delayed and duplicate
// reports.
TEST_CASE("Random faults run no task twice and lose no accepted job", "[history][random]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        INFO("seed " << seed);
        REQUIRE_NOTHROW(runHistory(seed));
    }
}

// Guards against a job that runs although its cancellation was confirmed: its submission arrives after the
// cancellation, at a later leader or at one that has restarted from its disk (review/9).
TEST_CASE("A job that was cancelled before its submission arrives never starts", "[history][random]")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        REQUIRE_NOTHROW(runHistory(seed, { true, false }));
    }
}

// Guards against customers that run more than their limit under changes of leader, lost runners and runs
// whose runner is silent, and against jobs that wait forever after the limit was lowered.
TEST_CASE("Random faults bring no customer above its limit", "[history][random][quota]")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        REQUIRE_NOTHROW(runHistory(seed, { false, true }));
    }
}

// Guards against a lost voter that stays in the voter set, so that the next loss leaves no majority.
TEST_CASE("A voter that is gone for good is replaced by a learner", "[history]")
{
    constexpr std::int64_t forGood = 1000000000;
    JobSimulation simulation(3, 4, 2);
    simulation.configure(makeConfiguration());
    simulation.run(3000);
    REQUIRE(simulation.voters() == std::set<std::string> { "c0", "c1", "c2" });
    int lost = simulation.leader() == 0 ? 1 : 0;
    simulation.kill(lost, forGood);
    simulation.run(15000);
    REQUIRE(simulation.voters().size() == 3);
    REQUIRE(simulation.voters().count("c3") == 1);
    REQUIRE(simulation.voters().count("c" + std::to_string(lost)) == 0);
    // The voter set tolerates another loss.
    simulation.kill(simulation.leader(), forGood);
    simulation.run(5000);
    REQUIRE(simulation.leader() >= 0);
    simulation.submit(makeJob("after", { makeStep(2) }));
    simulation.run(10000);
    REQUIRE(simulation.isComplete());
}

// Guards against an isolated leader whose lease outlives the election of another one.
TEST_CASE("A leader that is cut off stops leading before another one begins", "[history]")
{
    JobSimulation simulation(4, 3, 2);
    simulation.configure(makeConfiguration());
    simulation.run(3000);
    auto first = simulation.leader();
    REQUIRE(first >= 0);
    simulation.partition(first, 4000);
    simulation.run(3000); // Two simultaneous leaders would fail the simulation.
    REQUIRE(simulation.leader() >= 0);
    REQUIRE(simulation.leader() != first);
}

// Guards against a replica that doesn't rejoin the log after its disk was full, or that others still consider
// the leader.
TEST_CASE("A replica with a full disk stops leading and comes back", "[history]")
{
    JobSimulation simulation(5, 3, 2);
    simulation.configure(makeConfiguration());
    simulation.run(3000);
    auto full = simulation.leader();
    REQUIRE(full >= 0);
    simulation.fillDisk(full, 6000, 0);
    simulation.submit(makeJob("while-full", { makeStep(2) }));
    simulation.run(4000);
    REQUIRE(simulation.leader() >= 0);
    REQUIRE(simulation.leader() != full);
    REQUIRE(simulation.isComplete());
    simulation.run(5000);
    REQUIRE(simulation.isConverged());
    // It has every accepted entry, even if the others are gone.
    simulation.kill((full + 1) % 3, 3000);
    simulation.submit(makeJob("afterwards", { makeStep(2) }));
    simulation.run(8000);
    REQUIRE(simulation.isComplete());
}

// Guards against a lost runner whose tasks never run again, because each new leader counts its lease anew.
TEST_CASE("Tasks of a lost runner complete elsewhere although no leader lasts", "[history]")
{
    constexpr std::int64_t forGood = 1000000000;
    constexpr std::int64_t seriesMs = 30000;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        JobSimulation simulation(seed, replicas, 2);
        simulation.configure(makeConfiguration(1, 4));
        simulation.run(3000);
        simulation.submit(makeJob("job", { makeStep(8) })); // As many tasks as both runners hold.
        while (simulation.startedRuns() < 8)
            simulation.run(10);
        simulation.partitionRunner(0, forGood);
        for (std::int64_t passed = 0; passed < seriesMs; passed += 2000) {
            if (simulation.leader() >= 0)
                simulation.partition(simulation.leader(), 1000);
            simulation.run(2000);
        }
        INFO("seed " << seed << "\n" << simulation.describe());
        REQUIRE(simulation.isComplete());
    }
}
