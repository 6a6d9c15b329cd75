#include "celeryline/jobs/CancelledJobIds.h"

namespace celeryline {

void CancelledJobIds::add(const JobId& id)
{
    if (!isFull() && m_index.insert(id).second)
        m_ids.push_back(id);
}

void CancelledJobIds::forget(std::uint64_t upTo)
{
    while (m_forgotten < upTo && !m_ids.empty()) {
        m_index.erase(m_ids.front());
        m_ids.pop_front();
        ++m_forgotten;
    }
}

CancelledJobIds CancelledJobIds::restore(const std::vector<JobId>& ids, std::uint64_t forgotten)
{
    CancelledJobIds restored;
    restored.m_forgotten = forgotten;
    for (const auto& id : ids)
        restored.add(id);
    return restored;
}

} // namespace celeryline
