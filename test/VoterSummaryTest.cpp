#include "celeryline/control/VoterSummary.h"

#include "VoterCluster.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using celeryline::test::VoterCluster;

// Guards against metrics that show a sufficient number of voters although the next loss costs the majority.
TEST_CASE("The summary of a leader compares the reached voters with the majority", "[control]")
{
    VoterCluster cluster({ "a", "b", "c" });
    REQUIRE_FALSE(cluster.runUntilLeader().empty());
    cluster.stop(cluster.follower());
    cluster.start("d");
    // Longer than the election timeout, shorter than the replacement timeout.
    cluster.run({ 800 });
    auto summary = summarizeVoters(cluster.core(cluster.leader()));
    REQUIRE(summary.voters == 3);
    REQUIRE(summary.majority == 2);
    REQUIRE(summary.reached == 2);
    REQUIRE(summary.readyLearners == 1);
    REQUIRE(summary.longestSilence >= Millis { 700 });
    auto follower = summarizeVoters(cluster.core(cluster.follower()));
    VoterSummary expected;
    expected.voters = 3;
    expected.majority = 2;
    REQUIRE(follower == expected);
}

// Guards against a majority of one that is reported for a process without a log.
TEST_CASE("A replica without a log needs no voters", "[control]")
{
    VoterCluster cluster({ "a" });
    cluster.start("d");
    REQUIRE(summarizeVoters(cluster.core("d")) == VoterSummary {});
}
