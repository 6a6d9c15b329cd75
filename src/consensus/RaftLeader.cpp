// The leader: replication, commits, membership repair, leadership transfer.
#include "celeryline/base/LogInvariant.h"
#include "celeryline/consensus/RaftCore.h"

#include <algorithm>

namespace celeryline {
namespace {

/// A learner is made a voter when it lacks at most so many entries, which take it a few messages.
constexpr std::uint64_t caughtUpEntries = 64;

} // namespace

const detail::ReplicaState* RaftCore::configured(const ReplicaId& voter) const
{
    auto found = m_replicas.find(voter.name);
    return found != m_replicas.end() && found->second.id == voter ? &found->second : nullptr;
}

Millis RaftCore::quorumHeardAt() const
{
    std::vector<std::int64_t> times;
    for (const auto& voter : m_log.configuration().voters) {
        const auto* replica = configured(voter);
        if (voter == m_options.self) {
            times.push_back(m_now.count);
        } else {
            times.push_back(replica == nullptr
                    ? m_leadingSince.count
                    : std::max(replica->heardSendTime.count, m_leadingSince.count));
        }
    }
    std::sort(times.rbegin(), times.rend());
    return { times[m_log.configuration().majority() - 1] };
}

Millis RaftCore::leaseEnd() const
{
    if (m_role != ConsensusRole::Leader || m_isTransferring)
        return { -1 };
    // Before the first round of replies nothing is known about the others. A tenth is kept back for clocks
    // that run at different speeds.
    bool isAlone = m_log.configuration().voters.size() == 1;
    auto heardAt = quorumHeardAt();
    if (!isAlone && heardAt <= m_leadingSince)
        return { -1 };
    return heardAt + Millis { m_options.electionTimeout.count * 9 / 10 };
}

std::uint64_t RaftCore::quorumMatch() const
{
    std::vector<std::uint64_t> matches;
    for (const auto& voter : m_log.configuration().voters) {
        const auto* replica = configured(voter);
        if (voter == m_options.self) {
            matches.push_back(m_durableIndex);
        } else {
            matches.push_back(replica == nullptr ? 0 : replica->match);
        }
    }
    std::sort(matches.rbegin(), matches.rend());
    return matches[m_log.configuration().majority() - 1];
}

void RaftCore::advanceCommit()
{
    auto index = quorumMatch();
    // Entries of earlier terms are committed only together with one of the own term.
    if (index > m_commitIndex && m_log.termAt(index) == m_term.term)
        setCommitIndex(index);
    if (m_commitIndex >= m_log.configurationIndex() && !isVoter() && m_commitIndex >= m_firstOwnIndex)
        becomeFollower(m_term.term, "");
}

detail::ReplicaState* RaftCore::replicaOf(const RaftMessage& reply)
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
        // A late message of an earlier storage must not displace a replica that is alive.
        auto lastHeard = std::max(replica.heardSendTime, m_leadingSince);
        if (!replica.id.storageId.empty() && m_now < lastHeard + m_options.electionTimeout)
            return nullptr;
        replica = detail::ReplicaState {};
        replica.id = reply.from;
        replica.next = m_log.lastIndex() + 1;
    }
    replica.heardSendTime
        = std::max(replica.heardSendTime, Millis { static_cast<std::int64_t>(reply.sequence) });
    replica.isProbeSent = false;
    return &replica;
}

void RaftCore::onAppendReply(const RaftMessage& message)
{
    auto* replica = replicaOf(message);
    if (replica == nullptr)
        return;
    if (message.rejected) {
        if (message.logIndex < replica->match)
            return; // Overtaken by a later reply.
        replica->isProbing = true;
        replica->next = std::min(replica->next, message.logIndex + 1);
        replica->next = std::max(replica->next, replica->match + 1);
        return;
    }
    requireInvariant(message.logIndex <= m_log.lastIndex(), "followers acknowledge only entries of this log");
    if (message.logIndex >= replica->match) {
        replica->match = message.logIndex;
        replica->isProbing = false;
    }
    replica->next = std::max(replica->next, replica->match + 1);
    if (replica->snapshotIndex != 0 && replica->match >= replica->snapshotIndex)
        replica->snapshotIndex = 0;
    advanceCommit();
    continueTransfer();
}

void RaftCore::onSnapshotReply(const RaftMessage& message)
{
    auto* replica = replicaOf(message);
    if (replica == nullptr || message.logIndex != replica->snapshotIndex)
        return;
    replica->isChunkSent = false;
    if (!message.snapshotEnd) {
        replica->snapshotOffset = message.snapshotOffset;
        return;
    }
    replica->match = std::max(replica->match, message.logIndex);
    replica->next = replica->match + 1;
    replica->snapshotIndex = 0;
    replica->isProbing = false;
    advanceCommit();
}

void RaftCore::sendTo(detail::ReplicaState& replica, bool isHeartbeat)
{
    if (replica.next <= m_log.baseIndex()) {
        sendSnapshotChunk(replica, isHeartbeat);
        return;
    }
    bool isFirst = true;
    for (;;) {
        bool isPaused = replica.isProbing ? replica.isProbeSent
                                          : replica.next > replica.match + m_options.maxInFlightEntries;
        bool hasNews = !isPaused
            && (replica.next <= m_log.lastIndex()
                || (!replica.isProbing && replica.commitSent < m_commitIndex) || replica.isProbing);
        if (!hasNews && !(isHeartbeat && isFirst))
            return;
        auto message = makeMessage(RaftMessageKind::Append, replica.id);
        message.logIndex = replica.next - 1;
        message.logTerm = m_log.termAt(message.logIndex);
        message.commitIndex = m_commitIndex;
        message.sequence = static_cast<std::uint64_t>(m_now.count);
        if (!isPaused || isHeartbeat) {
            // A heartbeat to a probed replica repeats the probe, which may have been lost.
            auto limit = replica.isProbing ? m_options.maxBatchBytes / 16 : m_options.maxBatchBytes;
            if (!isPaused || replica.isProbing)
                message.entries = m_log.slice(replica.next, m_log.lastIndex(), limit);
        }
        if (replica.isProbing) {
            replica.isProbeSent = true;
        } else {
            replica.next += message.entries.size();
        }
        replica.commitSent = m_commitIndex;
        isFirst = false;
        send(std::move(message));
    }
}

void RaftCore::sendSnapshotChunk(detail::ReplicaState& replica, bool isHeartbeat)
{
    // A snapshot under way is finished even if a newer one exists, unless the entries behind it are gone.
    if (m_provided == nullptr || m_providedIndex < m_log.baseIndex()) {
        m_provided.reset();
        m_output.needsSnapshot = true;
        if (isHeartbeat) {
            auto message = makeMessage(RaftMessageKind::Append, replica.id);
            message.logIndex = m_log.lastIndex();
            message.logTerm = m_log.lastTerm();
            message.sequence = static_cast<std::uint64_t>(m_now.count);
            send(std::move(message));
        }
        return;
    }
    if (replica.snapshotIndex != m_providedIndex) {
        replica.snapshotIndex = m_providedIndex;
        replica.snapshotOffset = 0;
        replica.isChunkSent = false;
    }
    // A heartbeat repeats the chunk, which may have been lost.
    if (replica.isChunkSent && !isHeartbeat)
        return;
    auto message = makeMessage(RaftMessageKind::Snapshot, replica.id);
    message.logIndex = m_providedIndex;
    message.logTerm = m_providedTerm;
    message.sequence = static_cast<std::uint64_t>(m_now.count);
    message.snapshotOffset = replica.snapshotOffset;
    message.snapshotChunk = m_provided->substr(replica.snapshotOffset, m_options.snapshotChunkBytes);
    message.snapshotEnd = replica.snapshotOffset + message.snapshotChunk.size() == m_provided->size();
    replica.isChunkSent = true;
    send(std::move(message));
}

void RaftCore::provideSnapshot(
    std::uint64_t index, std::uint64_t term, std::shared_ptr<const std::string> bytes)
{
    m_providedIndex = index;
    m_providedTerm = term;
    m_provided = std::move(bytes);
}

bool RaftCore::changeConfiguration(const VoterConfiguration& configuration)
{
    // Safe only after an entry of the own term was committed, and one change at a time.
    if (m_role != ConsensusRole::Leader || m_isTransferring || m_commitIndex < m_firstOwnIndex
        || m_commitIndex < m_log.configurationIndex() || configuration.voters.empty())
        return false;
    const auto& current = m_log.configuration();
    std::size_t common = 0;
    for (const auto& voter : configuration.voters)
        common += current.contains(voter) ? 1 : 0;
    if (current.voters.size() + configuration.voters.size() - 2 * common != 1)
        return false;
    appendOwn(LogEntryKind::Configuration, m_log.lastTime(), encodeConfiguration(configuration));
    return true;
}

bool RaftCore::isHeard(const detail::ReplicaState& replica) const
{
    return replica.heardSendTime > m_leadingSince
        && m_now < replica.heardSendTime + m_options.electionTimeout;
}

bool RaftCore::isCaughtUp(const detail::ReplicaState& replica) const
{
    // An empty replica can't vote, so as a voter it would make the loss of another one fatal.
    return isHeard(replica) && isDurableId(replica.id.storageId) && replica.match >= m_firstOwnIndex
        && replica.match + caughtUpEntries >= m_log.lastIndex();
}

bool RaftCore::isGone(const ReplicaId& voter) const
{
    if (voter == m_options.self)
        return false;
    const auto* replica = configured(voter);
    auto heardAt = replica == nullptr ? m_leadingSince : std::max(replica->heardSendTime, m_leadingSince);
    return m_now >= heardAt + m_options.voterGoneAfter;
}

void RaftCore::repairConfiguration()
{
    if (removeReplacedVoter())
        return;
    if (m_options.voterTarget == 0) {
        promoteNamedVoter();
    } else {
        keepVoterTarget();
    }
}

bool RaftCore::removeReplacedVoter()
{
    auto changed = m_log.configuration();
    for (const auto& voter : m_log.configuration().voters) {
        auto found = m_replicas.find(voter.name);
        if (found == m_replicas.end() || found->second.id == voter || !isHeard(found->second))
            continue;
        // The voter came back with another storage, so the one it voted with is lost.
        changed.voters.erase(std::find(changed.voters.begin(), changed.voters.end(), voter));
        changeConfiguration(changed);
        return true;
    }
    return false;
}

void RaftCore::promoteNamedVoter()
{
    auto changed = m_log.configuration();
    for (const auto& name : m_options.voterNames) {
        auto found = m_replicas.find(name);
        if (found == m_replicas.end() || changed.find(name) != nullptr || !isCaughtUp(found->second))
            continue;
        changed.voters.push_back(found->second.id);
        changeConfiguration(changed);
        return;
    }
}

void RaftCore::keepVoterTarget()
{
    auto changed = m_log.configuration();
    auto& voters = changed.voters;
    auto gone = std::find_if(voters.begin(), voters.end(), [&](const ReplicaId& v) { return isGone(v); });
    if (voters.size() > m_options.voterTarget) {
        if (gone == voters.end()) {
            // The lost voter came back before it was removed.
            gone = voters.back() == m_options.self ? voters.end() - 2 : voters.end() - 1;
        }
        voters.erase(gone);
        changeConfiguration(changed);
        return;
    }
    if (voters.size() == m_options.voterTarget && gone == voters.end())
        return;
    for (const auto& [name, replica] : m_replicas) {
        // The new voter comes before the lost one goes, so that no majority rests on fewer disks.
        if (changed.find(name) != nullptr || !isCaughtUp(replica))
            continue;
        voters.push_back(replica.id);
        changeConfiguration(changed);
        return;
    }
}

void RaftCore::addPeer(const std::string& name)
{
    auto& peers = m_options.peers;
    if (name == m_options.self.name || std::find(peers.begin(), peers.end(), name) != peers.end())
        return;
    peers.push_back(name);
    if (m_role == ConsensusRole::Leader && m_replicas.count(name) == 0)
        followPeer(name);
}

void RaftCore::followPeer(const std::string& name)
{
    auto& replica = m_replicas[name];
    const auto* voter = m_log.configuration().find(name);
    replica.id = voter != nullptr ? *voter : ReplicaId { name, "" };
    replica.next = m_log.lastIndex() + 1;
}

bool RaftCore::transferLeadership(Millis now)
{
    advanceTime(now);
    if (m_role != ConsensusRole::Leader)
        return false;
    const detail::ReplicaState* best = nullptr;
    auto isHeard = [this](const detail::ReplicaState& replica) {
        return m_now < replica.heardSendTime + m_options.electionTimeout;
    };
    for (const auto& voter : m_log.configuration().voters) {
        const auto* replica = configured(voter);
        if (replica != nullptr && isHeard(*replica) && (best == nullptr || replica->match > best->match))
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
    if (target.match == m_log.lastIndex())
        send(makeMessage(RaftMessageKind::TransferLeadership, target.id));
}

std::vector<ReplicaProgress> RaftCore::replicas() const
{
    std::vector<ReplicaProgress> all;
    for (const auto& [name, replica] : m_replicas) {
        ReplicaProgress progress;
        progress.name = name;
        progress.matchIndex = replica.match;
        progress.isVoter = m_log.configuration().contains(replica.id);
        progress.isReachable
            = replica.heardSendTime.count >= 0 && m_now < replica.heardSendTime + m_options.electionTimeout;
        all.push_back(std::move(progress));
    }
    return all;
}

} // namespace celeryline
