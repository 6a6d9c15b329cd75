#include "celeryline/jobs/StartPlan.h"

#include "celeryline/jobs/TaskFit.h"
#include "celeryline/jobs/TaskPlacer.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <queue>
#include <tuple>
#include <utility>

namespace celeryline {
namespace {

/// Multiple of the objective after which a job's result has no value.
constexpr std::int64_t expiryFactor = 3;
/// Limit on jobs of a queue that are searched for in vain before the plan skips the rest of the queue. Jobs
/// whose demand is known to be unplaceable are skipped without a search and don't count.
constexpr int maxFailedSearches = 256;

/// A customer beyond its share may exceed the next one's level by this part of a full share before that one
/// gets its turn, so that a job with many tasks isn't resumed for each of them.
constexpr double turnsPerShare = 16;

struct QueueRange;

/// A job whose customer had reached its share when its turn came.
struct DeferredJob {
    const QueueRange* range = nullptr;
    const StartableJob* startable = nullptr;
};

/// The shares of one pool in a plan.
struct PoolSharing {
    const PoolUse* use = nullptr; ///< Null if the pool has no jobs of customers.
    Resources free; ///< At the start of the plan.
    std::optional<ShareLedger> shares {}; ///< Created with the first job that needs it.
    std::vector<DeferredJob> deferred {}; ///< In the order of the plan.
    Resources minDemand {}; ///< Component-wise minimum of what their tasks reserve.

    void defer(const QueueRange& range, const StartableJob& startable)
    {
        const auto& demand = startable.minDemand;
        minDemand = deferred.empty() ? demand : componentwiseMin(minDemand, demand);
        deferred.push_back({ &range, &startable });
    }
};

/// The turn of a customer beyond its share.
struct CustomerTurn {
    double level = 0;
    std::uint32_t priority = 0;
    CustomerNumber customer = noCustomer;
};

/// Orders turns from the last to the first, as std::priority_queue needs it.
bool operator<(const CustomerTurn& a, const CustomerTurn& b)
{
    return std::tie(a.level, a.priority, a.customer) > std::tie(b.level, b.priority, b.customer);
}

/// The deferred jobs of one customer.
struct CustomerBacklog {
    std::vector<DeferredJob> jobs;
    std::size_t next = 0; ///< Index of the first one that is left.

    bool isEmpty() const { return next == jobs.size(); }
};

/// The startable jobs of one queue, as a range of JobStore::startableJobs().
struct QueueRange {
    const QueueSettings* queue = nullptr;
    const std::set<StartableJob>* jobs = nullptr;
    std::set<StartableJob>::const_iterator next;
    std::set<StartableJob>::const_iterator end;
    PoolSharing* pool = nullptr; ///< Null if the configuration has no customers.

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
            if (queue == nullptr || candidates.pool(queue->service).empty())
                continue;
            m_queues.push_back(
                { queue, &jobs, jobs.begin(), jobs.end(), addPool(queue->service, candidates) });
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
        for (auto& [service, pool] : m_pools)
            placeDeferred(service, pool);
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
        if (m_failedSearches[range.queue->key] >= maxFailedSearches)
            return false;
        // Skips unplaceable jobs without a lookup, which keeps a long backlog cheap.
        if (m_placer.isExcluded(range.queue->service, startable))
            return true;
        bool isSharing = startable.customer != noCustomer && !startable.isLongRunning;
        auto* shares = isSharing ? sharesOf(range.pool) : nullptr;
        if (shares != nullptr && !shares->isWithinShare(startable.customer)) {
            range.pool->defer(range, startable);
            return true;
        }
        m_placer.setShares(shares, shares == nullptr ? 0 : shares->fullLevel());
        if (search(range, startable) == PlaceResult::AtShare)
            range.pool->defer(range, startable);
        return true;
    }

    /// @return the sharing of a pool; null without customers.
    PoolSharing* addPool(const std::string& service, const CandidateIndex& candidates)
    {
        if (m_store.configuration().customers.empty())
            return nullptr;
        auto& pool = m_pools[service];
        pool.use = m_store.poolUses().find(service);
        pool.free = candidates.freeIn(service);
        return &pool;
    }

    /// @return the shares of a pool; null if it has none.
    ShareLedger* sharesOf(PoolSharing* pool) const
    {
        if (pool == nullptr || pool->use == nullptr)
            return nullptr;
        if (!pool->shares)
            pool->shares.emplace(m_store.customerUses(), *pool->use, pool->free);
        return &*pool->shares;
    }

    /// Places the jobs of customers beyond their share. The customer with the lowest level comes first.
    void placeDeferred(const std::string& service, PoolSharing& pool)
    {
        if (!hasRoomForDeferred(service, pool))
            return;
        const auto& uses = m_store.customerUses();
        std::vector<CustomerBacklog> backlogs(uses.lastNumber() + 1);
        for (const auto& job : pool.deferred)
            backlogs[job.startable->customer].jobs.push_back(job);
        std::priority_queue<CustomerTurn> turns;
        auto addTurn = [&](CustomerNumber customer) {
            if (!backlogs[customer].isEmpty())
                turns.push({ pool.shares->level(customer), uses.settings(customer).priority, customer });
        };
        for (CustomerNumber customer = 1; customer < backlogs.size(); ++customer)
            addTurn(customer);
        while (!turns.empty()) {
            auto customer = turns.top().customer;
            turns.pop();
            auto stopLevel = turns.empty() ? std::numeric_limits<double>::infinity()
                                           : turns.top().level + pool.shares->fullLevel() / turnsPerShare;
            m_placer.setShares(&*pool.shares, stopLevel);
            auto& backlog = backlogs[customer];
            do {
                const auto& job = backlog.jobs[backlog.next];
                if (mayPlace(job)) {
                    if (search(*job.range, *job.startable) == PlaceResult::AtShare)
                        break;
                } else if (!hasRoomForDeferred(service, pool)) {
                    return;
                }
                ++backlog.next;
            } while (!backlog.isEmpty() && pool.shares->level(customer) < stopLevel);
            addTurn(customer);
        }
    }

    /// @return whether a deferred job may find room. In a full pool, a look at each job of a long backlog
    /// would be in vain.
    bool hasRoomForDeferred(const std::string& service, const PoolSharing& pool) const
    {
        return !pool.deferred.empty() && !m_placer.isWithoutRoom(service, pool.minDemand);
    }

    bool mayPlace(const DeferredJob& job)
    {
        return m_failedSearches[job.range->queue->key] < maxFailedSearches
            && !m_placer.isExcluded(job.range->queue->service, *job.startable);
    }

    PlaceResult search(const QueueRange& range, const StartableJob& startable)
    {
        auto result = m_placer.placeJob(*m_store.findJob(startable.id), *range.queue);
        if (result == PlaceResult::NoRoom)
            ++m_failedSearches[range.queue->key];
        return result;
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
    std::map<std::string, PoolSharing> m_pools; ///< By service.
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
