#include "celeryline/jobs/CandidateIndex.h"

#include <utility>

namespace celeryline {

void CandidateIndex::set(PlacementCandidate candidate)
{
    remove(candidate.incarnation.runner);
    auto runner = candidate.incarnation.runner;
    const auto& added = m_candidates.emplace(std::move(runner), std::move(candidate)).first->second;
    auto& pool = m_pools[added.service];
    pool.candidates.insert(&added);
    pool.free += added.free;
}

void CandidateIndex::remove(const std::string& runner)
{
    auto found = m_candidates.find(runner);
    if (found == m_candidates.end())
        return;
    auto& pool = m_pools[found->second.service];
    pool.candidates.erase(&found->second);
    pool.free -= found->second.free;
    m_candidates.erase(found);
}

void CandidateIndex::clear()
{
    m_pools.clear();
    m_candidates.clear();
}

const PlacementCandidate* CandidateIndex::find(const std::string& runner) const
{
    auto found = m_candidates.find(runner);
    return found == m_candidates.end() ? nullptr : &found->second;
}

const CandidatePool& CandidateIndex::pool(const std::string& service) const
{
    static const CandidatePool empty;
    auto found = m_pools.find(service);
    return found == m_pools.end() ? empty : found->second.candidates;
}

Resources CandidateIndex::freeIn(const std::string& service) const
{
    auto found = m_pools.find(service);
    return found == m_pools.end() ? Resources {} : found->second.free;
}

void CandidateIndex::reserve(const PlacementCandidate& candidate, const StepSpec& step)
{
    auto& changed = m_candidates.at(candidate.incarnation.runner);
    auto& pool = m_pools[changed.service];
    // The position in the pool depends on the free capacity.
    pool.candidates.erase(&changed);
    pool.free -= changed.free;
    changed.free -= reservedBy(step);
    if (changed.takesOneTask)
        changed.free = {};
    changed.longRunning += step.isLongRunning ? 1 : 0;
    pool.candidates.insert(&changed);
    pool.free += changed.free;
}

} // namespace celeryline
