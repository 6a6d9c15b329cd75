#include "celeryline/consensus/LogGrowth.h"

#include "VoterCluster.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using celeryline::detail::lastIndexAt;
using celeryline::detail::LogGrowth;
using celeryline::detail::recordLastIndex;
using celeryline::test::VoterCluster;

TEST_CASE("The last index at an earlier time is that of the latest sample before it", "[consensus]")
{
    LogGrowth growth;
    REQUIRE(lastIndexAt(growth, { 100 }) == 0);
    recordLastIndex(growth, { { 100 }, 7 }, { 0 });
    recordLastIndex(growth, { { 200 }, 9 }, { 0 });
    REQUIRE(lastIndexAt(growth, { 99 }) == 0);
    REQUIRE(lastIndexAt(growth, { 199 }) == 7);
    REQUIRE(lastIndexAt(growth, { 200 }) == 9);
    recordLastIndex(growth, { { 300 }, 12 }, { 250 });
    REQUIRE(growth.samples.size() == 2);
    REQUIRE(lastIndexAt(growth, { 250 }) == 9);
}

namespace {

constexpr int entriesPerTick = 100;

/// Lets the log of a cluster grow fast, and replaces a follower by a learner that answers late.
struct GrowingCluster {
    explicit GrowingCluster(int firstEntries)
    {
        REQUIRE_FALSE(cluster.runUntilLeader().empty());
        cluster.run({ 1000 });
        propose(firstEntries);
        cluster.run({ 1000 });
        lost = cluster.follower();
        cluster.stop(lost);
        cluster.start("d");
        cluster.delay("d", { 100 });
    }

    void propose(int count)
    {
        const std::vector<std::string> payloads(static_cast<std::size_t>(count), "entry");
        cluster.core(cluster.leader()).propose(cluster.now(), cluster.now(), payloads);
    }

    const VoterConfiguration& voters() { return cluster.core(cluster.leader()).log().configuration(); }

    VoterCluster cluster { { "a", "b", "c" } };
    std::string lost;
};

} // namespace

// Guards against a lost voter that is never replaced while the log grows fast: the learner always lacked more
// than a fixed number of entries, although it confirmed each one after a tenth of a second.
TEST_CASE("A learner that keeps up with a fast log replaces a lost voter", "[consensus]")
{
    GrowingCluster growing(1);
    growing.cluster.onTick = [&] { growing.propose(entriesPerTick); };
    growing.cluster.run(maxVoterReplacementTime(VoterCluster::electionTimeout));
    CHECK(growing.voters().contains(growing.cluster.idOf("d")));
    CHECK_FALSE(growing.voters().contains(growing.cluster.idOf(growing.lost)));
}

// Guards against a voter that lacks most of the log, so that the loss of another one stops all commits until
// it has caught up.
TEST_CASE("A learner replaces a lost voter only once it has caught up", "[consensus]")
{
    constexpr int firstEntries = 20000;
    constexpr int recentEntries
        = static_cast<int>(VoterCluster::electionTimeout.count / VoterCluster::tickInterval.count)
        * entriesPerTick;
    GrowingCluster growing(firstEntries);
    std::uint64_t missing = firstEntries;
    auto& cluster = growing.cluster;
    cluster.onTick = [&] {
        growing.propose(entriesPerTick);
        auto status = cluster.core(cluster.leader()).voterSetStatus();
        for (const auto& learner : status->learners)
            missing = learner.learner.name == "d" ? learner.missingEntries : missing;
    };
    cluster.run({ 5000 });
    CHECK(growing.voters().contains(cluster.idOf("d")));
    CHECK(missing <= recentEntries); // When it was still a learner for the last time.
}
