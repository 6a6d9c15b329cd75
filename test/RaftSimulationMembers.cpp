// Nodes that are added, removed and frozen while the simulation runs, and the checks of the voter set.
#include "RaftSimulation.h"

#include <algorithm>

namespace celeryline::test {
namespace {

/// Intervals at which a control process introduces itself, in milliseconds.
constexpr std::int64_t introductionIntervalWithoutLeader = 250;
constexpr std::int64_t introductionIntervalWithLeader = 2000;

/// The list of nodes that a starting node takes its seeds from is this old, in milliseconds.
constexpr std::int64_t seedLag = 3000;
constexpr std::size_t maxSeeds = 3;

} // namespace

void RaftSimulation::addNode(const std::string& name)
{
    requireInvariant(raft.voterTarget != 0, "nodes are added only with a target number of voters");
    requireInvariant(m_addedAt.emplace(name, m_now).second, "an added node has a new name");
    insertNode(name, true);
    startNode(name);
}

void RaftSimulation::removeNode(const std::string& name)
{
    m_diskLostAt[m_nodes.at(name).storageId] = m_now;
    m_removedAt[name] = m_now;
    m_nodes.erase(name);
}

void RaftSimulation::thaw(const std::string& name)
{
    auto& node = m_nodes.at(name);
    node.isFrozen = false;
    for (auto& message : node.unread)
        m_inFlight.emplace(m_now + 1, std::move(message));
    node.unread.clear();
}

void RaftSimulation::shutDown(const std::string& name)
{
    auto& leaving = m_nodes.at(name);
    if (leaving.core == nullptr)
        return;
    leaving.core->transferLeadership(timeOf(leaving));
    process(leaving);
    const ReplicaId id { name, leaving.storageId };
    for (auto& [other, node] : m_nodes) {
        if (other != name && isRunning(other))
            node.core->setLeaving(timeOf(node), id, true);
    }
}

bool RaftSimulation::isRunning(const std::string& name) const
{
    auto found = m_nodes.find(name);
    return found != m_nodes.end() && found->second.core != nullptr && !found->second.isFrozen;
}

bool RaftSimulation::isLinkUp(const std::string& from, const std::string& to) const
{
    return m_blockedLinks.count({ from, to }) == 0;
}

void RaftSimulation::initializeAddresses(Node& node)
{
    std::vector<std::string> seeds;
    for (const auto& [name, unused] : m_nodes) {
        auto added = m_addedAt.find(name);
        if (added == m_addedAt.end() || added->second <= m_now - seedLag)
            seeds.push_back(name);
    }
    for (const auto& [name, removedAt] : m_removedAt) {
        if (removedAt > m_now - seedLag)
            seeds.push_back(name);
    }
    std::shuffle(seeds.begin(), seeds.end(), m_random);
    seeds.resize(std::min(seeds.size(), maxSeeds));
    node.addresses = { seeds.begin(), seeds.end() };
    for (const auto& voter : node.core->log().configuration().voters)
        node.addresses.insert(voter.name);
    node.nextIntroduction = m_now;
}

void RaftSimulation::introduce(Node& node)
{
    node.nextIntroduction = m_now
        + (node.core->leader().empty() ? introductionIntervalWithoutLeader : introductionIntervalWithLeader);
    for (const auto& name : std::set<std::string>(node.addresses)) {
        if (name == node.name || !isRunning(name) || !isLinkUp(node.name, name) || !isLinkUp(name, node.name)
            || randomBelow(100) < network.dropPercent)
            continue;
        auto& other = m_nodes.at(name);
        meet(other, node);
        meet(node, other);
        if (node.core == nullptr)
            return; // Its power failed.
    }
}

std::string RaftSimulation::dataCentreOf(const std::string& name) const
{
    auto found = dataCentres.find(name);
    return found == dataCentres.end() ? "" : found->second;
}

void RaftSimulation::meet(Node& node, const Node& other)
{
    node.core->addPeer(other.name);
    node.core->setDataCentre(node.name, dataCentreOf(node.name));
    node.core->setDataCentre(other.name, dataCentreOf(other.name));
    node.addresses.insert(other.name);
    node.addresses.insert(other.addresses.begin(), other.addresses.end());
    process(node);
}

void RaftSimulation::checkVoterSet(const Node& leader)
{
    const auto& log = leader.core->log();
    auto index = log.configurationIndex();
    if (index <= log.baseIndex())
        return; // Checked when it was appended.
    if (!m_checkedConfigurations.emplace(log.termAt(index), index).second)
        return;
    const auto& voters = log.configuration().voters;
    requireInvariant(voters.size() <= raft.voterTarget + 1, "at most one voter more than the target");
    for (const auto& voter : voters) {
        auto lost = m_diskLostAt.find(voter.storageId);
        if (lost == m_diskLostAt.end() || log.configurationAt(index - 1).contains(voter))
            continue;
        // The leader notices a loss only when the replica hasn't replied for an election timeout.
        requireInvariant(m_now <= lost->second + raft.electionTimeout.count,
            "no replica becomes a voter after its disk was lost");
    }
}

VoterConfiguration RaftSimulation::committedVoters()
{
    auto name = leader();
    if (name.empty())
        return {};
    const auto& core = *node(name).core;
    if (core.commitIndex() < core.log().configurationIndex())
        return {};
    return core.log().configuration();
}

bool RaftSimulation::hasTargetVoters()
{
    auto voters = committedVoters().voters;
    return voters.size() == raft.voterTarget
        && std::all_of(voters.begin(), voters.end(), [this](const ReplicaId& voter) {
               return isRunning(voter.name) && node(voter.name).storageId == voter.storageId;
           });
}

} // namespace celeryline::test
