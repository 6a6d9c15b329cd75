#include "celeryline/decisions/JobBacklog.h"

#include "celeryline/base/Error.h"

#include <unordered_set>

namespace celeryline {

void JobBacklog::add(const Job& job)
{
    if (job.phase != JobPhase::Queued) {
        throw Error(ErrorKind::InvalidInput, "job \"" + job.id + "\" is not queued",
            "add a job to the backlog only in phase Queued");
    }
    if (contains(job.id)) {
        return;
    }
    auto& queue = job.urgent ? m_urgent : m_batch[job.team];
    queue.push_back(job);
    m_byId.emplace(job.id, Position { &queue, std::prev(queue.end()) });
}

bool JobBacklog::remove(const std::string& id)
{
    auto found = m_byId.find(id);
    if (found == m_byId.end()) {
        return false;
    }
    found->second.queue->erase(found->second.job);
    m_byId.erase(found);
    return true;
}

CancelDecision cancelJobs(const JobBacklog& backlog, const std::unordered_map<std::string, JobLease>& leases,
    const std::vector<std::string>& ids)
{
    CancelDecision decision;
    std::unordered_set<std::string> seen;
    for (const auto& id : ids) {
        if (!seen.insert(id).second) {
            continue;
        }
        auto lease = leases.find(id);
        if (backlog.contains(id)) {
            decision.dequeued.push_back(id);
        } else if (lease != leases.end()) {
            decision.stops.push_back({ id, lease->second.worker, lease->second.fence });
        } else {
            decision.unknown.push_back(id);
        }
    }
    return decision;
}

} // namespace celeryline
