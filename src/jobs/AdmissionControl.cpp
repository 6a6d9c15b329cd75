#include "celeryline/jobs/AdmissionControl.h"

#include "celeryline/jobs/StartPlan.h"

#include <algorithm>
#include <utility>

namespace celeryline {
namespace {

/// Time within which an accepted job is committed or its caller has been told that its fate is unknown.
constexpr Millis commitTimeout { 2000 };
/// The part of the duration of active tasks that is still ahead, on average.
constexpr double remainingPart = 0.5;

ResourceWork workOfJob(const JobSpec& job, double ratio)
{
    ResourceWork work;
    for (const auto& step : job.steps) {
        auto milliseconds = ratio * static_cast<double>(step.estimate.count) * step.count;
        if (!step.isLongRunning)
            work += workOf(reservedBy(step), milliseconds);
    }
    return work;
}

} // namespace

void AdmissionControl::startTerm()
{
    m_isFresh = false;
    m_rates.clear();
    m_accepted.clear();
    m_saturatedPools.reset();
    m_longestStart = m_longestStartBefore = {};
}

std::size_t AdmissionControl::customerIndex(const std::string& name) const
{
    auto found = m_customers.find(name);
    return found == m_customers.end() ? CustomerPosition::none : found->second;
}

void AdmissionControl::updateCustomers(Millis now)
{
    const auto& configuration = m_store.configuration();
    if (configuration.version == m_configurationVersion && !m_rates.empty())
        return;
    m_configurationVersion = configuration.version;
    m_customers.clear();
    m_weights.assign(1, 0);
    std::map<std::string, CustomerRate> rates;
    for (const auto& customer : configuration.customers) {
        m_customers[customer.name] = m_weights.size();
        m_weights.push_back(customer.weight);
        auto known = m_rates.find(customer.name);
        bool isSame = known != m_rates.end() && known->second.jobsPerSecond() == customer.weight;
        rates.emplace(customer.name, isSame ? known->second : CustomerRate(customer.weight, now));
    }
    m_rates = std::move(rates);
    // Their indexes may have changed.
    m_accepted.clear();
}

void AdmissionControl::refresh(PoolCapacities capacities, Millis now, Millis wallNow)
{
    m_isFresh = true;
    m_refreshedAt = now;
    m_longestStartBefore = std::exchange(m_longestStart, {});
    updateCustomers(now);
    sumUp(wallNow);
    completeCapacities(capacities);
    m_capacities = std::move(capacities.byPool);
    addAccepted(now);
}

void AdmissionControl::sumUp(Millis wallNow)
{
    m_pools.clear();
    std::unordered_map<std::string, const QueueSettings*> queues;
    for (const auto& queue : m_store.configuration().queues)
        queues.emplace(queue.key, &queue);
    for (const auto& id : m_store.openJobs()) {
        const auto& job = *m_store.findJob(id);
        auto queue = queues.find(job.spec.queue);
        if (queue != queues.end())
            addJob(job, *queue->second, wallNow);
    }
}

void AdmissionControl::addJob(const JobState& job, const QueueSettings& queue, Millis wallNow)
{
    if (isLongRunning(job))
        return;
    auto& pool = m_pools[queue.service];
    // Late jobs are placed after all others, so only their active runs delay a new job.
    bool isLate = latenessOf(job, wallNow) != JobLateness::InTime;
    auto ratio = m_durations.ratioOf(job.spec.queue);
    ResourceWork work;
    for (const auto& [occurrence, steps] : job.occurrences) {
        for (std::size_t i = 0; i < steps.size(); ++i) {
            const auto& spec = job.spec.steps[i];
            const auto& step = steps[i];
            if (spec.isLongRunning)
                continue;
            // A task that is done may have an active copy, and then counts twice in the difference.
            auto idle = static_cast<std::int64_t>(step.tasks.size()) - step.done - step.active;
            auto waiting = static_cast<double>(std::max<std::int64_t>(0, idle));
            auto tasks = (isLate ? 0 : waiting) + remainingPart * step.active;
            auto reserved = reservedBy(spec);
            work += workOf(reserved, tasks * ratio * static_cast<double>(spec.estimate.count));
            for (std::uint32_t active = 0; active < step.active; ++active)
                pool.inUse += reserved;
            bool isWaiting = !isLate && waiting > 0 && isStepReady(job.spec.steps, steps, i);
            pool.hasWaitingTasks = pool.hasWaitingTasks || isWaiting;
        }
    }
    pool.backlog.add(queue.priority, customerIndex(job.spec.customer), work);
}

void AdmissionControl::completeCapacities(PoolCapacities& capacities)
{
    if (!m_saturatedPools) {
        m_saturatedPools.emplace();
        for (const auto& [name, pool] : m_pools) {
            if (pool.hasWaitingTasks)
                m_saturatedPools->insert(name);
        }
    }
    if (capacities.isComplete)
        return;
    // Runners that haven't reported to this leader yet are known by their runs only, which fill the pool if
    // others wait.
    std::map<std::string, PoolForecast> known;
    for (const auto& name : *m_saturatedPools) {
        auto& forecast = capacities.byPool[name];
        const auto& inUse = m_pools[name].inUse;
        bool isAboveReported = forecast.empty() || inUse.cpuMilli > forecast.front().added.cpuMilli;
        if (isAboveReported && forecast.empty()) {
            forecast.push_back({ {}, inUse });
        } else if (isAboveReported) {
            forecast.front().added = inUse;
        }
        known[name] = forecast;
    }
    capacities.byPool = std::move(known);
}

void AdmissionControl::addAccepted(Millis now)
{
    for (auto it = m_accepted.begin(); it != m_accepted.end();) {
        if (m_store.findJob(it->first) != nullptr || now >= it->second.at + commitTimeout) {
            it = m_accepted.erase(it);
            continue;
        }
        const auto& job = it->second;
        m_pools[job.pool].backlog.add(job.priority, job.customer, job.work);
        ++it;
    }
}

JobAdmission AdmissionControl::admit(const JobSpec& job, const QueueSettings& queue, Millis now)
{
    if (m_accepted.count(job.id) != 0)
        return {}; // A repeated submission of a job that is being committed.
    auto ratio = m_durations.ratioOf(job.queue);
    auto& pool = m_pools[queue.service];
    CustomerPosition customer { customerIndex(job.customer), &m_weights };
    JobAdmissionInput input;
    input.job = job.id;
    input.work = workOfJob(job, ratio);
    auto criticalPath = static_cast<double>(remainingCriticalPath(job.steps, {}).count);
    input.criticalPath = { static_cast<std::int64_t>(ratio * criticalPath) };
    input.objective = queue.objective + Millis { static_cast<std::int64_t>(queue.stretch * criticalPath) };
    auto capacity = m_capacities.find(queue.service);
    if (capacity != m_capacities.end())
        input.capacity = capacity->second;
    input.ahead = pool.backlog.aheadOf(queue.priority, customer, input.work, finalCapacity(input.capacity));
    input.sinceForecast = now - m_refreshedAt;
    auto rate = m_rates.find(job.customer);
    if (rate != m_rates.end()) {
        input.isWithinRate = rate->second.isWithin(now);
        input.untilWithinRate = rate->second.untilReturn(now);
        input.debtSeconds = rate->second.debtSeconds(now);
    }
    auto decision = decideJobAdmission(input);
    record(decision);
    if (decision.refusal) {
        if (rate != m_rates.end() && decision.refusal == JobRefusal::Rate)
            rate->second.reserveReturn(now);
        return decision;
    }
    if (rate != m_rates.end())
        rate->second.recordAccepted(now, decision.isScarce);
    pool.backlog.add(queue.priority, customer.index, input.work);
    m_accepted[job.id] = { queue.service, queue.priority, customer.index, input.work, now };
    return decision;
}

Millis AdmissionControl::longestExpectedStart(Millis now) const
{
    bool isRecent = m_isFresh && now < m_refreshedAt + refreshInterval + refreshInterval;
    return isRecent ? std::max(m_longestStart, m_longestStartBefore) : Millis {};
}

void AdmissionControl::record(const JobAdmission& decision)
{
    m_longestStart = std::max(m_longestStart, decision.expectedStart);
    if (!decision.refusal) {
        ++m_counts.accepted;
    } else if (*decision.refusal == JobRefusal::Rate) {
        ++m_counts.refusedByRate;
    } else {
        ++m_counts.refusedByCapacity;
    }
}

} // namespace celeryline
