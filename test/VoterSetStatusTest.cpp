#include "celeryline/consensus/VoterSetStatus.h"

#include "VoterCluster.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using celeryline::test::VoterCluster;

namespace {

VoterSetStatus statusOf(VoterCluster& cluster)
{
    auto status = cluster.core(cluster.leader()).voterSetStatus();
    REQUIRE(status);
    return *status;
}

} // namespace

// Guards against a leader that can't say which voter it lost, since when, and that the voter's loss has not
// lasted long enough for a replacement.
TEST_CASE("A leader reports an unreached voter and for how long it was silent", "[consensus]")
{
    VoterCluster cluster({ "a", "b", "c" });
    REQUIRE_FALSE(cluster.runUntilLeader().empty());
    cluster.run({ 1000 });
    REQUIRE(reachedVoters(statusOf(cluster)) == 3);
    REQUIRE(longestUnreached(statusOf(cluster)) == nullptr);
    auto lost = cluster.follower();
    cluster.stop(lost);
    cluster.start("d");
    // Longer than the election timeout, shorter than the replacement timeout.
    cluster.run({ 800 });
    auto status = statusOf(cluster);
    REQUIRE(reachedVoters(status) == 2);
    const auto* contact = longestUnreached(status);
    REQUIRE(contact != nullptr);
    REQUIRE(contact->voter == cluster.idOf(lost));
    REQUIRE_FALSE(contact->isLost);
    REQUIRE(contact->silent >= Millis { 700 });
    REQUIRE(contact->silent <= Millis { 900 });
    REQUIRE(readyLearners(status) == 1);
    REQUIRE(replacementObstacle(status) == "not-lost-long-enough");
    REQUIRE_FALSE(cluster.core(cluster.follower()).voterSetStatus());
}

// Guards against a voter set that changes without a stated reason.
TEST_CASE("A leader states why it replaced a voter", "[consensus]")
{
    VoterCluster cluster({ "a", "b", "c" });
    REQUIRE_FALSE(cluster.runUntilLeader().empty());
    REQUIRE(cluster.core(cluster.leader()).lastVoterChange() == VoterChange {});
    auto lost = cluster.idOf(cluster.follower());
    cluster.stop(lost.name);
    cluster.start("d");
    std::vector<VoterChange> changes;
    cluster.onTick = [&] {
        const auto& change = cluster.core(cluster.leader()).lastVoterChange();
        if (change.index != 0 && (changes.empty() || changes.back() != change))
            changes.push_back(change);
    };
    cluster.run({ 10000 });
    REQUIRE(changes.size() == 2);
    REQUIRE(changes[0].reason == VoterChangeReason::VoterLost);
    REQUIRE(changes[0].lostVoter == lost);
    REQUIRE(changes[0].silent >= VoterCluster::replacementTimeout);
    REQUIRE(changes[1].reason == VoterChangeReason::LostVoterRemoved);
    REQUIRE(changes[1].lostVoter == lost);
    REQUIRE(changes[1].index > changes[0].index);
}

// Guards against a replaced disk that is reported as a lost voter.
TEST_CASE("A leader states that a voter returned with a new disk", "[consensus]")
{
    VoterCluster cluster({ "a", "b", "c" });
    REQUIRE_FALSE(cluster.runUntilLeader().empty());
    auto old = cluster.idOf(cluster.follower());
    cluster.stop(old.name);
    cluster.run({ 1000 });
    cluster.start(old.name, "new-disk");
    std::vector<VoterChangeReason> reasons;
    cluster.onTick = [&] {
        const auto& change = cluster.core(cluster.leader()).lastVoterChange();
        REQUIRE(change.silent == Millis {}); // The instance is in contact.
        if (change.index != 0 && (reasons.empty() || reasons.back() != change.reason))
            reasons.push_back(change.reason);
    };
    cluster.run({ 3000 });
    REQUIRE(reasons
        == std::vector<VoterChangeReason> {
            VoterChangeReason::DiskReplaced, VoterChangeReason::TooFewVoters });
}

// Guards against a lost voter that stays in the set while nothing says what the learners lack.
TEST_CASE("A leader states why no learner replaces a lost voter", "[consensus]")
{
    VoterCluster cluster({ "a", "b", "c" });
    REQUIRE_FALSE(cluster.runUntilLeader().empty());
    cluster.stop(cluster.follower());
    cluster.run({ 9000 });
    REQUIRE(longestUnreached(statusOf(cluster))->isLost);
    REQUIRE(replacementObstacle(statusOf(cluster)) == "no-learner-known");

    cluster.start("diskless", memoryIdPrefix + std::string("1"));
    cluster.start("gone");
    cluster.stop("gone");
    cluster.run({ 1000 });
    auto status = statusOf(cluster);
    REQUIRE(replacementObstacle(status) == "no-learner-ready");
    REQUIRE(status.learners.size() == 2);
    REQUIRE(status.learners[0].readiness == LearnerReadiness::NoDurableStorage);
    REQUIRE(status.learners[1].readiness == LearnerReadiness::NotInContact);
    REQUIRE(status.learners[1].missingEntries == cluster.core(cluster.leader()).log().lastIndex());
}

// Guards against an obstacle that hides what blocks every change.
TEST_CASE("What blocks changes is stated before what the learners lack", "[consensus]")
{
    VoterSetStatus status;
    status.voters.push_back({ { "b", "2" }, false, true, { 9000 } });
    status.learners.push_back({ { "d", "4" }, LearnerReadiness::LacksEntries, 900 });
    REQUIRE(replacementObstacle(status) == "no-learner-ready");
    status.learners.push_back({ { "e", "5" }, LearnerReadiness::Ready, 0 });
    REQUIRE(replacementObstacle(status) == "due");
    status.blocker = VoterChangeBlocker::ChangeInProgress;
    REQUIRE(replacementObstacle(status) == "change-in-progress");
}
