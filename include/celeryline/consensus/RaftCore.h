/// @file
/// The Raft consensus algorithm as a deterministic state machine.
#pragma once

#include "celeryline/consensus/ElectionStatus.h"
#include "celeryline/consensus/LogGrowth.h"
#include "celeryline/consensus/RaftLog.h"
#include "celeryline/consensus/RaftOptions.h"
#include "celeryline/consensus/RaftOutput.h"
#include "celeryline/consensus/ReplicaState.h"
#include "celeryline/consensus/StoreStatus.h"
#include "celeryline/consensus/VoterSetStatus.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// Raft as a deterministic state machine without threads, clock, locks or I/O. Its inputs are time, messages,
/// proposals and confirmations of persisted data; takeOutput() returns the actions to perform. Nothing is
/// acknowledged, and no entry or vote of this replica is counted, before persisted() has confirmed it.
///
/// Extensions of the basic algorithm: pre-vote, check-quorum, leader lease, leadership transfer, learners,
/// chunked snapshots, and replacement of a voter that lost its disk by two single-server changes. A replica
/// without any entry never votes, and a replica accepts only messages addressed to its own storage id.
///
/// Example: `core.propose(now, wallTime, { payload }); auto output = core.takeOutput();
/// storage.persist(output); core.persisted(output.persistId);`
class RaftCore {
public:
    /// @param term durable term and vote.
    /// @param snapshot newest durable snapshot; index 0 if there is none.
    /// @param entries durable entries that follow it.
    /// @param now monotonic time.
    RaftCore(RaftOptions options, TermRecord term, const Snapshot& snapshot,
        const std::vector<LogEntry>& entries, Millis now);

    /// Processes timeouts. Must be called at least once per heartbeat interval.
    void tick(Millis now);

    /// Handles a message from another instance.
    void receive(Millis now, const RaftMessage& message);

    /// Appends entries of kind Command if this is the leader.
    /// @param wallTime timestamp of the entries.
    /// @param payloads encoded commands.
    /// @return the index of the first entry; 0 if this isn't the leader or a leadership transfer is in
    /// progress.
    std::uint64_t propose(Millis now, Millis wallTime, const std::vector<std::string>& payloads);

    /// Adds or removes one voter if this is the leader and no other change is in progress.
    /// @param configuration must differ from the current configuration by one voter.
    /// @return whether the change was appended.
    bool changeConfiguration(const VoterConfiguration& configuration);

    /// Appends the first entry of a new log if this replica's log is empty.
    /// @param entry the entry; must be the same on all voters.
    /// @return whether it was appended.
    bool form(const LogEntry& entry);

    /// Adds another instance as a learner, to which the log is replicated. Known names are ignored.
    /// @param name name of the instance.
    void addPeer(const std::string& name);

    /// Records that another replica is about to stop, or no longer is. As leader, this replica replaces a
    /// leaving voter like a lost one, and doesn't promote or transfer leadership to a leaving replica. An
    /// announcement is valid for a limited time.
    void setLeaving(Millis now, const ReplicaId& replica, bool isLeaving);

    /// With `voterTarget`, the leader spreads the voters over data centres as far as learners permit.
    /// @param name a replica's name; this replica's as well.
    /// @param dataCentre its data centre; empty if unknown.
    void setDataCentre(const std::string& name, const std::string& dataCentre);

    /// Transfers leadership to the most up-to-date voter. The leader rejects proposals from then on.
    /// @return whether a voter is available as target.
    bool transferLeadership(Millis now);

    /// Confirms that an output was persisted.
    /// @param persistId the output's id.
    void persisted(std::uint64_t persistId);

    /// Discards entries that a stored snapshot contains.
    /// @param index last entry of the snapshot; must be applied.
    /// @param retainedEntries number of entries before it that are kept in memory for slow followers.
    void compact(std::uint64_t index, std::uint64_t retainedEntries);

    /// Provides the snapshot that RaftOutput::needsSnapshot requests.
    /// @param index last entry of the snapshot.
    /// @param term term of this entry.
    /// @param bytes the output of encodeSnapshot().
    void provideSnapshot(std::uint64_t index, std::uint64_t term, std::shared_ptr<const std::string> bytes);

    /// @return the actions to perform that have accumulated since the last call.
    RaftOutput takeOutput();

    /// @return time until which no other instance can become leader. A leader that lost contact must stop
    /// acting as leader at this time. A time in the past if this isn't the leader.
    Millis leaseEnd() const;

    /// @return how long the replies of a majority have taken lately, including their wait in this process's
    /// input; at least the time since the leader should have heard from a majority. 0 if this replica isn't
    /// the leader.
    Millis replicationDelay() const;

    /// @return time of the next timeout that tick() handles: a leader's heartbeat or the start of an
    /// election. Empty on a replica that isn't a voter.
    std::optional<Millis> nextTimer() const;

    bool isVoter() const { return m_log.configuration().contains(m_options.self); }
    ConsensusRole role() const { return m_role; }
    const std::string& leader() const { return m_leader; } ///< Empty if unknown.
    std::uint64_t term() const { return m_term.term; }
    std::uint64_t commitIndex() const { return m_commitIndex; }
    const RaftLog& log() const { return m_log; }
    Millis leaderContactTime() const { return m_leaderContactTime; }

    /// @return replication progress of all other instances; empty unless this is the leader.
    std::vector<ReplicaProgress> replicas() const;

    /// @return the voters and learners as this leader sees them; nothing unless this is the leader.
    std::optional<VoterSetStatus> voterSetStatus() const;

    /// @return the newest change of the voter set that this replica made as leader.
    const VoterChange& lastVoterChange() const { return m_lastVoterChange; }

    /// @return the election that this replica has begun since it lost the leader; nothing if it knows a
    /// leader or hasn't begun an election.
    std::optional<ElectionStatus> electionStatus() const;

    /// @return the number of rounds of pre-votes and votes that this replica has begun.
    std::uint64_t electionRounds() const { return m_electionRounds; }

    /// @return the newest refusal of a vote or pre-vote by this replica.
    const VoteRefusal& lastVoteRefusal() const { return m_lastVoteRefusal; }

    /// @return whether this replica's log contains all entries that the leader has reported as committed.
    bool hasLeaderCommits() const;

private:
    struct PendingPersist {
        std::uint64_t id = 0;
        std::uint64_t lastIndex = 0;
        std::uint64_t lastTerm = 0;
    };
    struct DeferredMessage {
        std::uint64_t persistId = 0;
        RaftMessage message;
    };

    // Elections (RaftElection.cpp)
    void resetElectionDeadline();
    void resetRetryDeadline();
    bool hasLeaderContact() const;
    bool isUpToDate(const RaftMessage& candidate) const;
    void becomeFollower(std::uint64_t term, const std::string& leader);
    void startPreVote();
    void startElection(bool isTransfer);
    void becomeLeader();
    void beginElectionRound(bool isPreVote);
    void countVote(const ReplicaId& voter);
    VoteRefusalReason preVoteRefusal(const RaftMessage& message) const;
    VoteRefusalReason voteRefusal(const RaftMessage& message) const;
    void recordRefusal(const RaftMessage& request, VoteRefusalReason reason);
    void recordRefusedVote(const RaftMessage& reply);
    void onVoteRequest(const RaftMessage& message);
    void onPreVote(const RaftMessage& message);
    void onVote(const RaftMessage& message);
    void onVoteReply(const RaftMessage& message);
    void onTransferLeadership(const RaftMessage& message);

    // Followers (RaftFollower.cpp)
    void acceptLeader(const RaftMessage& message);
    /// Informs the leader that this replica has replaced the one that it knows.
    void rejectForOtherStorageId(const RaftMessage& message);
    void onAppend(const RaftMessage& message);
    void appendReceived(const std::vector<LogEntry>& entries);

    // Snapshots (RaftSnapshot.cpp)
    /// Sends an empty Append, of which only the reply matters.
    void sendContactProbe(const detail::ReplicaState& replica);
    void sendSnapshotChunk(detail::ReplicaState& replica, bool isHeartbeat);
    void onSnapshotReply(const RaftMessage& message);
    void onSnapshot(const RaftMessage& message);
    void installSnapshot(const RaftMessage& message);

    // Leader (RaftLeader.cpp)
    detail::ReplicaState* recordReply(const RaftMessage& reply);
    const detail::ReplicaState* findReplica(const ReplicaId& voter) const;
    void onAppendReply(const RaftMessage& message);
    void sendTo(detail::ReplicaState& replica, bool isHeartbeat);
    void advanceCommitIndex();
    VoterChangeBlocker changeBlocker() const;
    bool changeVoters(
        const VoterConfiguration& configuration, VoterChangeReason reason, const ReplicaId& lostVoter = {});
    void maintainConfiguration();
    bool hasContact(const detail::ReplicaState& replica) const;
    LearnerReadiness readiness(const detail::ReplicaState& replica) const;
    bool isCaughtUp(const detail::ReplicaState& replica) const;
    Millis lastContact(const ReplicaId& voter) const;
    bool isLeaving(const ReplicaId& replica) const;
    bool isLost(const ReplicaId& voter) const;
    bool removeReplacedVoter();
    void promoteConfiguredVoter();
    void maintainVoterTarget();
    /// @return how many other voters are in the same data centre as a replica; 0 if that is unknown.
    std::size_t votersBeside(const std::string& name, const std::vector<ReplicaId>& voters) const;
    const detail::ReplicaState* bestLearner(const std::vector<ReplicaId>& remainingVoters) const;
    std::vector<ReplicaId>::const_iterator redundantVoter(const std::vector<ReplicaId>& voters) const;
    bool improvesSpread(const ReplicaId& learner, const std::vector<ReplicaId>& voters) const;
    void trackPeer(const std::string& name);
    void continueTransfer();
    Millis quorumContactTime() const;
    /// @return the time that the replies of a majority took, from the sending of the messages.
    Millis replyDelay() const;
    /// @return the time without contact to a majority after which the leader steps down.
    Millis quorumTimeout() const;
    std::uint64_t quorumMatchIndex() const;

    // Status queries (RaftStatus.cpp)
    VoterContact contactOf(const ReplicaId& voter) const;

    // RaftCore.cpp
    RaftMessage makeMessage(RaftMessageKind kind, const ReplicaId& to) const;
    void send(RaftMessage message) { m_output.messages.push_back(std::move(message)); }
    void sendWhenPersisted(RaftMessage message);
    void setTerm(std::uint64_t term, const ReplicaId& votedFor);
    void appendAsLeader(LogEntryKind kind, Millis time, std::string payload);
    void setCommitIndex(std::uint64_t index);
    void advanceTime(Millis now);

    RaftOptions m_options;
    TermRecord m_term;
    RaftLog m_log;
    std::uint64_t m_durableIndex = 0; ///< Entries up to this one are durable on this replica.
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_deliveredIndex = 0; ///< Entries up to this one were returned as committed.
    Millis m_now;
    std::mt19937_64 m_random;

    ConsensusRole m_role = ConsensusRole::Follower;
    std::string m_leader;
    Millis m_leaderContactTime;
    Millis m_electionDeadline;
    bool m_isPreVote = false;
    std::set<std::string> m_votes;
    detail::ElectionRecord m_election; ///< Election that this replica has begun since it lost the leader.
    std::uint64_t m_electionRounds = 0;
    VoteRefusal m_lastVoteRefusal;
    std::uint64_t m_leaderCommitIndex = 0; ///< Highest commit index that a leader has reported.

    std::map<std::string, std::string> m_dataCentres; ///< By name, as far as they are known.
    std::map<ReplicaId, Millis> m_leavingUntil; ///< Replicas that announced their shutdown.
    std::map<std::string, detail::ReplicaState> m_replicas; ///< By name; used on the leader only.
    Millis m_leadingSince;
    Millis m_nextHeartbeat;
    std::uint64_t m_termStartIndex = 0; ///< Index of the no-op entry that starts the leader's term.
    detail::LogGrowth m_logGrowth; ///< Since the start of the term and an election timeout at most.
    VoterChange m_lastVoterChange;
    bool m_isTransferring = false;
    std::string m_transferTarget;
    Millis m_transferDeadline;
    std::uint64_t m_outgoingSnapshotIndex = 0;
    std::uint64_t m_outgoingSnapshotTerm = 0;
    std::shared_ptr<const std::string> m_outgoingSnapshot; ///< Encoded snapshot being sent to followers.

    std::uint64_t m_incomingSnapshotIndex = 0;
    std::uint64_t m_incomingSnapshotTerm = 0;
    std::string m_incomingSnapshot; ///< Chunks of an incoming snapshot received so far.

    RaftOutput m_output;
    std::uint64_t m_nextPersistId = 1;
    bool m_mustPersist = false;
    std::uint64_t m_persistedId = 0;
    std::vector<PendingPersist> m_pendingPersists;
    std::vector<DeferredMessage> m_deferredMessages;
};

} // namespace celeryline
