#include "celeryline/jobs/StartPlan.h"

#include "celeryline/jobs/TaskFit.h"
#include "celeryline/jobs/UnplaceableDemands.h"

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

/// @return whether a runner may take another task of a step.
bool isAllowed(const StepSpec& spec, const PlacementCandidate& candidate, std::int64_t tasksHere)
{
    return checkDemand(spec, candidate, tasksHere) == WaitReason::HasRoom;
}

bool isSameStep(const TaskName& a, const TaskName& b)
{
    return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
}

/// Chooses a rack for a step whose tasks run slower when spread over several racks.
/// @param step state of the step; a rack where it already runs is kept.
/// @param pool candidates of the pool.
/// @return the rack with the tightest fit for all waiting tasks, or else the one that fits most of them.
std::string chooseRack(const StepSpec& spec, const StepState& step, const CandidatePool& pool)
{
    auto onRunner = tasksByRunner(step);
    std::int64_t waiting = static_cast<std::int64_t>(step.tasks.size()) - step.done - step.active;
    std::map<std::string, std::int64_t> fitting;
    for (const auto* candidate : pool) {
        if (candidate->rack.empty())
            continue;
        if (onRunner.count(candidate->incarnation.runner) != 0)
            return candidate->rack;
        fitting[candidate->rack] += tasksThatFit(spec, *candidate, 0, waiting);
    }
    std::string best;
    std::int64_t bestCount = 0;
    for (const auto& [rack, count] : fitting) {
        bool isBetter = bestCount >= waiting ? count >= waiting && count < bestCount : count > bestCount;
        if (isBetter) {
            best = rack;
            bestCount = count;
        }
    }
    return best;
}

/// Places tasks on runners and collects the starts.
class TaskPlacer {
public:
    TaskPlacer(const JobStore& store, CandidateIndex& candidates, const PlacementHints& hints,
        const AdviceCheck& advice)
        : m_store(store)
        , m_candidates(candidates)
        , m_hints(hints)
        , m_advice(advice)
    {
    }

    /// @param minDemand component-wise minimum of the reservations of a job's waiting tasks.
    /// @return whether it is known that no task of the job can start.
    bool isExcluded(const std::string& service, const Resources& minDemand) const
    {
        const auto& pool = m_candidates.pool(service);
        return pool.lower_bound(minDemand.cpuMilli) == pool.end()
            || isKnownUnplaceable(service, "", minDemand);
    }

    /// Places as many tasks of a job as possible.
    /// @return whether the search found no runner for any task.
    bool placeJob(const JobState& job, const QueueSettings& queue)
    {
        if (queue.needsAdvice && !m_advice.isAdvised)
            return true;
        m_needsAdvice = queue.needsAdvice;
        auto startsBefore = m_starts.size();
        bool hasSearched = false;
        for (const auto& [occurrence, steps] : job.occurrences) {
            for (std::size_t i = 0; i < steps.size(); ++i) {
                const auto& spec = job.spec.steps[i];
                bool hasWaiting = steps[i].done + steps[i].active < steps[i].tasks.size();
                if (!hasWaiting || isExcluded(queue.service, reservedBy(spec))
                    || isKnownUnplaceable(queue.service, spec.requiredLabel, reservedBy(spec)))
                    continue;
                if (isStepReady(job.spec.steps, steps, i)) {
                    TaskName first { job.spec.id, occurrence, static_cast<std::uint32_t>(i), 0 };
                    // Without a search, because hundreds of such steps must not hide those with tickets.
                    if (m_needsAdvice && !m_advice.hasTicket(first))
                        continue;
                    placeStep(spec, steps[i], first, queue.service);
                    hasSearched = true;
                }
            }
        }
        return hasSearched && m_starts.size() == startsBefore;
    }

    /// Places a second run of a slow task.
    void placeSpeculative(const TaskName& name)
    {
        const auto* job = m_store.findJob(name.job);
        const auto* spec = m_store.findStep(name);
        const auto* task = m_store.findTask(name);
        if (job == nullptr || spec == nullptr || task == nullptr || task->isDone || task->runs.size() != 1)
            return;
        const auto* queue = findQueue(m_store.configuration(), job->spec.queue);
        if (queue == nullptr || queue->needsAdvice)
            return;
        m_needsAdvice = false;
        m_rack.clear();
        auto onRunner = tasksByRunner(job->occurrences.at(name.occurrence)[name.step]);
        for (const auto& start : m_starts) {
            if (isSameStep(start.run.task, name))
                ++onRunner[start.incarnation.runner];
        }
        const auto* candidate = chooseRunner(*spec, name, m_candidates.pool(queue->service), onRunner);
        if (candidate == nullptr || candidate->incarnation == task->runs.front().incarnation)
            return;
        m_starts.push_back({ { name, task->lastRun + 1 }, candidate->incarnation });
        m_candidates.reserve(*candidate, *spec);
    }

    std::vector<StartRun> takeStarts() { return std::move(m_starts); }

private:
    /// @return whether a reservation is known to fit on no runner of the pool with the label.
    bool isKnownUnplaceable(
        const std::string& service, const std::string& label, const Resources& reservation) const
    {
        auto unplaceable = m_unplaceable.find({ service, label });
        return unplaceable != m_unplaceable.end() && unplaceable->second.excludes(reservation);
    }

    /// @param isFirst whether the step has no run yet, so that its limit per runner isn't reached.
    /// @return whether every runner with the required label and enough free capacity may take a task of the
    /// step.
    bool dependsOnCapacityOnly(const StepSpec& spec, const TaskName& name, bool isFirst) const
    {
        return (spec.maxPerRunner == 0 || isFirst) && !m_needsAdvice && m_hints.failedOn.count(name) == 0;
    }

    void placeStep(const StepSpec& spec, const StepState& step, TaskName name, const std::string& service)
    {
        const auto& pool = m_candidates.pool(service);
        // A gang restarts only after all runs of its earlier start have ended.
        if (spec.isGang && step.active > 0)
            return;
        bool isSpread = spec.maxPerRunner != 0 || spec.isLongRunning;
        auto onRunner = isSpread ? tasksByRunner(step) : std::map<std::string, std::uint32_t> {};
        std::uint32_t lastRun = 0;
        for (const auto& task : step.tasks)
            lastRun = std::max(lastRun, task.lastRun);
        m_rack = spec.sameRack ? chooseRack(spec, step, pool) : std::string();
        auto firstStart = m_starts.size();
        std::vector<PlacementCandidate> candidatesBefore;
        for (name.index = 0; name.index < step.tasks.size(); ++name.index) {
            const auto& task = step.tasks[name.index];
            if (task.isDone || !task.runs.empty())
                continue;
            const auto* candidate = chooseRunner(spec, name, pool, onRunner);
            if (candidate != nullptr) {
                if (spec.isGang)
                    candidatesBefore.push_back(*candidate);
                if (isSpread)
                    ++onRunner[candidate->incarnation.runner];
                // The tasks of a gang share one run number.
                auto run = (spec.isGang ? lastRun : task.lastRun) + 1;
                m_starts.push_back({ { name, run }, candidate->incarnation });
                m_candidates.reserve(*candidate, spec);
            } else if (spec.isGang) {
                m_starts.resize(firstStart);
                for (auto before = candidatesBefore.rbegin(); before != candidatesBefore.rend(); ++before)
                    m_candidates.restore(*before);
                return;
            } else if (m_hints.failedOn.count(name) == 0) {
                if (dependsOnCapacityOnly(spec, name, step.active == 0 && m_starts.size() == firstStart))
                    m_unplaceable[{ service, spec.requiredLabel }].add(reservedBy(spec));
                return; // The other tasks of the step have the same demand.
            }
        }
    }

    /// @return the failures of a task; null if it has none.
    const FailureTimes* failuresOf(const TaskName& name) const
    {
        auto found = m_hints.failedOn.find(name);
        return found == m_hints.failedOn.end() ? nullptr : &found->second;
    }

    const PlacementCandidate* chooseRunner(const StepSpec& spec, const TaskName& name,
        const CandidatePool& pool, const std::map<std::string, std::uint32_t>& onRunner) const
    {
        const PlacementCandidate* best = nullptr;
        const auto* failures = failuresOf(name);
        using Key = std::tuple<bool, std::uint32_t, bool, bool, std::int64_t, std::int64_t>;
        Key bestKey;
        // Candidates are sorted by free CPU, so the first eligible one is the best fit.
        bool isFirstBest = !spec.isLongRunning && spec.dataRack.empty() && m_rack.empty();
        for (auto it = pool.lower_bound(reservedBy(spec).cpuMilli); it != pool.end(); ++it) {
            const auto* candidate = *it;
            auto held = onRunner.find(candidate->incarnation.runner);
            std::int64_t tasksHere = held == onRunner.end() ? 0 : held->second;
            if (!isAllowed(spec, *candidate, tasksHere))
                continue;
            if (m_needsAdvice && !m_advice.isAdvised(name, candidate->incarnation.runner))
                continue;
            bool hasFailed = hasFailedOn(failures, candidate->incarnation.runner);
            if (hasFailed && mustAvoid(*failures, m_hints.now, spec, candidate->incarnation.runner, pool))
                continue;
            if (isFirstBest && !hasFailed && candidate->failuresInARow == 0)
                return candidate;
            bool isAwayFromData = !spec.dataRack.empty() && !hasLabel(*candidate, spec.dataRack);
            // Long-running tasks are packed on few runners, so that the machines of the others can move to
            // another pool.
            bool isUnused = spec.isLongRunning && candidate->longRunning == 0;
            bool isOffRack = !m_rack.empty() && candidate->rack != m_rack;
            Key key { hasFailed, candidate->failuresInARow, isAwayFromData || isUnused, isOffRack,
                spec.isLongRunning ? tasksHere : 0, candidate->free.cpuMilli };
            if (best == nullptr || key < bestKey) {
                best = candidate;
                bestKey = key;
            }
        }
        return best;
    }

    const JobStore& m_store;
    CandidateIndex& m_candidates;
    const PlacementHints& m_hints;
    const AdviceCheck& m_advice;
    /// By pool and required label.
    std::map<std::pair<std::string, std::string>, UnplaceableDemands> m_unplaceable;
    std::string m_rack; ///< Preferred rack of the current step; empty if it has none.
    bool m_needsAdvice = false; ///< Whether the current queue needs advice.
    std::vector<StartRun> m_starts;
};

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
        if (m_placer.isExcluded(range.queue->service, startable.minDemand))
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
        return isAllowed(spec, *candidate, onRunner[candidate->incarnation.runner]);
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
