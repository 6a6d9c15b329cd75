/// @file
/// The consensus algorithm as a pure state machine.
#pragma once

#include "celeryline/consensus/RaftLog.h"
#include "celeryline/consensus/RaftOptions.h"
#include "celeryline/consensus/RaftOutput.h"
#include "celeryline/consensus/ReplicaState.h"
#include "celeryline/consensus/StoreStatus.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// Raft as a pure state machine without threads, clock, locks and I/O. Inputs are time, messages, proposals
/// and confirmations of what was persisted; takeOutput() gives what is to be done. Nothing is acknowledged,
/// and no own entry or vote is counted, before persisted() confirmed it.
///
/// Beyond the basic algorithm: pre-vote, check-quorum, leader lease, leadership transfer, learners,
/// replacement of voters that lost their disk by two single-server changes, chunked snapshots. A replica
/// without any entry never votes, and messages are accepted only for this replica's own storage id.
///
/// Example: `core.propose(now, wallTime, { payload }); auto output = core.takeOutput();
/// storage.persist(output); core.persisted(output.persistId);`
class RaftCore {
public:
    /// @param options constants.
    /// @param term durable term and vote.
    /// @param snapshot newest durable snapshot; index 0 if there is none.
    /// @param entries durable entries that follow it.
    /// @param now monotonic time.
    RaftCore(RaftOptions options, TermRecord term, const Snapshot& snapshot,
        const std::vector<LogEntry>& entries, Millis now);

    /// Lets timeouts happen. Must be called at least once a heartbeat interval.
    void tick(Millis now);

    /// @param message a message from another instance.
    void receive(Millis now, const RaftMessage& message);

    /// Appends entries of kind Command if this is the leader.
    /// @param wallTime time stamp for the entries.
    /// @param payloads their contents.
    /// @return the index of the first one; 0 if this isn't the leader or it is about to hand over.
    std::uint64_t propose(Millis now, Millis wallTime, const std::vector<std::string>& payloads);

    /// Adds or removes one voter if this is the leader and no other change is under way.
    /// @param configuration differs from configuration() by one voter.
    /// @return whether the change was appended.
    bool changeConfiguration(const VoterConfiguration& configuration);

    /// Writes the first entry of a new log, if this replica has none.
    /// @param entry the entry, the same on all voters.
    /// @return whether it was written.
    bool form(const LogEntry& entry);

    /// Makes another instance known, to which the log is sent from now on. It becomes a learner; a known name
    /// is ignored.
    /// @param name name of the instance.
    void addPeer(const std::string& name);

    /// Hands leadership to the voter that is furthest. The leader takes no proposals from here on.
    /// @return whether there is a voter to hand over to.
    bool transferLeadership(Millis now);

    /// Confirms that an output was persisted.
    /// @param persistId from the output.
    void persisted(std::uint64_t persistId);

    /// Tells that a snapshot of the entries up to an index was stored, so that they aren't needed any more.
    /// @param index an applied entry.
    /// @param keepEntries how many entries before it stay in memory for slow followers.
    void compact(std::uint64_t index, std::uint64_t keepEntries);

    /// Answers RaftOutput::needsSnapshot.
    /// @param index last entry of the snapshot.
    /// @param term term of this entry.
    /// @param bytes what encodeSnapshot() gave.
    void provideSnapshot(std::uint64_t index, std::uint64_t term, std::shared_ptr<const std::string> bytes);

    /// @return what is to be done since the last call.
    RaftOutput takeOutput();

    /// @return time until which no other instance can become leader; only after it, one that was cut off
    /// must not act as leader any more. A time in the past if this isn't the leader.
    Millis leaseEnd() const;

    /// @return when tick() next has to send something: a leader's heartbeat, or the start of an election.
    /// Empty on a replica that doesn't vote.
    std::optional<Millis> nextTimer() const;

    bool isVoter() const { return m_log.configuration().contains(m_options.self); }
    ConsensusRole role() const { return m_role; }
    const std::string& leader() const { return m_leader; } ///< Empty if unknown.
    std::uint64_t term() const { return m_term.term; }
    std::uint64_t commitIndex() const { return m_commitIndex; }
    const RaftLog& log() const { return m_log; }
    Millis leaderHeardAt() const { return m_leaderHeardAt; }

    /// @return progress of all other instances, on the leader.
    std::vector<ReplicaProgress> replicas() const;

private:
    struct PendingPersist {
        std::uint64_t id = 0;
        std::uint64_t lastIndex = 0;
        std::uint64_t lastTerm = 0;
    };
    struct HeldMessage {
        std::uint64_t persistId = 0;
        RaftMessage message;
    };

    // Elections (RaftElection.cpp)
    void resetElectionDeadline();
    void setRetryDeadline();
    bool isLeaderHeard() const;
    bool isUpToDate(const RaftMessage& candidate) const;
    void becomeFollower(std::uint64_t term, const std::string& leader);
    void startPreVote();
    void startElection(bool isTransfer);
    void becomeLeader();
    void countVote(const ReplicaId& voter);
    void onPreVote(const RaftMessage& message);
    void onVote(const RaftMessage& message);
    void onVoteReply(const RaftMessage& message);
    void onTransferLeadership(const RaftMessage& message);

    // Followers (RaftFollower.cpp)
    void followLeader(const RaftMessage& message);
    void onAppend(const RaftMessage& message);
    void appendReceived(const std::vector<LogEntry>& entries);
    void onSnapshot(const RaftMessage& message);
    void installSnapshot(const RaftMessage& message);

    // Leader (RaftLeader.cpp)
    detail::ReplicaState* replicaOf(const RaftMessage& reply);
    const detail::ReplicaState* configured(const ReplicaId& voter) const;
    void onAppendReply(const RaftMessage& message);
    void onSnapshotReply(const RaftMessage& message);
    void sendTo(detail::ReplicaState& replica, bool isHeartbeat);
    void sendSnapshotChunk(detail::ReplicaState& replica, bool isHeartbeat);
    void advanceCommit();
    void repairConfiguration();
    bool isHeard(const detail::ReplicaState& replica) const;
    bool isCaughtUp(const detail::ReplicaState& replica) const;
    bool isGone(const ReplicaId& voter) const;
    bool removeReplacedVoter();
    void promoteNamedVoter();
    void keepVoterTarget();
    void followPeer(const std::string& name);
    void continueTransfer();
    Millis quorumHeardAt() const;
    std::uint64_t quorumMatch() const;

    // RaftCore.cpp
    RaftMessage makeMessage(RaftMessageKind kind, const ReplicaId& to) const;
    void send(RaftMessage message) { m_output.messages.push_back(std::move(message)); }
    void sendWhenPersisted(RaftMessage message);
    void setTerm(std::uint64_t term, const ReplicaId& votedFor);
    void appendOwn(LogEntryKind kind, Millis time, std::string payload);
    void setCommitIndex(std::uint64_t index);
    void advanceTime(Millis now);

    RaftOptions m_options;
    TermRecord m_term;
    RaftLog m_log;
    std::uint64_t m_durableIndex = 0; ///< Entries up to this one are durable here.
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_handedOutIndex = 0; ///< Committed entries up to this one were given to be applied.
    Millis m_now;
    std::mt19937_64 m_random;

    ConsensusRole m_role = ConsensusRole::Follower;
    std::string m_leader;
    Millis m_leaderHeardAt;
    Millis m_electionDeadline;
    bool m_isPreVote = false;
    std::set<std::string> m_votes;

    std::map<std::string, detail::ReplicaState> m_replicas; ///< By name; on the leader only.
    Millis m_leadingSince;
    Millis m_nextHeartbeat;
    std::uint64_t m_firstOwnIndex = 0; ///< The entry that the leader wrote when it was elected.
    bool m_isTransferring = false;
    std::string m_transferTarget;
    Millis m_transferDeadline;
    std::uint64_t m_providedIndex = 0;
    std::uint64_t m_providedTerm = 0;
    std::shared_ptr<const std::string> m_provided; ///< Bytes of a snapshot that is being sent.

    std::uint64_t m_receivingIndex = 0;
    std::uint64_t m_receivingTerm = 0;
    std::string m_receiving; ///< Chunks of a snapshot received so far.

    RaftOutput m_output;
    std::uint64_t m_nextPersistId = 1;
    bool m_mustPersist = false;
    std::uint64_t m_persistedId = 0;
    std::vector<PendingPersist> m_pendingPersists;
    std::vector<HeldMessage> m_held;
};

} // namespace celeryline
