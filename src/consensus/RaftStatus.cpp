// Status queries: what the log lines and metrics about voters and elections are made from.
#include "celeryline/consensus/RaftCore.h"

#include <algorithm>

namespace celeryline {

std::vector<ReplicaProgress> RaftCore::replicas() const
{
    std::vector<ReplicaProgress> all;
    for (const auto& [name, replica] : m_replicas) {
        ReplicaProgress progress;
        progress.name = name;
        progress.matchIndex = replica.matchIndex;
        progress.isVoter = m_log.configuration().contains(replica.id);
        progress.isReachable
            = replica.ackedSendTime.count >= 0 && m_now < replica.ackedSendTime + m_options.electionTimeout;
        all.push_back(std::move(progress));
    }
    return all;
}

VoterContact RaftCore::contactOf(const ReplicaId& voter) const
{
    if (voter == m_options.self)
        return { voter, true, false, {} };
    const auto* replica = findReplica(voter);
    bool isReached = replica != nullptr && hasContact(*replica);
    return { voter, isReached, isLost(voter), m_now - lastContact(voter) };
}

std::optional<VoterSetStatus> RaftCore::voterSetStatus() const
{
    if (m_role != ConsensusRole::Leader)
        return std::nullopt;
    VoterSetStatus status;
    status.term = m_term.term;
    status.blocker = changeBlocker();
    for (const auto& voter : m_log.configuration().voters)
        status.voters.push_back(contactOf(voter));
    for (const auto& [name, replica] : m_replicas) {
        if (m_log.configuration().find(name) == nullptr) {
            auto missing = m_log.lastIndex() - std::min(replica.matchIndex, m_log.lastIndex());
            status.learners.push_back({ replica.id, readiness(replica), missing });
        }
    }
    return status;
}

std::optional<ElectionStatus> RaftCore::electionStatus() const
{
    if (m_election.rounds == 0 || !isVoter())
        return std::nullopt;
    ElectionStatus status;
    status.term = m_election.current.term;
    status.isPreVote = m_election.current.isPreVote;
    status.rounds = m_election.rounds;
    status.elapsed = m_now - m_election.start;
    for (const auto& voter : m_log.configuration().voters)
        status.answers.push_back({ voter, answerOf(m_election, voter.name) });
    return status;
}

bool RaftCore::hasLeaderCommits() const
{
    return !m_leader.empty() && m_leaderCommitIndex != 0 && m_log.lastIndex() >= m_leaderCommitIndex;
}

} // namespace celeryline
