// JobMaster: tracking of the longest-waiting tasks.
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr Millis checkInterval { 1000 };
/// Shorter waits are common at peak load and would flood the log.
constexpr Millis waitReportThreshold { 3000 };
/// Limit on tracked steps; each check adds at most two per pool.
constexpr std::size_t maxTrackedSteps = 256;

TaskName stepOf(TaskName task)
{
    task.index = 0;
    return task;
}

bool isWaiting(const JobStore& store, const TaskName& step)
{
    const auto* job = store.findJob(step.job);
    auto task = job == nullptr ? std::nullopt : waitingTaskOf(*job);
    return task && stepOf(*task) == step;
}

} // namespace

void JobMaster::checkWaits(const std::vector<StartRun>& starts)
{
    auto now = m_clock();
    if (now.steady < m_nextWaitCheck)
        return;
    m_nextWaitCheck = now.steady + checkInterval;
    std::vector<PoolRunner> runners;
    if (!m_store.startableJobs().empty()) {
        runners.reserve(m_runners.runners().size());
        for (const auto& [runner, state] : m_runners.runners())
            runners.push_back({ candidateAfterPlan(runner, state), refusalOf(runner, state) });
    }
    auto waits = findPoolWaits(m_store, runners, starts, now.wall, m_hints, adviceCheck(now.steady));
    updateWaitTimes(now.steady, waits);
    m_waits.clear();
    m_quotaWaits.clear();
    for (auto& wait : waits) {
        logWait(wait, now.steady);
        (wait.hold == WaitReason::Quota ? m_quotaWaits : m_waits).push_back(std::move(wait));
    }
}

void JobMaster::logWait(const PoolWait& wait, Millis now) const
{
    if (wait.waited < waitReportThreshold)
        return;
    auto event = describeWait(wait);
    const auto* queue = findQueue(m_store.configuration(), m_store.findJob(wait.task.job)->spec.queue);
    if (queue != nullptr && queue->needsAdvice)
        event.with("advice", stepAdviceName(m_adviceCache.adviceOn(wait.task, now)));
    event.writeAlways(); // At most two lines per pool and check.
}

PlacementCandidate JobMaster::candidateAfterPlan(const std::string& runner, const RunnerState& state) const
{
    // The next plan allocates most of the capacity that ended runs free, so only what this plan leaves
    // counts.
    const auto* left = m_candidates.find(runner);
    return left == nullptr ? candidateOf(state) : *left;
}

void JobMaster::updateWaitTimes(Millis now, std::vector<PoolWait>& waits)
{
    // A step keeps its start time while another one is its pool's oldest.
    for (auto it = m_waitingSince.begin(); it != m_waitingSince.end();)
        it = isWaiting(m_store, it->first) ? std::next(it) : m_waitingSince.erase(it);
    std::map<TaskName, Millis> current;
    for (auto& wait : waits) {
        auto since = m_waitingSince.emplace(stepOf(wait.task), now).first->second;
        wait.waited = now - since;
        current.emplace(stepOf(wait.task), since);
    }
    if (m_waitingSince.size() > maxTrackedSteps)
        m_waitingSince = std::move(current);
}

Millis JobMaster::oldestWait() const { return longestOf(m_waits); }

Millis JobMaster::oldestQuotaWait() const { return longestOf(m_quotaWaits); }

Millis JobMaster::longestOf(const std::vector<PoolWait>& waits) const
{
    Millis longest;
    if (!m_log.isLeading())
        return longest;
    for (const auto& wait : waits)
        longest = std::max(longest, wait.waited);
    return longest;
}

} // namespace celeryline
