// Snapshots: sending by the leader, receiving by followers and learners.
#include "celeryline/base/Error.h"
#include "celeryline/base/LogInvariant.h"
#include "celeryline/consensus/RaftCore.h"

#include <algorithm>

namespace celeryline {
namespace {

/// Time without a reply after which a replica gets no more chunks of a snapshot until it replies again. Long
/// enough for a slow disk to store a chunk.
constexpr Millis snapshotContactTimeout { 5000 };

} // namespace

void RaftCore::sendContactProbe(const detail::ReplicaState& replica)
{
    auto message = makeMessage(RaftMessageKind::Append, replica.id);
    message.logIndex = m_log.lastIndex();
    message.logTerm = m_log.lastTerm();
    message.sequence = static_cast<std::uint64_t>(m_now.count);
    send(std::move(message));
}

void RaftCore::sendSnapshotChunk(detail::ReplicaState& replica, bool isHeartbeat)
{
    // A removed machine never replies again, and chunks for it would use as much bandwidth as a transfer.
    auto lastContact = std::max(replica.ackedSendTime, m_leadingSince);
    if (m_now >= lastContact + snapshotContactTimeout) {
        if (isHeartbeat)
            sendContactProbe(replica);
        return;
    }
    // A transfer in progress continues even if a newer snapshot exists, unless the entries that follow the
    // old one have been compacted.
    if (m_outgoingSnapshot == nullptr || m_outgoingSnapshotIndex < m_log.baseIndex()) {
        m_outgoingSnapshot.reset();
        m_output.needsSnapshot = true;
        if (isHeartbeat)
            sendContactProbe(replica);
        return;
    }
    if (replica.snapshotIndex != m_outgoingSnapshotIndex) {
        replica.snapshotIndex = m_outgoingSnapshotIndex;
        replica.snapshotOffset = 0;
        replica.isChunkInFlight = false;
    }
    // A heartbeat repeats the chunk, in case it was lost.
    if (replica.isChunkInFlight && !isHeartbeat)
        return;
    auto message = makeMessage(RaftMessageKind::Snapshot, replica.id);
    message.logIndex = m_outgoingSnapshotIndex;
    message.logTerm = m_outgoingSnapshotTerm;
    message.sequence = static_cast<std::uint64_t>(m_now.count);
    message.snapshotOffset = replica.snapshotOffset;
    message.snapshotChunk = m_outgoingSnapshot->substr(replica.snapshotOffset, m_options.snapshotChunkBytes);
    message.snapshotEnd = replica.snapshotOffset + message.snapshotChunk.size() == m_outgoingSnapshot->size();
    replica.isChunkInFlight = true;
    send(std::move(message));
}

void RaftCore::provideSnapshot(
    std::uint64_t index, std::uint64_t term, std::shared_ptr<const std::string> bytes)
{
    m_outgoingSnapshotIndex = index;
    m_outgoingSnapshotTerm = term;
    m_outgoingSnapshot = std::move(bytes);
}

void RaftCore::onSnapshotReply(const RaftMessage& message)
{
    auto* replica = recordReply(message);
    if (replica == nullptr || message.logIndex != replica->snapshotIndex)
        return;
    replica->isChunkInFlight = false;
    if (!message.snapshotEnd) {
        replica->snapshotOffset = message.snapshotOffset;
        return;
    }
    replica->matchIndex = std::max(replica->matchIndex, message.logIndex);
    replica->nextIndex = replica->matchIndex + 1;
    replica->snapshotIndex = 0;
    replica->isProbing = false;
    advanceCommitIndex();
}

void RaftCore::onSnapshot(const RaftMessage& message)
{
    if (message.term < m_term.term) {
        auto reply = makeMessage(RaftMessageKind::AppendReply, message.from);
        reply.rejected = true;
        reply.logIndex = m_log.lastIndex();
        sendWhenPersisted(std::move(reply));
        return;
    }
    acceptLeader(message);
    auto reply = makeMessage(RaftMessageKind::SnapshotReply, message.from);
    reply.sequence = message.sequence;
    reply.logIndex = message.logIndex;
    reply.snapshotOffset = 0;
    if (message.logIndex <= m_commitIndex || m_log.termAt(message.logIndex) == message.logTerm) {
        // The log already contains the snapshot's entries. Installing it could remove later entries that were
        // acknowledged.
        if (message.logIndex > m_commitIndex)
            setCommitIndex(message.logIndex);
        m_incomingSnapshot.clear();
        reply.snapshotEnd = true;
        sendWhenPersisted(std::move(reply));
        return;
    }
    if (message.snapshotOffset == 0 || message.logIndex != m_incomingSnapshotIndex
        || message.logTerm != m_incomingSnapshotTerm) {
        m_incomingSnapshot.clear();
        m_incomingSnapshotIndex = message.logIndex;
        m_incomingSnapshotTerm = message.logTerm;
    }
    if (message.snapshotOffset == m_incomingSnapshot.size()) {
        m_incomingSnapshot += message.snapshotChunk;
    } else {
        reply.rejected = true;
    }
    if (!reply.rejected && message.snapshotEnd) {
        try {
            installSnapshot(message);
            reply.snapshotEnd = true;
        } catch (const Error&) {
            reply.rejected = true; // Makes the leader restart at offset 0.
        }
        m_incomingSnapshot.clear();
    }
    reply.snapshotOffset = m_incomingSnapshot.size();
    sendWhenPersisted(std::move(reply));
}

void RaftCore::installSnapshot(const RaftMessage& message)
{
    auto received = std::make_shared<ReceivedSnapshot>();
    received->snapshot
        = decodeSnapshot(m_incomingSnapshot, "snapshot received from \"" + message.from.name + "\"");
    received->bytes = std::move(m_incomingSnapshot);
    const auto& snapshot = received->snapshot;
    requireInvariant(snapshot.index == message.logIndex && snapshot.term == message.logTerm,
        "a snapshot is the one that was announced");
    m_log = RaftLog(snapshot, {});
    m_commitIndex = snapshot.index;
    m_deliveredIndex = snapshot.index;
    m_durableIndex = 0;
    m_role = isVoter() ? ConsensusRole::Follower : ConsensusRole::Learner;
    m_output.entries.clear();
    m_output.truncateFrom = 0;
    m_output.snapshot = received;
    m_mustPersist = true;
}

} // namespace celeryline
