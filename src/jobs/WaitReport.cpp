#include "celeryline/jobs/WaitReport.h"

#include "celeryline/jobs/ShareLedger.h"
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

/// The oldest waiting job of each pool, and of those that the limit of their customer holds back.
using OldestJobs = std::map<std::pair<std::string, bool>, OldestJob>;

using JobIterator = std::set<StartableJob>::const_iterator;

/// @return whether the limit of the customer holds back a task, or the gang that it belongs to.
bool isHeldBack(const QuotaLedger& quota, const JobState& job, const TaskName& task)
{
    const auto& spec = job.spec.steps[task.step];
    const auto& step = job.occurrences.at(task.occurrence)[task.step];
    auto waiting = static_cast<std::int64_t>(step.tasks.size()) - step.done;
    return !quota.fits(job.customer, quotaDemandOf(spec), spec.isGang ? waiting : 1);
}

/// Searches for the oldest waiting jobs.
class OldestJobSearch {
public:
    OldestJobSearch(const JobStore& store, const std::vector<StartRun>& starts)
        : m_store(store)
        , m_quota(store.customerUses())
    {
        for (const auto& start : starts) {
            m_starting.insert(start.run.task.job);
            m_quota.add(
                store.findJob(start.run.task.job)->customer, quotaDemandOf(*store.findStep(start.run.task)));
        }
    }

    OldestJobs find()
    {
        for (const auto& [key, jobs] : m_store.startableJobs()) {
            const auto* queue = findQueue(m_store.configuration(), key);
            if (queue == nullptr)
                continue;
            auto limited = jobs.lower_bound({ false, { std::numeric_limits<std::int64_t>::min() }, {} });
            examine(*queue, jobs.begin(), limited);
            examine(*queue, limited, jobs.end());
        }
        return std::move(m_oldest);
    }

private:
    void examine(const QueueSettings& queue, JobIterator next, JobIterator end)
    {
        std::size_t seen = 0;
        std::size_t seenHeldBack = 0;
        for (; next != end && seen < maxExaminedJobs; ++next) {
            bool isHeldBack = !m_quota.fits(next->customer, next->minQuotaDemand, 1);
            // Jobs of a customer at its limit must not hide those of others.
            if ((isHeldBack ? seenHeldBack : seen)++ < maxExaminedJobs)
                compare(queue, *next, isHeldBack);
        }
    }

    void compare(const QueueSettings& queue, const StartableJob& startable, bool isHeld)
    {
        const auto* job = m_store.findJob(startable.id);
        if (m_starting.count(startable.id) != 0
            || (!isOlder(queue, *job, true) && !isOlder(queue, *job, false)))
            return;
        auto task = waitingTaskOf(*job);
        if (!task)
            return;
        isHeld = isHeld || isHeldBack(m_quota, *job, *task);
        if (isOlder(queue, *job, isHeld))
            m_oldest[{ queue.service, isHeld }] = { job, &queue, *task };
    }

    bool isOlder(const QueueSettings& queue, const JobState& job, bool isHeld) const
    {
        auto known = m_oldest.find({ queue.service, isHeld });
        return known == m_oldest.end() || dueTime(job) < dueTime(*known->second.job);
    }

    const JobStore& m_store;
    QuotaLedger m_quota;
    std::set<JobId> m_starting; ///< Jobs of which the plan starts a task.
    OldestJobs m_oldest;
};

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
    case WaitReason::Quota:
        return "quota";
    case WaitReason::FairShare:
        return "fairShare";
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

namespace {

/// @return the free capacity of a pool at the start of a plan.
Resources freeBeforePlan(const JobStore& store, const std::vector<PoolRunner>& runners,
    const std::vector<StartRun>& starts, const std::string& pool)
{
    Resources free;
    for (const auto& runner : runners) {
        if (runner.candidate.service == pool && runner.refusal == WaitReason::HasRoom)
            free += runner.candidate.free;
    }
    for (const auto& start : starts) {
        const auto* queue = findQueue(store.configuration(), store.findJob(start.run.task.job)->spec.queue);
        if (queue != nullptr && queue->service == pool)
            free += reservedBy(*store.findStep(start.run.task));
    }
    return free;
}

/// Adds the figures of the job's customer.
void addCustomer(const JobStore& store, const std::vector<PoolRunner>& runners,
    const std::vector<StartRun>& starts, const JobState& job, PoolWait& wait)
{
    if (job.customer == noCustomer)
        return;
    const auto& uses = store.customerUses();
    wait.customer = job.spec.customer;
    wait.customerRunning = uses.use(job.customer).running;
    wait.customerLimit = uses.settings(job.customer).limit;
    const auto* poolUse = store.poolUses().find(wait.pool);
    if (poolUse == nullptr || store.configuration().customers.empty())
        return;
    ShareLedger shares(uses, *poolUse, freeBeforePlan(store, runners, starts, wait.pool));
    for (const auto& start : starts) {
        const auto& other = *store.findJob(start.run.task.job);
        const auto& spec = *store.findStep(start.run.task);
        if (other.customer != job.customer)
            continue;
        wait.customerRunning += quotaDemandOf(spec);
        const auto* queue = findQueue(store.configuration(), other.spec.queue);
        if (!spec.isLongRunning && queue != nullptr && queue->service == wait.pool)
            shares.add(job.customer, reservedBy(spec));
    }
    wait.customerFraction = shares.fractionOf(job.customer);
    wait.customerShare = shares.shareOf(job.customer);
    if (wait.hold == WaitReason::HasRoom && !isLongRunning(job) && !shares.isWithinShare(job.customer))
        wait.hold = WaitReason::FairShare;
}

} // namespace

std::vector<PoolWait> findPoolWaits(const JobStore& store, const std::vector<PoolRunner>& runners,
    const std::vector<StartRun>& starts, Millis wallNow, const PlacementHints& hints,
    const AdviceCheck& advice)
{
    std::vector<PoolWait> waits;
    for (const auto& [key, oldest] : OldestJobSearch(store, starts).find()) {
        const auto& spec = oldest.job->spec.steps[oldest.task.step];
        const auto& step = oldest.job->occurrences.at(oldest.task.occurrence)[oldest.task.step];
        PoolWait wait;
        wait.pool = key.first;
        wait.task = oldest.task;
        wait.tasksWaiting = static_cast<std::uint32_t>(step.tasks.size()) - step.done;
        wait.demand = reservedBy(spec);
        wait.isGang = spec.isGang;
        wait.lateness = latenessOf(*oldest.job, wallNow);
        wait.age = wallNow - dueTime(*oldest.job);
        wait.runners = ReasonCounter(spec, oldest, hints, advice).count(runners);
        wait.hold = key.second ? WaitReason::Quota : WaitReason::HasRoom;
        addCustomer(store, runners, starts, *oldest.job, wait);
        waits.push_back(std::move(wait));
    }
    return waits;
}

} // namespace celeryline
