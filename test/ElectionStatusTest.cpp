#include "celeryline/consensus/ElectionStatus.h"

#include "VoterCluster.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using celeryline::test::VoterCluster;

namespace {

VoteAnswer answerIn(const ElectionStatus& status, const std::string& voter)
{
    for (const auto& answer : status.answers) {
        if (answer.voter.name == voter)
            return answer.answer;
    }
    FAIL(voter << " is not a voter");
    return VoteAnswer::None;
}

} // namespace

// Guards against an election without end of which nothing says whose votes are missing.
TEST_CASE("A candidate reports which voters don't answer", "[consensus]")
{
    VoterCluster cluster({ "a", "b", "c" });
    REQUIRE_FALSE(cluster.runUntilLeader().empty());
    cluster.run({ 1000 });
    auto candidate = cluster.follower();
    REQUIRE_FALSE(cluster.core(candidate).electionStatus());
    auto rounds = cluster.core(candidate).electionRounds();
    cluster.stop(cluster.leader());
    cluster.stop(cluster.follower() == candidate ? cluster.cores().rbegin()->first : cluster.follower());
    REQUIRE(cluster.cores().size() == 1);
    cluster.run({ 5000 });
    auto status = cluster.core(candidate).electionStatus();
    REQUIRE(status);
    REQUIRE(status->isPreVote);
    REQUIRE(status->answers.size() == 3);
    REQUIRE(status->elapsed >= Millis { 3500 });
    REQUIRE(status->rounds >= 5);
    REQUIRE(cluster.core(candidate).electionRounds() == rounds + status->rounds);
    for (const std::string name : { "a", "b", "c" })
        REQUIRE(answerIn(*status, name) == (name == candidate ? VoteAnswer::Granted : VoteAnswer::None));
}

// Guards against an election status that outlives the election and would be reported as stalled.
TEST_CASE("The election status ends when a leader is found", "[consensus]")
{
    VoterCluster cluster({ "a", "b", "c" });
    REQUIRE_FALSE(cluster.runUntilLeader().empty());
    auto follower = cluster.follower();
    cluster.isolate(follower);
    cluster.run({ 3000 });
    REQUIRE(cluster.core(follower).electionStatus());
    cluster.reconnect(follower);
    cluster.run({ 1000 });
    REQUIRE_FALSE(cluster.leader().empty());
    for (const auto& [name, core] : cluster.cores())
        REQUIRE_FALSE(core->electionStatus());
}

// Guards against a refused vote that looks like a voter that can't be reached, and a refusal without reason.
TEST_CASE("A refused pre-vote is reported by both sides", "[consensus]")
{
    VoterCluster cluster({ "a", "b", "c" });
    REQUIRE_FALSE(cluster.runUntilLeader().empty());
    auto leader = cluster.leader();
    auto behind = cluster.follower();
    cluster.isolate(behind);
    cluster.core(leader).propose(cluster.now(), {}, { "entry" });
    cluster.run({ 1000 });
    cluster.stop(leader);
    cluster.run({ 300 });
    cluster.reconnect(behind);
    auto& other = cluster.core(cluster.cores().begin()->first == behind ? cluster.cores().rbegin()->first
                                                                        : cluster.cores().begin()->first);
    VoteRefusalReason reason = VoteRefusalReason::None;
    VoteAnswer answer = VoteAnswer::None;
    cluster.onTick = [&] {
        const auto& refusal = other.lastVoteRefusal();
        if (refusal.reason == VoteRefusalReason::NewerLog && reason == VoteRefusalReason::None) {
            reason = refusal.reason;
            REQUIRE(refusal.candidate == cluster.idOf(behind));
            REQUIRE(refusal.isPreVote);
            auto status = cluster.core(behind).electionStatus();
            REQUIRE(status);
            for (const auto& voter : status->answers) {
                if (voter.voter.name != behind && voter.voter.name != leader)
                    answer = voter.answer;
            }
        }
    };
    cluster.run({ 3000 });
    REQUIRE(reason == VoteRefusalReason::NewerLog);
    REQUIRE(answer == VoteAnswer::Refused);
}

// Guards against a candidate that asks for the vote of an earlier disk and is ignored without a trace.
TEST_CASE("A request for the vote of another storage id is reported", "[consensus]")
{
    VoterCluster cluster({ "a", "b", "c" });
    REQUIRE_FALSE(cluster.runUntilLeader().empty());
    auto leader = cluster.leader();
    auto replaced = cluster.follower();
    cluster.stop(leader);
    cluster.stop(replaced);
    cluster.start(replaced, "new-disk");
    cluster.run({ 2000 });
    auto refusal = cluster.core(replaced).lastVoteRefusal();
    REQUIRE(refusal.count > 0);
    REQUIRE(refusal.reason == VoteRefusalReason::OtherStorageId);
}

// Guards against answers of a pre-vote that are taken for votes, and against a status that is empty just
// after a round has begun.
TEST_CASE("An answer of the previous round counts if that round was of the same kind", "[consensus]")
{
    detail::ElectionRecord record;
    beginRound(record, { 100 }, 7, true);
    record.current.answers["b"] = VoteAnswer::Refused;
    beginRound(record, { 400 }, 7, true);
    REQUIRE(record.start == Millis { 100 });
    REQUIRE(answerOf(record, "b") == VoteAnswer::Refused);
    record.current.answers["b"] = VoteAnswer::Granted;
    REQUIRE(answerOf(record, "b") == VoteAnswer::Granted);
    beginRound(record, { 700 }, 7, false);
    REQUIRE(answerOf(record, "b") == VoteAnswer::None);
}

// Guards against a learner that is taken for caught up before it knows what the leader has committed.
TEST_CASE("A learner has the leader's commits only after it has received them", "[consensus]")
{
    VoterCluster cluster({ "a" });
    REQUIRE(cluster.runUntilLeader() == "a");
    cluster.core("a").propose(cluster.now(), {}, { "entry" });
    cluster.run({ 200 });
    cluster.start("d");
    REQUIRE_FALSE(cluster.core("d").hasLeaderCommits());
    RaftMessage message;
    message.from = cluster.idOf("a");
    message.to = cluster.idOf("d");
    message.term = cluster.core("a").term();
    cluster.core("d").receive(cluster.now(), message);
    REQUIRE(cluster.core("d").leader() == "a");
    REQUIRE_FALSE(cluster.core("d").hasLeaderCommits());
    cluster.run({ 500 });
    REQUIRE(cluster.core("d").hasLeaderCommits());
}
