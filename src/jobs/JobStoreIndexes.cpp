// JobStore: indexes derived from the jobs and updated by each command.
#include "celeryline/jobs/JobStore.h"

#include <algorithm>

namespace celeryline {

std::optional<MinDemand> minStartableDemand(const JobState& job)
{
    std::optional<MinDemand> minDemand;
    if (job.phase != JobPhase::Open)
        return minDemand;
    for (const auto& [occurrence, steps] : job.occurrences) {
        for (std::size_t i = 0; i < steps.size(); ++i) {
            if (steps[i].done + steps[i].active >= steps[i].tasks.size()
                || !isStepReady(job.spec.steps, steps, i))
                continue;
            auto reserved = reservedBy(job.spec.steps[i]);
            const auto& quota = quotaDemandOf(job.spec.steps[i]);
            if (!minDemand) {
                minDemand = MinDemand { reserved, quota };
                continue;
            }
            minDemand->reserved = componentwiseMin(minDemand->reserved, reserved);
            minDemand->quota = componentwiseMin(minDemand->quota, quota);
        }
    }
    return minDemand;
}

Millis dueTime(const JobState& job)
{
    if (job.spec.occurrences == 0 || job.occurrences.empty())
        return job.submittedAt;
    std::int64_t occurrence = job.occurrences.begin()->first;
    return { job.spec.firstDue.count + occurrence * job.spec.period.count };
}

Millis remainingCriticalPath(const std::vector<StepSpec>& spec, const std::vector<StepState>& steps)
{
    std::vector<Millis> ends(spec.size());
    Millis longest;
    for (std::size_t i = 0; i < spec.size(); ++i) {
        bool isDone = !steps.empty() && steps[i].done == steps[i].tasks.size();
        Millis begin;
        for (auto earlier : spec[i].after)
            begin = std::max(begin, ends[earlier]);
        ends[i] = isDone ? Millis {} : begin + spec[i].estimate;
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

void JobStore::updateStartable(JobState& job)
{
    removeStartable(job);
    auto minDemand = minStartableDemand(job);
    if (!minDemand)
        return;
    job.latestStart = dueTime(job) + job.objective - job.remaining;
    m_startableJobs[job.spec.queue].insert({ isLongRunning(job), job.latestStart, job.spec.id,
        minDemand->reserved, minDemand->quota, job.customer });
    if (!isLongRunning(job))
        m_poolUses.addStartable(m_customerUses, job.spec.queue, job.customer);
}

void JobStore::removeStartable(const JobState& job)
{
    auto found = m_startableJobs.find(job.spec.queue);
    if (found == m_startableJobs.end())
        return;
    auto erased = found->second.erase({ isLongRunning(job), job.latestStart, job.spec.id });
    if (erased != 0 && !isLongRunning(job))
        m_poolUses.removeStartable(m_customerUses, job.spec.queue, job.customer);
    if (found->second.empty())
        m_startableJobs.erase(found);
}

void JobStore::countUnstarted(const JobState& job, bool isUnstarted)
{
    auto& count = m_unstartedCounts[job.spec.queue];
    count = isUnstarted ? count + 1 : count - 1;
}

void JobStore::updateObjective(JobState& job) const
{
    const auto* queue = findQueue(m_configuration, job.spec.queue);
    if (queue == nullptr)
        return; // No task of the job starts until the queue exists again.
    auto criticalPath = static_cast<double>(remainingCriticalPath(job.spec.steps, {}).count);
    job.objective = queue->objective + Millis { static_cast<std::int64_t>(queue->stretch * criticalPath) };
}

void JobStore::updateRemaining(JobState& job)
{
    bool isOpened = !job.occurrences.empty();
    job.remaining = remainingCriticalPath(
        job.spec.steps, isOpened ? job.occurrences.begin()->second : std::vector<StepState> {});
}

void JobStore::allocate(const RunnerIncarnation& incarnation, const RunName& run)
{
    const auto& step = *findStep(run.task);
    auto& allocation = m_allocations[incarnation];
    allocation.runs.insert(run);
    allocation.reserved += reservedBy(step);
    allocation.longRunning += step.isLongRunning ? 1 : 0;
    const auto& job = *findJob(run.task.job);
    m_customerUses.addRun(job.customer, step);
    m_poolUses.addRun(m_customerUses, job.spec.queue, job.customer, step);
}

void JobStore::deallocate(const RunnerIncarnation& incarnation, const RunName& run)
{
    auto found = m_allocations.find(incarnation);
    if (found == m_allocations.end() || found->second.runs.erase(run) == 0)
        return;
    const auto& step = *findStep(run.task);
    found->second.reserved -= reservedBy(step);
    found->second.longRunning -= step.isLongRunning ? 1 : 0;
    const auto& job = *findJob(run.task.job);
    m_customerUses.removeRun(job.customer, step);
    m_poolUses.removeRun(m_customerUses, job.spec.queue, job.customer, step);
    if (found->second.runs.empty())
        m_allocations.erase(found);
}

std::map<RunnerIncarnation, Millis> JobStore::silences() const
{
    std::map<RunnerIncarnation, Millis> silences;
    for (const auto& [incarnation, allocation] : m_allocations) {
        if (allocation.silentLeaseLeft)
            silences.emplace(incarnation, *allocation.silentLeaseLeft);
    }
    return silences;
}

void JobStore::rebuildIndexes()
{
    m_apiKeys = ApiKeyIndex(m_configuration.customers);
    m_customerUses.setCustomers(m_configuration.customers);
    m_poolUses.reset(m_configuration);
    for (auto& [id, job] : m_jobs)
        indexJob(job);
}

void JobStore::rebuildPoolUses()
{
    // The pool of a queue and the weight of a customer may have changed.
    m_poolUses.reset(m_configuration);
    if (m_customerUses.lastNumber() == 0)
        return;
    for (const auto& [incarnation, allocation] : m_allocations) {
        for (const auto& run : allocation.runs) {
            const auto& job = *findJob(run.task.job);
            m_poolUses.addRun(m_customerUses, job.spec.queue, job.customer, *findStep(run.task));
        }
    }
    for (const auto& [queue, jobs] : m_startableJobs) {
        for (const auto& job : jobs) {
            if (!job.isLongRunning)
                m_poolUses.addStartable(m_customerUses, queue, job.customer);
        }
    }
}

void JobStore::indexJob(JobState& job)
{
    job.customer = m_customerUses.numberOf(job.spec.customer);
    if (job.phase == JobPhase::Open) {
        updateObjective(job);
        updateRemaining(job);
        m_openJobs.insert(job.spec.id);
        if (!job.hasStarted)
            countUnstarted(job, true);
        updateStartable(job);
    } else if (job.occurrences.empty()) {
        m_idleEndedJobs.insert({ job.endedAt, job.spec.id });
    }
    for (const auto& [occurrence, steps] : job.occurrences) {
        for (std::uint32_t step = 0; step < steps.size(); ++step) {
            for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
                for (const auto& run : steps[step].tasks[index].runs)
                    allocate(run.incarnation, { { job.spec.id, occurrence, step, index }, run.number });
            }
        }
    }
}

} // namespace celeryline
