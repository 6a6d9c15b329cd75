#include "celeryline/jobs/WaitReport.h"

#include "celeryline/jobs/TaskFit.h"

#include <algorithm>
#include <limits>

namespace celeryline {
namespace {

/// Limit on examined jobs per queue, so that a long backlog doesn't slow down the leader.
constexpr std::size_t maxExaminedJobs = 256;

struct OldestJob {
    const JobState* job = nullptr;
    const QueueSettings* queue = nullptr;
    TaskName task;
};

/// The oldest waiting job of each pool.
using OldestJobs = std::map<std::string, OldestJob>;

using JobIterator = std::set<StartableJob>::const_iterator;

void findOldest(const JobStore& store, const std::set<JobId>& starting, const QueueSettings& queue,
    JobIterator next, JobIterator end, OldestJobs& oldest)
{
    for (std::size_t seen = 0; next != end && seen < maxExaminedJobs; ++next, ++seen) {
        const auto* job = store.findJob(next->id);
        auto& known = oldest[queue.service];
        bool isOlder = known.job == nullptr || dueTime(*job) < dueTime(*known.job);
        if (!isOlder || starting.count(next->id) != 0)
            continue;
        if (auto task = waitingTaskOf(*job))
            known = { job, &queue, *task };
    }
}

OldestJobs findOldest(const JobStore& store, const std::set<JobId>& starting)
{
    OldestJobs oldest;
    for (const auto& [key, jobs] : store.startableJobs()) {
        const auto* queue = findQueue(store.configuration(), key);
        if (queue == nullptr)
            continue;
        auto limited = jobs.lower_bound({ false, { std::numeric_limits<std::int64_t>::min() }, {}, {} });
        findOldest(store, starting, *queue, jobs.begin(), limited, oldest);
        findOldest(store, starting, *queue, limited, jobs.end(), oldest);
    }
    return oldest;
}

/// Counts the runners of a pool by the reason for which they can't take a task.
class ReasonCounter {
public:
    ReasonCounter(
        const StepSpec& spec, const OldestJob& oldest, const PlacementHints& hints, const AdviceCheck& advice)
        : m_spec(spec)
        , m_oldest(oldest)
        , m_advice(advice)
        , m_now(hints.now)
    {
        auto failed = hints.failedOn.find(oldest.task);
        m_failures = failed == hints.failedOn.end() ? nullptr : &failed->second;
    }

    std::map<WaitReason, std::uint32_t> count(const std::vector<PoolRunner>& runners) const
    {
        CandidatePool available;
        for (const auto& runner : runners) {
            if (isOfPool(runner) && runner.refusal == WaitReason::HasRoom)
                available.insert(&runner.candidate);
        }
        std::map<WaitReason, std::uint32_t> counts;
        for (const auto& runner : runners) {
            if (isOfPool(runner))
                ++counts[reasonOf(runner, available)];
        }
        return counts;
    }

private:
    bool isOfPool(const PoolRunner& runner) const
    {
        return runner.candidate.service == m_oldest.queue->service;
    }

    WaitReason reasonOf(const PoolRunner& runner, const CandidatePool& available) const
    {
        if (runner.refusal != WaitReason::HasRoom)
            return runner.refusal;
        // The job has no active run, so no runner has tasks of the step.
        auto reason = checkDemand(m_spec, runner.candidate, 0);
        if (reason != WaitReason::HasRoom)
            return reason;
        const auto& id = runner.candidate.incarnation.runner;
        if (hasFailedOn(m_failures, id) && mustAvoid(*m_failures, m_now, m_spec, id, available))
            return WaitReason::FailedThere;
        bool lacksAdvice
            = m_oldest.queue->needsAdvice && (!m_advice.isAdvised || !m_advice.isAdvised(m_oldest.task, id));
        return lacksAdvice ? WaitReason::NoAdvice : WaitReason::HasRoom;
    }

    const StepSpec& m_spec;
    const OldestJob& m_oldest;
    const AdviceCheck& m_advice;
    Millis m_now; ///< Steady time.
    const FailureTimes* m_failures = nullptr; ///< Null if the task has no failures.
};

} // namespace

const char* waitReasonName(WaitReason reason)
{
    switch (reason) {
    case WaitReason::HasRoom:
        return "hasRoom";
    case WaitReason::Leaving:
        return "leaving";
    case WaitReason::Silent:
        return "silent";
    case WaitReason::Reserved:
        return "reserved";
    case WaitReason::Quarantine:
        return "quarantine";
    case WaitReason::Probation:
        return "probation";
    case WaitReason::MissingLabel:
        return "missingLabel";
    case WaitReason::LittleCpu:
        return "littleCpu";
    case WaitReason::LittleMemory:
        return "littleMemory";
    case WaitReason::FewAccelerators:
        return "fewAccelerators";
    case WaitReason::TaskLimit:
        return "taskLimit";
    case WaitReason::FailedThere:
        return "failedThere";
    case WaitReason::NoAdvice:
        return "noAdvice";
    }
    return "";
}

std::optional<TaskName> waitingTaskOf(const JobState& job)
{
    if (job.phase != JobPhase::Open)
        return std::nullopt;
    std::optional<TaskName> first;
    for (const auto& [occurrence, steps] : job.occurrences) {
        for (std::uint32_t i = 0; i < steps.size(); ++i) {
            const auto& step = steps[i];
            if (step.active > 0)
                return std::nullopt;
            if (first || step.done >= step.tasks.size() || !isStepReady(job.spec.steps, steps, i))
                continue;
            auto task = std::find_if(
                step.tasks.begin(), step.tasks.end(), [](const TaskState& state) { return !state.isDone; });
            first = TaskName { job.spec.id, occurrence, i,
                static_cast<std::uint32_t>(task - step.tasks.begin()) };
        }
    }
    return first;
}

std::vector<PoolWait> findPoolWaits(const JobStore& store, const std::vector<PoolRunner>& runners,
    const std::set<JobId>& starting, Millis wallNow, const PlacementHints& hints, const AdviceCheck& advice)
{
    std::vector<PoolWait> waits;
    for (const auto& [pool, oldest] : findOldest(store, starting)) {
        if (oldest.job == nullptr)
            continue;
        const auto& spec = oldest.job->spec.steps[oldest.task.step];
        const auto& step = oldest.job->occurrences.at(oldest.task.occurrence)[oldest.task.step];
        PoolWait wait;
        wait.pool = pool;
        wait.task = oldest.task;
        wait.tasksWaiting = static_cast<std::uint32_t>(step.tasks.size()) - step.done;
        wait.demand = reservedBy(spec);
        wait.isGang = spec.isGang;
        wait.lateness = latenessOf(*oldest.job, wallNow);
        wait.age = wallNow - dueTime(*oldest.job);
        wait.runners = ReasonCounter(spec, oldest, hints, advice).count(runners);
        waits.push_back(std::move(wait));
    }
    return waits;
}

} // namespace celeryline
