#include "celeryline/consensus/RaftCore.h"

#include "celeryline/base/LogInvariant.h"

#include <algorithm>
#include <utility>

namespace celeryline {

RaftCore::RaftCore(RaftOptions options, TermRecord term, const Snapshot& snapshot,
    const std::vector<LogEntry>& entries, Millis now)
    : m_options(std::move(options))
    , m_term(std::move(term))
    , m_log(snapshot, entries)
    , m_durableIndex(m_log.lastIndex())
    , m_commitIndex(snapshot.index)
    , m_deliveredIndex(snapshot.index)
    , m_now(now)
    , m_random(m_options.seed)
    // The leader may hold a lease that this replica granted before its restart.
    , m_leaderContactTime(now)
{
    if (m_log.lastTerm() > m_term.term)
        m_term = { m_log.lastTerm(), {} };
    m_role = isVoter() ? ConsensusRole::Follower : ConsensusRole::Learner;
    resetElectionDeadline();
}

void RaftCore::advanceTime(Millis now) { m_now = std::max(m_now, now); }

void RaftCore::tick(Millis now)
{
    advanceTime(now);
    if (m_role == ConsensusRole::Leader) {
        // Check-quorum: a leader that lost contact with the majority must not keep callers waiting.
        bool hasLostQuorum = m_now >= quorumContactTime() + quorumTimeout();
        // A leader that gave up its lease for a transfer must step down, because the target may still be
        // elected.
        if (hasLostQuorum || (m_isTransferring && m_now >= m_transferDeadline)) {
            becomeFollower(m_term.term, "");
            return;
        }
        if (m_now >= m_nextHeartbeat) {
            m_nextHeartbeat = m_now + m_options.heartbeat;
            recordLastIndex(m_logGrowth, { m_now, m_log.lastIndex() }, m_now - m_options.electionTimeout);
            maintainConfiguration();
            for (auto& [name, replica] : m_replicas)
                sendTo(replica, true);
            continueTransfer();
        }
        return;
    }
    if (!m_leader.empty() && !hasLeaderContact())
        m_leader.clear();
    if (!isVoter())
        return;
    bool isSingleVoter = m_log.configuration().voters.size() == 1;
    if (isSingleVoter && m_role != ConsensusRole::Candidate) {
        startElection(false);
    } else if (m_now >= m_electionDeadline) {
        startPreVote();
    }
}

std::optional<Millis> RaftCore::nextTimer() const
{
    if (m_role == ConsensusRole::Leader)
        return m_nextHeartbeat;
    if (!isVoter())
        return std::nullopt;
    return m_electionDeadline;
}

void RaftCore::receive(Millis now, const RaftMessage& message)
{
    advanceTime(now);
    const auto& self = m_options.self;
    if (message.to.name != self.name || message.from == self)
        return;
    bool isForThisReplica = message.to.storageId == self.storageId;
    switch (message.kind) {
    case RaftMessageKind::PreVote:
    case RaftMessageKind::Vote:
        onVoteRequest(message);
        break;
    case RaftMessageKind::PreVoteReply:
    case RaftMessageKind::VoteReply:
        if (isForThisReplica)
            onVoteReply(message);
        break;
    case RaftMessageKind::Append:
    case RaftMessageKind::Snapshot:
        if (isForThisReplica || message.to.storageId.empty()) {
            if (message.kind == RaftMessageKind::Append) {
                onAppend(message);
            } else {
                onSnapshot(message);
            }
        } else if (message.term >= m_term.term) {
            rejectForOtherStorageId(message);
        }
        break;
    case RaftMessageKind::AppendReply:
        if (isForThisReplica)
            onAppendReply(message);
        break;
    case RaftMessageKind::SnapshotReply:
        if (isForThisReplica)
            onSnapshotReply(message);
        break;
    case RaftMessageKind::TransferLeadership:
        if (isForThisReplica)
            onTransferLeadership(message);
        break;
    }
}

void RaftCore::rejectForOtherStorageId(const RaftMessage& message)
{
    auto reply = makeMessage(RaftMessageKind::AppendReply, message.from);
    reply.term = message.term;
    reply.rejected = true;
    reply.logIndex = m_log.lastIndex();
    reply.sequence = message.sequence;
    send(std::move(reply));
}

std::uint64_t RaftCore::propose(Millis now, Millis wallTime, const std::vector<std::string>& payloads)
{
    advanceTime(now);
    if (m_role != ConsensusRole::Leader || m_isTransferring || payloads.empty())
        return 0;
    auto first = m_log.lastIndex() + 1;
    for (const auto& payload : payloads)
        appendAsLeader(LogEntryKind::Command, wallTime, payload);
    return first;
}

bool RaftCore::form(const LogEntry& entry)
{
    if (m_log.lastIndex() != 0 || entry.index != 1 || entry.kind != LogEntryKind::Configuration
        || !decodeConfiguration(entry.payload).contains(m_options.self))
        return false;
    setTerm(std::max(m_term.term, entry.term), m_term.term >= entry.term ? m_term.votedFor : ReplicaId {});
    m_log.append(entry);
    m_output.entries.push_back(entry);
    m_mustPersist = true;
    m_role = ConsensusRole::Follower;
    resetElectionDeadline();
    return true;
}

void RaftCore::appendAsLeader(LogEntryKind kind, Millis time, std::string payload)
{
    LogEntry entry;
    entry.index = m_log.lastIndex() + 1;
    entry.term = m_term.term;
    entry.kind = kind;
    entry.time = std::max(time, m_log.lastTime());
    entry.payload = std::move(payload);
    m_log.append(entry);
    m_output.entries.push_back(std::move(entry));
    m_mustPersist = true;
}

void RaftCore::setTerm(std::uint64_t term, const ReplicaId& votedFor)
{
    requireInvariant(term >= m_term.term, "the term never decreases");
    requireInvariant(term > m_term.term || m_term.votedFor.name.empty() || m_term.votedFor == votedFor,
        "at most one vote in a term");
    requireInvariant(votedFor.name.empty() || m_log.lastIndex() != 0, "an empty replica never votes");
    // Acknowledgements of an earlier term may refer to entries that a new leader replaces before they become
    // durable.
    if (term > m_term.term)
        m_deferredMessages.clear();
    m_term = { term, votedFor };
    m_output.term = m_term;
    m_mustPersist = true;
}

void RaftCore::persisted(std::uint64_t persistId)
{
    if (persistId == 0)
        return;
    requireInvariant(persistId == m_persistedId + 1, "outputs are persisted in order");
    m_persistedId = persistId;
    auto pending = m_pendingPersists.front();
    m_pendingPersists.erase(m_pendingPersists.begin());
    // An entry that has been replaced in the meantime has a different term.
    if (pending.lastIndex > m_durableIndex && m_log.termAt(pending.lastIndex) == pending.lastTerm)
        m_durableIndex = pending.lastIndex;
    std::vector<DeferredMessage> remaining;
    for (auto& deferred : m_deferredMessages) {
        if (deferred.persistId <= persistId) {
            send(std::move(deferred.message));
        } else {
            remaining.push_back(std::move(deferred));
        }
    }
    m_deferredMessages = std::move(remaining);
    if (m_role == ConsensusRole::Candidate && !m_isPreVote && m_term.votedFor == m_options.self
        && m_pendingPersists.empty() && !m_mustPersist)
        countVote(m_options.self);
    if (m_role == ConsensusRole::Leader)
        advanceCommitIndex();
}

void RaftCore::compact(std::uint64_t index, std::uint64_t retainedEntries)
{
    requireInvariant(
        index <= m_deliveredIndex && index >= m_log.baseIndex(), "only applied entries are compacted");
    if (index > retainedEntries)
        m_log.compactThrough(index - retainedEntries);
}

RaftMessage RaftCore::makeMessage(RaftMessageKind kind, const ReplicaId& to) const
{
    RaftMessage message;
    message.kind = kind;
    message.from = m_options.self;
    message.to = to;
    message.term = m_term.term;
    return message;
}

void RaftCore::sendWhenPersisted(RaftMessage message)
{
    if (m_mustPersist) {
        m_deferredMessages.push_back({ m_nextPersistId, std::move(message) });
    } else if (!m_pendingPersists.empty()) {
        m_deferredMessages.push_back({ m_pendingPersists.back().id, std::move(message) });
    } else {
        send(std::move(message));
    }
}

void RaftCore::setCommitIndex(std::uint64_t index)
{
    requireInvariant(index >= m_commitIndex, "the commit index never decreases");
    requireInvariant(index <= m_log.lastIndex(), "committed entries are in the log");
    m_commitIndex = index;
}

RaftOutput RaftCore::takeOutput()
{
    if (m_role == ConsensusRole::Leader) {
        for (auto& [name, replica] : m_replicas)
            sendTo(replica, false);
    }
    auto lastToApply = std::min(m_commitIndex, m_durableIndex);
    for (; m_deliveredIndex < lastToApply; ++m_deliveredIndex)
        m_output.committed.push_back(m_log.at(m_deliveredIndex + 1));
    if (m_mustPersist) {
        m_mustPersist = false;
        m_output.persistId = m_nextPersistId++;
        m_pendingPersists.push_back({ m_output.persistId, m_log.lastIndex(), m_log.lastTerm() });
    }
    return std::exchange(m_output, RaftOutput {});
}

} // namespace celeryline
