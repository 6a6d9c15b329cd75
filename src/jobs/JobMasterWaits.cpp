// Which tasks wait longest, and why they don't start.
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr Millis checkInterval { 1000 };
/// Waits shorter than this are common in a peak and would only fill the log.
constexpr Millis reportedAfter { 3000 };
/// Steps whose time is kept; each check adds at most one for each pool.
constexpr std::size_t mostSteps = 256;

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
            runners.push_back({ roomAfterPlan(runner, state), refusalOf(runner, state) });
    }
    std::set<JobId> starting;
    for (const auto& start : starts)
        starting.insert(start.run.task.job);
    m_waits = findPoolWaits(m_store, runners, starting, now.wall, m_hints, adviceCheck(now.steady));
    noteWaits(now.steady);
    for (const auto& wait : m_waits) {
        if (wait.waited >= reportedAfter)
            describeWait(wait).writeAlways(); // At most one line for each pool and check.
    }
}

RunnerRoom JobMaster::roomAfterPlan(const std::string& runner, const RunnerState& state) const
{
    // Room that ends have freed is mostly given away by the next plan, so only what this one leaves counts.
    const auto* left = m_rooms.find(runner);
    return left == nullptr ? roomOf(state) : *left;
}

void JobMaster::noteWaits(Millis now)
{
    // A step keeps its time while another one is its pool's oldest.
    for (auto it = m_waitingSince.begin(); it != m_waitingSince.end();)
        it = isWaiting(m_store, it->first) ? std::next(it) : m_waitingSince.erase(it);
    std::map<TaskName, Millis> current;
    for (auto& wait : m_waits) {
        auto since = m_waitingSince.emplace(stepOf(wait.task), now).first->second;
        wait.waited = now - since;
        current.emplace(stepOf(wait.task), since);
    }
    if (m_waitingSince.size() > mostSteps)
        m_waitingSince = std::move(current);
}

Millis JobMaster::oldestWait() const
{
    Millis longest;
    if (!m_log.isLeading())
        return longest;
    for (const auto& wait : m_waits)
        longest = std::max(longest, wait.waited);
    return longest;
}

} // namespace celeryline
