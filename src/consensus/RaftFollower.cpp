// Followers and learners: entries from the leader.
#include "celeryline/base/LogInvariant.h"
#include "celeryline/consensus/RaftCore.h"

#include <algorithm>

namespace celeryline {

void RaftCore::acceptLeader(const RaftMessage& message)
{
    requireInvariant(
        m_role != ConsensusRole::Leader || message.term > m_term.term, "at most one leader per term");
    requireInvariant(message.term > m_term.term || m_leader.empty() || m_leader == message.from.name,
        "at most one leader per term");
    if (message.term > m_term.term || m_role == ConsensusRole::Candidate || m_leader.empty())
        becomeFollower(message.term, message.from.name);
    m_leaderContactTime = m_now;
    resetElectionDeadline();
}

void RaftCore::onAppend(const RaftMessage& message)
{
    auto reply = makeMessage(RaftMessageKind::AppendReply, message.from);
    reply.sequence = message.sequence;
    if (message.term < m_term.term) {
        reply.rejected = true;
        reply.logIndex = m_log.lastIndex();
        sendWhenPersisted(std::move(reply));
        return;
    }
    acceptLeader(message);
    m_leaderCommitIndex = std::max(m_leaderCommitIndex, message.commitIndex);
    reply.term = m_term.term;

    auto previous = message.logIndex;
    if (previous < m_log.baseIndex()) {
        // Everything up to the base is committed; the leader continues after it.
        reply.logIndex = std::min(m_commitIndex, m_durableIndex);
        sendWhenPersisted(std::move(reply));
        return;
    }
    if (previous > m_log.lastIndex() || m_log.termAt(previous) != message.logTerm) {
        reply.rejected = true;
        auto hint = std::min(previous - 1, m_log.lastIndex());
        // Skips all entries of the conflicting term.
        auto conflictingTerm = m_log.termAt(std::min(previous, m_log.lastIndex()));
        while (previous <= m_log.lastIndex() && hint > m_commitIndex && m_log.termAt(hint) == conflictingTerm)
            --hint;
        reply.logIndex = std::max(hint, m_commitIndex);
        sendWhenPersisted(std::move(reply));
        return;
    }
    appendReceived(message.entries);
    auto lastMatching = previous + message.entries.size();
    if (std::min(message.commitIndex, lastMatching) > m_commitIndex)
        setCommitIndex(std::min(message.commitIndex, lastMatching));
    reply.logIndex = lastMatching;
    sendWhenPersisted(std::move(reply));
}

void RaftCore::appendReceived(const std::vector<LogEntry>& entries)
{
    for (const auto& entry : entries) {
        if (entry.index <= m_log.lastIndex()) {
            if (m_log.termAt(entry.index) == entry.term) {
                requireInvariant(
                    m_log.at(entry.index) == entry, "entries with equal index and term are equal");
                continue;
            }
            requireInvariant(entry.index > m_commitIndex, "committed entries are never replaced");
            m_log.truncateFrom(entry.index);
            m_durableIndex = std::min(m_durableIndex, entry.index - 1);
            for (auto& pending : m_pendingPersists) {
                pending.lastIndex = std::min(pending.lastIndex, entry.index - 1);
                pending.lastTerm = m_log.termAt(pending.lastIndex);
            }
            auto& unwritten = m_output.entries;
            unwritten.erase(std::remove_if(unwritten.begin(), unwritten.end(),
                                [&](const LogEntry& e) { return e.index >= entry.index; }),
                unwritten.end());
            m_output.truncateFrom
                = m_output.truncateFrom == 0 ? entry.index : std::min(m_output.truncateFrom, entry.index);
        }
        m_log.append(entry);
        m_output.entries.push_back(entry);
        m_mustPersist = true;
    }
    // A configuration takes effect as soon as it is in the log.
    m_role = isVoter() ? ConsensusRole::Follower : ConsensusRole::Learner;
}

} // namespace celeryline
