// Elections: pre-vote, vote, leadership transfer to this replica.
#include "celeryline/base/LogInvariant.h"
#include "celeryline/consensus/RaftCore.h"

namespace celeryline {
namespace {

/// Value of RaftMessage::sequence in a Vote caused by a leadership transfer. Such a vote isn't refused
/// although the leader is alive.
constexpr std::uint64_t transferSequence = 1;

} // namespace

void RaftCore::resetElectionDeadline()
{
    auto timeout = m_options.electionTimeout.count;
    std::uniform_int_distribution<std::int64_t> extra(0, timeout);
    m_electionDeadline = m_now + Millis { timeout + extra(m_random) };
}

void RaftCore::resetRetryDeadline()
{
    // There is no leader, so a candidate without a majority only needs to wait for replies. With the full
    // timeout, two rounds of votes would delay writes by up to four election timeouts.
    auto half = m_options.electionTimeout.count / 2;
    std::uniform_int_distribution<std::int64_t> extra(0, half);
    m_electionDeadline = m_now + Millis { half + extra(m_random) };
}

bool RaftCore::hasLeaderContact() const
{
    return m_role == ConsensusRole::Leader || m_now < m_leaderContactTime + m_options.electionTimeout;
}

bool RaftCore::isUpToDate(const RaftMessage& candidate) const
{
    if (candidate.logTerm != m_log.lastTerm())
        return candidate.logTerm > m_log.lastTerm();
    return candidate.logIndex >= m_log.lastIndex();
}

void RaftCore::becomeFollower(std::uint64_t term, const std::string& leader)
{
    if (term > m_term.term)
        setTerm(term, {});
    if (m_role == ConsensusRole::Leader) {
        m_replicas.clear();
        m_outgoingSnapshot.reset();
        m_outgoingSnapshotIndex = 0;
        m_isTransferring = false;
    }
    m_role = isVoter() ? ConsensusRole::Follower : ConsensusRole::Learner;
    m_leader = leader;
    m_isPreVote = false;
    m_votes.clear();
    if (!leader.empty())
        m_election = {};
    resetElectionDeadline();
}

void RaftCore::beginElectionRound(bool isPreVote)
{
    ++m_electionRounds;
    beginRound(m_election, m_now, isPreVote ? m_term.term + 1 : m_term.term, isPreVote);
}

void RaftCore::startPreVote()
{
    becomeFollower(m_term.term, "");
    m_role = ConsensusRole::Candidate;
    m_isPreVote = true;
    beginElectionRound(true);
    resetRetryDeadline();
    for (const auto& voter : m_log.configuration().voters) {
        if (voter == m_options.self)
            continue;
        auto message = makeMessage(RaftMessageKind::PreVote, voter);
        message.term = m_term.term + 1;
        message.logIndex = m_log.lastIndex();
        message.logTerm = m_log.lastTerm();
        send(std::move(message));
    }
    countVote(m_options.self);
}

void RaftCore::startElection(bool isTransfer)
{
    requireInvariant(m_options.isDurable, "an instance without a disk never stands for election");
    becomeFollower(m_term.term, "");
    m_role = ConsensusRole::Candidate;
    resetRetryDeadline();
    setTerm(m_term.term + 1, m_options.self);
    beginElectionRound(false);
    for (const auto& voter : m_log.configuration().voters) {
        if (voter == m_options.self)
            continue;
        auto message = makeMessage(RaftMessageKind::Vote, voter);
        message.logIndex = m_log.lastIndex();
        message.logTerm = m_log.lastTerm();
        message.sequence = isTransfer ? transferSequence : 0;
        sendWhenPersisted(std::move(message));
    }
    // persisted() counts the vote of this replica.
}

void RaftCore::countVote(const ReplicaId& voter)
{
    if (m_role != ConsensusRole::Candidate || !m_log.configuration().contains(voter))
        return;
    m_votes.insert(voter.name);
    m_election.current.answers[voter.name] = VoteAnswer::Granted;
    if (m_votes.size() < m_log.configuration().majority())
        return;
    if (m_isPreVote) {
        startElection(false);
    } else if (m_votes.count(m_options.self.name) != 0) {
        becomeLeader();
    }
}

void RaftCore::becomeLeader()
{
    m_role = ConsensusRole::Leader;
    m_leader = m_options.self.name;
    m_election = {};
    m_leadingSince = m_now;
    m_nextHeartbeat = m_now + m_options.heartbeat;
    m_isTransferring = false;
    m_replicas.clear();
    auto names = m_options.peers;
    for (const auto& voter : m_log.configuration().voters)
        names.push_back(voter.name);
    for (const auto& name : names) {
        if (name != m_options.self.name)
            trackPeer(name);
    }
    appendAsLeader(LogEntryKind::Noop, m_log.lastTime(), "");
    m_termStartIndex = m_log.lastIndex();
    m_logGrowth = {};
}

VoteRefusalReason RaftCore::preVoteRefusal(const RaftMessage& message) const
{
    if (message.term <= m_term.term)
        return VoteRefusalReason::OldTerm;
    if (hasLeaderContact())
        return VoteRefusalReason::LeaderContact;
    return isUpToDate(message) ? VoteRefusalReason::None : VoteRefusalReason::NewerLog;
}

VoteRefusalReason RaftCore::voteRefusal(const RaftMessage& message) const
{
    if (message.term < m_term.term)
        return VoteRefusalReason::OldTerm;
    if (!m_term.votedFor.name.empty() && m_term.votedFor != message.from)
        return VoteRefusalReason::VotedForOther;
    return isUpToDate(message) ? VoteRefusalReason::None : VoteRefusalReason::NewerLog;
}

void RaftCore::recordRefusal(const RaftMessage& request, VoteRefusalReason reason)
{
    bool isPreVote = request.kind == RaftMessageKind::PreVote;
    m_lastVoteRefusal = { m_lastVoteRefusal.count + 1, request.from, request.term, isPreVote, reason };
}

void RaftCore::onVoteRequest(const RaftMessage& message)
{
    if (message.to.storageId != m_options.self.storageId) {
        recordRefusal(message, VoteRefusalReason::OtherStorageId);
        return;
    }
    // An empty replica may have voted with a disk that it has lost, so it must not vote again.
    if (!m_options.isDurable || m_log.lastIndex() == 0) {
        recordRefusal(message, VoteRefusalReason::EmptyLog);
        return;
    }
    if (message.kind == RaftMessageKind::PreVote) {
        onPreVote(message);
    } else {
        onVote(message);
    }
}

void RaftCore::onPreVote(const RaftMessage& message)
{
    auto reply = makeMessage(RaftMessageKind::PreVoteReply, message.from);
    auto reason = preVoteRefusal(message);
    reply.rejected = reason != VoteRefusalReason::None;
    if (reply.rejected)
        recordRefusal(message, reason);
    if (!reply.rejected)
        reply.term = message.term;
    // The reply must not contain a term that isn't durable yet.
    sendWhenPersisted(std::move(reply));
}

void RaftCore::onVote(const RaftMessage& message)
{
    bool isTransfer = message.sequence == transferSequence;
    // The current leader's lease relies on voters refusing to vote while they have contact with it.
    if (message.term > m_term.term && hasLeaderContact() && !isTransfer) {
        recordRefusal(message, VoteRefusalReason::LeaderContact);
        return;
    }
    if (message.term > m_term.term)
        becomeFollower(message.term, "");
    auto reply = makeMessage(RaftMessageKind::VoteReply, message.from);
    auto reason = voteRefusal(message);
    reply.rejected = reason != VoteRefusalReason::None;
    if (reply.rejected) {
        recordRefusal(message, reason);
    } else {
        setTerm(m_term.term, message.from);
        resetElectionDeadline();
    }
    sendWhenPersisted(std::move(reply));
}

void RaftCore::recordRefusedVote(const RaftMessage& reply)
{
    bool isPreVote = reply.kind == RaftMessageKind::PreVoteReply;
    if (m_election.rounds == 0 || isPreVote != m_election.current.isPreVote)
        return;
    m_election.current.answers[reply.from.name]
        = reply.term > m_term.term ? VoteAnswer::RefusedHigherTerm : VoteAnswer::Refused;
}

void RaftCore::onVoteReply(const RaftMessage& message)
{
    if (message.rejected)
        recordRefusedVote(message);
    if (message.rejected && message.term > m_term.term) {
        becomeFollower(message.term, "");
        return;
    }
    bool isPreVote = message.kind == RaftMessageKind::PreVoteReply;
    auto expectedTerm = isPreVote ? m_term.term + 1 : m_term.term;
    if (!message.rejected && isPreVote == m_isPreVote && message.term == expectedTerm)
        countVote(message.from);
}

void RaftCore::onTransferLeadership(const RaftMessage& message)
{
    if (message.term == m_term.term && m_leader == message.from.name && m_role == ConsensusRole::Follower)
        startElection(true);
}

} // namespace celeryline
