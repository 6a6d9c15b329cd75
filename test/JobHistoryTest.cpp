// Random histories over the real log, job state and JobMaster: no task runs twice, nothing accepted is lost,
// no configuration goes back.
#include "JobKit.h"
#include "JobSimulation.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// CELERYLINE_HISTORY_SEEDS sets another number of seeds for a longer run by hand.
std::uint64_t seedCount()
{
    const char* text = std::getenv("CELERYLINE_HISTORY_SEEDS");
    return text == nullptr ? 150 : std::strtoull(text, nullptr, 10);
}

constexpr int replicas = 4;
constexpr int runners = 4;

void disturb(JobSimulation& world, std::int64_t& diskSafeAt, std::int64_t now)
{
    auto replica = static_cast<int>(world.below(replicas));
    auto runner = static_cast<int>(world.below(runners));
    auto length = 200 + static_cast<std::int64_t>(world.below(3000));
    switch (world.below(9)) {
    case 0:
        world.kill(replica, length);
        break;
    case 1:
        // One disk at a time may be lost; the next one when the log is whole again.
        if (now >= diskSafeAt && world.isConverged()) {
            world.loseDisk(replica, length);
            diskSafeAt = now + length + 12000;
        }
        break;
    case 2:
        if (world.leader() >= 0)
            world.freeze(world.leader(), length);
        break;
    case 3:
        if (world.leader() >= 0)
            world.partition(world.leader(), length);
        break;
    case 4:
        world.partition(replica, length);
        break;
    case 5:
        world.partitionRunner(runner, 2 * length);
        break;
    case 6:
        world.restartRunner(runner);
        break;
    case 7:
        world.fillDisk(world.leader() >= 0 ? world.leader() : replica, length, world.below(2000));
        break;
    default:
        for (int i = 0; i < replicas; ++i)
            world.kill(i, length); // All lose power, and keep their disks.
    }
}

void play(std::uint64_t seed)
{
    JobSimulation world(seed, replicas, runners);
    world.configure(makeConfiguration(1, 4));
    world.run(2500);
    std::int64_t now = 0;
    std::int64_t diskSafeAt = 0;
    int jobs = 0;
    std::uint64_t version = 1;
    for (int round = 0; round < 12; ++round) {
        for (std::uint64_t i = world.below(3) + 1; i > 0; --i) {
            auto second = makeStep(static_cast<std::uint32_t>(world.below(3)) + 1);
            second.after = { 0 };
            world.submit(makeJob("job" + std::to_string(jobs++), { makeStep(2), second }));
        }
        if (world.below(2) == 0) {
            // Two operators at once; the versions rise in uneven steps.
            version += 1 + world.below(3);
            world.configure(makeConfiguration(version, 4));
            version += 1 + world.below(3);
            world.configure(makeConfiguration(version, 4));
        }
        auto pause = 100 + static_cast<std::int64_t>(world.below(1500));
        world.run(pause);
        now += pause;
        disturb(world, diskSafeAt, now);
    }
    // Afterwards everything that was accepted is brought to its end.
    for (int i = 0; i < 60 && !(world.isComplete() && world.isConverged()); ++i)
        world.run(1000);
    INFO("seed " << seed << "\n" << world.describe());
    REQUIRE(world.isComplete());
    REQUIRE(world.startedRuns() > 0);
}

} // namespace

// Guards against a task that runs twice, accepted jobs that are lost and configurations that go back, under
// kills, lost disks, freezes and cuts of replicas and runners, with lost, late and doubled reports.
TEST_CASE("Random faults run no task twice and lose no accepted job", "[history][random]")
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        INFO("seed " << seed);
        REQUIRE_NOTHROW(play(seed));
    }
}

// Guards against a lost voter that stays in the set, so that the next loss leaves no majority.
TEST_CASE("A voter that is gone for good is replaced by a learner", "[history]")
{
    constexpr std::int64_t forGood = 1000000000;
    JobSimulation world(3, 4, 2);
    world.configure(makeConfiguration());
    world.run(3000);
    REQUIRE(world.voters() == std::set<std::string> { "c0", "c1", "c2" });
    int lost = world.leader() == 0 ? 1 : 0;
    world.kill(lost, forGood);
    world.run(15000);
    REQUIRE(world.voters().size() == 3);
    REQUIRE(world.voters().count("c3") == 1);
    REQUIRE(world.voters().count("c" + std::to_string(lost)) == 0);
    // The set bears another loss.
    world.kill(world.leader(), forGood);
    world.run(5000);
    REQUIRE(world.leader() >= 0);
    world.submit(makeJob("after", { makeStep(2) }));
    world.run(10000);
    REQUIRE(world.isComplete());
}

// Guards against a leader whose lease outlives its isolation: the others elect one of them meanwhile.
TEST_CASE("A leader that is cut off stops leading before another one begins", "[history]")
{
    JobSimulation world(4, 3, 2);
    world.configure(makeConfiguration());
    world.run(3000);
    auto first = world.leader();
    REQUIRE(first >= 0);
    world.partition(first, 4000);
    world.run(3000); // Two leaders at one moment would fail the run.
    REQUIRE(world.leader() >= 0);
    REQUIRE(world.leader() != first);
}

// Guards against a replica that never takes part in the log again after its disk was full, and that others
// still take for the leader.
TEST_CASE("A replica with a full disk stops leading and comes back", "[history]")
{
    JobSimulation world(5, 3, 2);
    world.configure(makeConfiguration());
    world.run(3000);
    auto full = world.leader();
    REQUIRE(full >= 0);
    world.fillDisk(full, 6000, 0);
    world.submit(makeJob("while-full", { makeStep(2) }));
    world.run(4000);
    REQUIRE(world.leader() >= 0);
    REQUIRE(world.leader() != full);
    REQUIRE(world.isComplete());
    world.run(5000);
    REQUIRE(world.isConverged());
    // It holds all that was accepted: the others may be gone.
    world.kill((full + 1) % 3, 3000);
    world.submit(makeJob("afterwards", { makeStep(2) }));
    world.run(8000);
    REQUIRE(world.isComplete());
}
