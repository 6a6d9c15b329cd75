// RaftCore: changes of the voter set by the leader.
#include "celeryline/consensus/RaftCore.h"
#include "celeryline/consensus/VoterReplacement.h"

#include <algorithm>

namespace celeryline {

VoterChangeBlocker RaftCore::changeBlocker() const
{
    if (m_isTransferring)
        return VoterChangeBlocker::LeadershipTransfer;
    // Safe only after an entry of the current term is committed, and for one change at a time.
    if (m_commitIndex < m_termStartIndex)
        return VoterChangeBlocker::TermStartNotCommitted;
    if (m_commitIndex < m_log.configurationIndex())
        return VoterChangeBlocker::ChangeInProgress;
    return VoterChangeBlocker::None;
}

bool RaftCore::changeConfiguration(const VoterConfiguration& configuration)
{
    return changeVoters(configuration, VoterChangeReason::Requested);
}

bool RaftCore::changeVoters(
    const VoterConfiguration& configuration, VoterChangeReason reason, const ReplicaId& lostVoter)
{
    if (m_role != ConsensusRole::Leader || changeBlocker() != VoterChangeBlocker::None
        || configuration.voters.empty())
        return false;
    const auto& current = m_log.configuration();
    std::size_t common = 0;
    for (const auto& voter : configuration.voters)
        common += current.contains(voter) ? 1 : 0;
    if (current.voters.size() + configuration.voters.size() - 2 * common != 1)
        return false;
    appendAsLeader(LogEntryKind::Configuration, m_log.lastTime(), encodeConfiguration(configuration));
    auto silent = lostVoter.name.empty() ? Millis {} : m_now - lastContact(lostVoter);
    m_lastVoterChange = { m_log.lastIndex(), reason, lostVoter, silent };
    return true;
}

bool RaftCore::hasContact(const detail::ReplicaState& replica) const
{
    return replica.ackedSendTime > m_leadingSince
        && m_now < replica.ackedSendTime + m_options.electionTimeout;
}

LearnerReadiness RaftCore::readiness(const detail::ReplicaState& replica) const
{
    if (!hasContact(replica))
        return LearnerReadiness::NotInContact;
    if (!isDurableId(replica.id.storageId))
        return LearnerReadiness::NoDurableStorage;
    if (isLeaving(replica.id))
        return LearnerReadiness::Leaving;
    // An empty replica can't vote. As a voter it would count towards the majority, so that the loss of
    // another voter could leave the log without one.
    // The lag is limited in time, since a learner that keeps up may lack any number of entries of a fast log.
    bool hasEntries = replica.matchIndex >= m_termStartIndex
        && replica.matchIndex >= lastIndexAt(m_logGrowth, m_now - m_options.electionTimeout);
    return hasEntries ? LearnerReadiness::Ready : LearnerReadiness::LacksEntries;
}

bool RaftCore::isCaughtUp(const detail::ReplicaState& replica) const
{
    return readiness(replica) == LearnerReadiness::Ready;
}

Millis RaftCore::lastContact(const ReplicaId& voter) const
{
    const auto* replica = findReplica(voter);
    return replica == nullptr ? m_leadingSince : std::max(replica->ackedSendTime, m_leadingSince);
}

void RaftCore::setLeaving(Millis now, const ReplicaId& replica, bool isLeaving)
{
    advanceTime(now);
    for (auto item = m_leavingUntil.begin(); item != m_leavingUntil.end();)
        item = m_now < item->second ? std::next(item) : m_leavingUntil.erase(item);
    if (isLeaving) {
        m_leavingUntil[replica] = m_now + leavingTimeout;
    } else {
        m_leavingUntil.erase(replica);
    }
}

bool RaftCore::isLeaving(const ReplicaId& replica) const
{
    auto found = m_leavingUntil.find(replica);
    return found != m_leavingUntil.end() && m_now < found->second;
}

bool RaftCore::isLost(const ReplicaId& voter) const
{
    if (voter == m_options.self)
        return false;
    return isLeaving(voter)
        || m_now >= lastContact(voter) + voterReplacementTimeout(m_options.electionTimeout);
}

void RaftCore::maintainConfiguration()
{
    if (removeReplacedVoter())
        return;
    if (m_options.voterTarget == 0) {
        promoteConfiguredVoter();
    } else {
        maintainVoterTarget();
    }
}

bool RaftCore::removeReplacedVoter()
{
    auto changed = m_log.configuration();
    for (const auto& voter : m_log.configuration().voters) {
        auto found = m_replicas.find(voter.name);
        if (found == m_replicas.end() || found->second.id == voter || !hasContact(found->second))
            continue;
        // The voter returned with a new storage id, so the disk that it voted with is lost.
        changed.voters.erase(std::find(changed.voters.begin(), changed.voters.end(), voter));
        changeVoters(changed, VoterChangeReason::DiskReplaced);
        return true;
    }
    return false;
}

void RaftCore::promoteConfiguredVoter()
{
    auto changed = m_log.configuration();
    for (const auto& name : m_options.voterNames) {
        auto found = m_replicas.find(name);
        if (found == m_replicas.end() || changed.find(name) != nullptr || !isCaughtUp(found->second))
            continue;
        changed.voters.push_back(found->second.id);
        changeVoters(changed, VoterChangeReason::ConfiguredVoter);
        return;
    }
}

void RaftCore::maintainVoterTarget()
{
    auto changed = m_log.configuration();
    auto& voters = changed.voters;
    auto lost = std::find_if(voters.begin(), voters.end(), [&](const ReplicaId& v) { return isLost(v); });
    auto lostVoter = lost == voters.end() ? ReplicaId {} : *lost;
    if (voters.size() > m_options.voterTarget) {
        auto reason = VoterChangeReason::LostVoterRemoved;
        if (lost == voters.end()) {
            // The lost voter returned before it was removed, or another data centre got a voter.
            lost = voters.begin() + std::distance(voters.cbegin(), redundantVoter(voters));
            reason = VoterChangeReason::TooManyVoters;
        }
        voters.erase(lost);
        changeVoters(changed, reason, lostVoter);
        return;
    }
    auto remaining = voters;
    remaining.erase(std::remove(remaining.begin(), remaining.end(), lostVoter), remaining.end());
    const auto* learner = bestLearner(remaining);
    if (learner == nullptr)
        return;
    bool isComplete = voters.size() == m_options.voterTarget && lost == voters.end();
    if (isComplete && !improvesSpread(learner->id, voters))
        return;
    // The new voter is added before the lost one is removed, so that a majority never relies on fewer disks.
    voters.push_back(learner->id);
    auto reason = isComplete     ? VoterChangeReason::DataCentreShared
        : lostVoter.name.empty() ? VoterChangeReason::TooFewVoters
        : isLeaving(lostVoter)   ? VoterChangeReason::VoterLeaving
                                 : VoterChangeReason::VoterLost;
    changeVoters(changed, reason, lostVoter);
}

void RaftCore::addPeer(const std::string& name)
{
    auto& peers = m_options.peers;
    if (name == m_options.self.name || std::find(peers.begin(), peers.end(), name) != peers.end())
        return;
    peers.push_back(name);
    if (m_role == ConsensusRole::Leader && m_replicas.count(name) == 0)
        trackPeer(name);
}

void RaftCore::trackPeer(const std::string& name)
{
    auto& replica = m_replicas[name];
    const auto* voter = m_log.configuration().find(name);
    replica.id = voter != nullptr ? *voter : ReplicaId { name, "" };
    replica.nextIndex = m_log.lastIndex() + 1;
}

} // namespace celeryline
