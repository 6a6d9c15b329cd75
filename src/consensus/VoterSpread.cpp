// The leader's choice of voters in different data centres.
#include "celeryline/consensus/RaftCore.h"

#include <algorithm>

namespace celeryline {

void RaftCore::setDataCentre(const std::string& name, const std::string& dataCentre)
{
    if (!dataCentre.empty())
        m_dataCentres[name] = dataCentre;
}

std::size_t RaftCore::votersBeside(const std::string& name, const std::vector<ReplicaId>& voters) const
{
    auto own = m_dataCentres.find(name);
    if (own == m_dataCentres.end())
        return 0;
    return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), [&](const ReplicaId& voter) {
        auto found = m_dataCentres.find(voter.name);
        return voter.name != name && found != m_dataCentres.end() && found->second == own->second;
    }));
}

const detail::ReplicaState* RaftCore::bestLearner(const std::vector<ReplicaId>& remainingVoters) const
{
    const detail::ReplicaState* best = nullptr;
    for (const auto& [name, replica] : m_replicas) {
        if (m_log.configuration().find(name) != nullptr || !isCaughtUp(replica))
            continue;
        if (best == nullptr
            || votersBeside(name, remainingVoters) < votersBeside(best->id.name, remainingVoters))
            best = &replica;
    }
    return best;
}

std::vector<ReplicaId>::const_iterator RaftCore::redundantVoter(const std::vector<ReplicaId>& voters) const
{
    auto redundant = voters.end();
    for (auto voter = voters.begin(); voter != voters.end(); ++voter) {
        if (*voter == m_options.self)
            continue;
        // The newest of those that share a data centre with as many others.
        if (redundant == voters.end()
            || votersBeside(voter->name, voters) >= votersBeside(redundant->name, voters))
            redundant = voter;
    }
    return redundant;
}

bool RaftCore::improvesSpread(const ReplicaId& learner, const std::vector<ReplicaId>& voters) const
{
    auto redundant = redundantVoter(voters);
    return redundant != voters.end()
        && votersBeside(learner.name, voters) < votersBeside(redundant->name, voters);
}

} // namespace celeryline
