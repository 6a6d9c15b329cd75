// The leader: replication, commits, leadership transfer.
#include "celeryline/base/LogInvariant.h"
#include "celeryline/consensus/RaftCore.h"

#include <algorithm>

namespace celeryline {

const detail::ReplicaState* RaftCore::findReplica(const ReplicaId& voter) const
{
    auto found = m_replicas.find(voter.name);
    return found != m_replicas.end() && found->second.id == voter ? &found->second : nullptr;
}

Millis RaftCore::quorumContactTime() const
{
    std::vector<std::int64_t> times;
    for (const auto& voter : m_log.configuration().voters) {
        auto time = voter == m_options.self ? m_now : lastContact(voter);
        times.push_back(time.count);
    }
    std::sort(times.rbegin(), times.rend());
    return { times[m_log.configuration().majority() - 1] };
}

Millis RaftCore::replyDelay() const
{
    std::vector<std::int64_t> delays;
    for (const auto& voter : m_log.configuration().voters) {
        const auto* replica = findReplica(voter);
        if (voter == m_options.self) {
            delays.push_back(0);
        } else if (replica != nullptr && replica->ackedSendTime > m_leadingSince && !isLost(voter)) {
            delays.push_back(replica->replyDelay.count);
        }
    }
    auto majority = m_log.configuration().majority();
    if (m_role != ConsensusRole::Leader || delays.size() < majority)
        return {};
    std::sort(delays.begin(), delays.end());
    return { delays[majority - 1] };
}

Millis RaftCore::replicationDelay() const
{
    if (m_role != ConsensusRole::Leader)
        return {};
    return std::max(replyDelay(), m_now - quorumContactTime() - m_options.heartbeat);
}

Millis RaftCore::quorumTimeout() const
{
    // The next replies may be in this process's own input already.
    return m_options.electionTimeout + std::min(replyDelay(), m_options.electionTimeout);
}

Millis RaftCore::leaseEnd() const
{
    if (m_role != ConsensusRole::Leader || m_isTransferring)
        return { -1 };
    // There is no lease before the first round of replies. A tenth of the timeout is reserved for differences
    // in clock speed.
    bool isSingleVoter = m_log.configuration().voters.size() == 1;
    auto contactTime = quorumContactTime();
    if (!isSingleVoter && contactTime <= m_leadingSince)
        return { -1 };
    return contactTime + Millis { m_options.electionTimeout.count * 9 / 10 };
}

std::uint64_t RaftCore::quorumMatchIndex() const
{
    std::vector<std::uint64_t> matches;
    for (const auto& voter : m_log.configuration().voters) {
        const auto* replica = findReplica(voter);
        if (voter == m_options.self) {
            matches.push_back(m_durableIndex);
        } else {
            matches.push_back(replica == nullptr ? 0 : replica->matchIndex);
        }
    }
    std::sort(matches.rbegin(), matches.rend());
    return matches[m_log.configuration().majority() - 1];
}

void RaftCore::advanceCommitIndex()
{
    auto index = quorumMatchIndex();
    // Entries of earlier terms are committed only together with an entry of the current term.
    if (index > m_commitIndex && m_log.termAt(index) == m_term.term)
        setCommitIndex(index);
    if (m_commitIndex >= m_log.configurationIndex() && !isVoter() && m_commitIndex >= m_termStartIndex)
        becomeFollower(m_term.term, "");
}

detail::ReplicaState* RaftCore::recordReply(const RaftMessage& reply)
{
    if (reply.term > m_term.term) {
        becomeFollower(reply.term, "");
        return nullptr;
    }
    if (m_role != ConsensusRole::Leader || reply.term < m_term.term)
        return nullptr;
    auto found = m_replicas.find(reply.from.name);
    if (found == m_replicas.end())
        return nullptr;
    auto& replica = found->second;
    if (replica.id != reply.from) {
        // A delayed message from an earlier storage id must not displace a live replica.
        auto lastContact = std::max(replica.ackedSendTime, m_leadingSince);
        if (!replica.id.storageId.empty() && m_now < lastContact + m_options.electionTimeout)
            return nullptr;
        replica = detail::ReplicaState {};
        replica.id = reply.from;
        replica.nextIndex = m_log.lastIndex() + 1;
    }
    Millis sentAt { static_cast<std::int64_t>(reply.sequence) };
    replica.ackedSendTime = std::max(replica.ackedSendTime, sentAt);
    replica.replyDelay = m_now - sentAt;
    replica.isProbeInFlight = false;
    return &replica;
}

void RaftCore::onAppendReply(const RaftMessage& message)
{
    auto* replica = recordReply(message);
    if (replica == nullptr)
        return;
    if (message.rejected) {
        if (message.logIndex < replica->matchIndex)
            return; // Reordered: a later reply was received first.
        replica->isProbing = true;
        replica->nextIndex = std::min(replica->nextIndex, message.logIndex + 1);
        replica->nextIndex = std::max(replica->nextIndex, replica->matchIndex + 1);
        return;
    }
    requireInvariant(message.logIndex <= m_log.lastIndex(), "followers acknowledge only entries of this log");
    if (message.logIndex >= replica->matchIndex) {
        replica->matchIndex = message.logIndex;
        replica->isProbing = false;
    }
    replica->nextIndex = std::max(replica->nextIndex, replica->matchIndex + 1);
    if (replica->snapshotIndex != 0 && replica->matchIndex >= replica->snapshotIndex)
        replica->snapshotIndex = 0;
    advanceCommitIndex();
    continueTransfer();
}

void RaftCore::sendTo(detail::ReplicaState& replica, bool isHeartbeat)
{
    if (replica.nextIndex <= m_log.baseIndex()) {
        sendSnapshotChunk(replica, isHeartbeat);
        return;
    }
    bool isFirst = true;
    for (;;) {
        bool isPaused = replica.isProbing
            ? replica.isProbeInFlight
            : replica.nextIndex > replica.matchIndex + m_options.maxInFlightEntries;
        bool hasPendingData = !isPaused
            && (replica.nextIndex <= m_log.lastIndex()
                || (!replica.isProbing && replica.sentCommitIndex < m_commitIndex) || replica.isProbing);
        if (!hasPendingData && !(isHeartbeat && isFirst))
            return;
        auto message = makeMessage(RaftMessageKind::Append, replica.id);
        message.logIndex = replica.nextIndex - 1;
        message.logTerm = m_log.termAt(message.logIndex);
        message.commitIndex = m_commitIndex;
        message.sequence = static_cast<std::uint64_t>(m_now.count);
        if (!isPaused || isHeartbeat) {
            // A heartbeat to a probed replica repeats the probe, in case it was lost.
            auto limit = replica.isProbing ? m_options.maxBatchBytes / 16 : m_options.maxBatchBytes;
            if (!isPaused || replica.isProbing)
                message.entries = m_log.slice(replica.nextIndex, m_log.lastIndex(), limit);
        }
        if (replica.isProbing) {
            replica.isProbeInFlight = true;
        } else {
            replica.nextIndex += message.entries.size();
        }
        replica.sentCommitIndex = m_commitIndex;
        isFirst = false;
        send(std::move(message));
    }
}

bool RaftCore::transferLeadership(Millis now)
{
    advanceTime(now);
    if (m_role != ConsensusRole::Leader)
        return false;
    const detail::ReplicaState* best = nullptr;
    auto hasRecentReply = [this](const detail::ReplicaState& replica) {
        return m_now < replica.ackedSendTime + m_options.electionTimeout;
    };
    for (const auto& voter : m_log.configuration().voters) {
        const auto* replica = findReplica(voter);
        if (replica != nullptr && hasRecentReply(*replica) && !isLeaving(replica->id)
            && (best == nullptr || replica->matchIndex > best->matchIndex))
            best = replica;
    }
    if (best == nullptr)
        return false;
    if (m_isTransferring)
        return true;
    m_isTransferring = true;
    m_transferTarget = best->id.name;
    m_transferDeadline = m_now + m_options.electionTimeout;
    continueTransfer();
    return true;
}

void RaftCore::continueTransfer()
{
    if (m_role != ConsensusRole::Leader || !m_isTransferring)
        return;
    const auto& target = m_replicas[m_transferTarget];
    if (target.matchIndex == m_log.lastIndex())
        send(makeMessage(RaftMessageKind::TransferLeadership, target.id));
}

} // namespace celeryline
