#include "celeryline/jobs/StartPlan.h"

#include "celeryline/jobs/TaskFit.h"
#include "celeryline/jobs/TaskPlacer.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace celeryline {
namespace {

/// Multiple of the objective after which a job's result has no value.
constexpr std::int64_t expiryFactor = 3;
/// Limit on jobs of a queue that are searched for in vain before the plan skips the rest of the queue. Jobs
/// whose demand is known to be unplaceable are skipped without a search and don't count.
constexpr int maxFailedSearches = 256;

/// The startable jobs of one queue, as a range of JobStore::startableJobs().
struct QueueRange {
    const QueueSettings* queue = nullptr;
    const std::set<StartableJob>* jobs = nullptr;
    std::set<StartableJob>::const_iterator next;
    std::set<StartableJob>::const_iterator end;

    bool isEmpty() const { return next == end; }
};

/// Determines the order in which jobs of all queues are placed.
class JobScheduler {
public:
    JobScheduler(const JobStore& store, const CandidateIndex& candidates, TaskPlacer& placer)
        : m_store(store)
        , m_placer(placer)
    {
        for (const auto& [key, jobs] : store.startableJobs()) {
            const auto* queue = findQueue(store.configuration(), key);
            if (queue != nullptr && !candidates.pool(queue->service).empty())
                m_queues.push_back({ queue, &jobs, jobs.begin(), jobs.end() });
        }
    }

    void placeAll(Millis wallNow)
    {
        for (auto& range : m_queues)
            range.end = range.jobs->lower_bound({ false, lowest, {}, {} });
        placeRanges();
        for (auto& range : m_queues) {
            range.next = range.jobs->lower_bound({ false, wallNow, {}, {} });
            range.end = range.jobs->end();
        }
        placeRanges();
        placeLate(wallNow);
    }

private:
    static constexpr Millis lowest { std::numeric_limits<std::int64_t>::min() };

    static bool isBefore(const QueueRange& a, const QueueRange& b)
    {
        return std::make_tuple(a.queue->priority, *a.next) < std::make_tuple(b.queue->priority, *b.next);
    }

    /// @return whether to continue with the queue's other jobs.
    bool place(const QueueRange& range, const StartableJob& startable)
    {
        auto& failedSearches = m_failedSearches[range.queue->key];
        if (failedSearches >= maxFailedSearches)
            return false;
        // Skips unplaceable jobs without a lookup, which keeps a long backlog cheap.
        if (m_placer.isExcluded(range.queue->service, startable))
            return true;
        if (m_placer.placeJob(*m_store.findJob(startable.id), *range.queue))
            ++failedSearches;
        return true;
    }

    void placeRanges()
    {
        for (;;) {
            QueueRange* first = nullptr;
            for (auto& range : m_queues) {
                if (!range.isEmpty() && (first == nullptr || isBefore(range, *first)))
                    first = &range;
            }
            if (first == nullptr)
                return;
            if (!place(*first, *first->next++))
                first->next = first->end;
        }
    }

    void placeLate(Millis wallNow)
    {
        std::vector<const QueueRange*> byPriority;
        for (const auto& range : m_queues)
            byPriority.push_back(&range);
        std::stable_sort(byPriority.begin(), byPriority.end(),
            [](const QueueRange* a, const QueueRange* b) { return a->queue->priority < b->queue->priority; });
        for (const auto* range : byPriority) {
            auto begin = range->jobs->lower_bound({ false, lowest, {}, {} });
            auto late = range->jobs->lower_bound({ false, wallNow, {}, {} });
            while (late != begin) {
                if (!place(*range, *--late))
                    break;
            }
        }
    }

    const JobStore& m_store;
    TaskPlacer& m_placer;
    std::vector<QueueRange> m_queues;
    std::map<std::string, int> m_failedSearches; ///< Jobs searched for in vain, by queue.
};

} // namespace

JobLateness latenessOf(const JobState& job, Millis wallNow)
{
    if (isLongRunning(job))
        return JobLateness::InTime; // It never ends, so it can't be late.
    auto end = wallNow + job.remaining - dueTime(job);
    if (end <= job.objective)
        return JobLateness::InTime;
    return end <= Millis { expiryFactor * job.objective.count } ? JobLateness::Late : JobLateness::Expired;
}

bool canPlace(
    const CandidateIndex& candidates, const StepSpec& spec, const StepState& step, const std::string& service)
{
    auto onRunner = tasksByRunner(step);
    const auto& pool = candidates.pool(service);
    return std::any_of(pool.begin(), pool.end(), [&](const PlacementCandidate* candidate) {
        return checkDemand(spec, *candidate, onRunner[candidate->incarnation.runner]) == WaitReason::HasRoom;
    });
}

std::vector<StartRun> planStarts(const JobStore& store, CandidateIndex& candidates, Millis wallNow,
    const PlacementHints& hints, const AdviceCheck& advice)
{
    TaskPlacer placer(store, candidates, hints, advice);
    JobScheduler(store, candidates, placer).placeAll(wallNow);
    for (const auto& task : hints.speculativeTasks)
        placer.placeSpeculative(task);
    return placer.takeStarts();
}

} // namespace celeryline
