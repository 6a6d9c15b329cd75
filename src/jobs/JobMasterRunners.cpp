// JobMaster: runner usage, throttling and recall of runs.
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"
#include "celeryline/jobs/StartPlan.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr std::int64_t fullRate = 100;

/// Above this lag, answers may arrive after the second for which runners wait.
constexpr Millis maxTimelyLag { 100 };

} // namespace

RunnerUse& RunnerUse::operator+=(const RunnerUse& other)
{
    reserved += other.reserved;
    longRunning.insert(longRunning.end(), other.longRunning.begin(), other.longRunning.end());
    runs += other.runs;
    isEmpty = isEmpty && other.isEmpty;
    return *this;
}

RunnerUse JobMaster::useOf(const std::string& runner) const
{
    RunnerUse use;
    use.isEmpty = m_startingOn.count(runner) == 0;
    const auto& all = m_store.allocations();
    for (auto it = all.lower_bound({ runner, {} }); it != all.end() && it->first.runner == runner; ++it) {
        use.isEmpty = false;
        use.reserved += it->second.reserved;
        use.runs += it->second.runs.size();
        if (it->second.longRunning == 0)
            continue;
        for (const auto& run : it->second.runs) {
            const auto* step = m_store.findStep(run.task);
            if (step != nullptr && step->isLongRunning)
                use.longRunning.push_back(run);
        }
    }
    return use;
}

bool JobMaster::isLagging() const { return m_lag >= maxTimelyLag; }

bool JobMaster::isRecalled(const RunName& run) const
{
    return m_store.isRecalled(run) || m_recalling.count(run) != 0;
}

bool JobMaster::isServing(const TaskName& task, const TaskState& state) const
{
    for (const auto& run : state.runs) {
        RunName name { task, run.number };
        const auto* runner = m_runners.find(run.incarnation);
        // The first report in a term may have been sent shortly before the runner's lease expired.
        if (runner == nullptr || runner->reports < 2 || isSilent(*runner) || isRecalled(name))
            continue;
        for (const auto& reported : runner->report.running) {
            if (reported.run == name && isAtWork(reported))
                return true;
        }
    }
    return false;
}

bool JobMaster::maySpare(const TaskName& task) const
{
    const auto& spec = *m_store.findStep(task);
    const auto& step = m_store.findJob(task.job)->occurrences.at(task.occurrence)[task.step];
    std::uint32_t unavailable = 0;
    auto other = task;
    for (other.index = 0; other.index < step.tasks.size(); ++other.index) {
        if (other.index != task.index && !isServing(other, step.tasks[other.index]))
            ++unavailable;
    }
    return unavailable + 1 <= std::max<std::uint32_t>(1, spec.maxUnavailable);
}

bool JobMaster::mayRecall(const RunName& run) const
{
    const auto* job = m_store.findJob(run.task.job);
    const auto* spec = m_store.findStep(run.task);
    if (job == nullptr || spec == nullptr || job->phase != JobPhase::Open || !spec->isLongRunning)
        return false;
    if (!maySpare(run.task))
        return false;
    const auto& step = job->occurrences.at(run.task.occurrence)[run.task.step];
    const auto* queue = findQueue(m_store.configuration(), job->spec.queue);
    return queue != nullptr && canPlace(m_candidates, *spec, step, queue->service);
}

bool JobMaster::lacksCapacityElsewhere(const RunName& run) const
{
    const auto* job = m_store.findJob(run.task.job);
    const auto* spec = m_store.findStep(run.task);
    if (job == nullptr || spec == nullptr || job->phase != JobPhase::Open)
        return false;
    const auto* queue = findQueue(m_store.configuration(), job->spec.queue);
    const auto& step = job->occurrences.at(run.task.occurrence)[run.task.step];
    return queue == nullptr || !canPlace(m_candidates, *spec, step, queue->service);
}

bool JobMaster::recall(const RunName& run)
{
    if (isRecalled(run))
        return true;
    if (!m_log.isLeading() || isLagging())
        return false;
    if (!m_isPlanning)
        refreshCandidates();
    if (!mayRecall(run))
        return false;
    m_recalling.insert(run);
    m_log.propose({ NoteRecall { run } }, [this, run](bool isCommitted) {
        m_recalling.erase(run);
        describeRun("recall", run).with("outcome", isCommitted ? "committed" : "unknown").write();
    });
    return true;
}

void JobMaster::recallFrom(const std::string& runner)
{
    for (const auto& run : useOf(runner).longRunning)
        recall(run);
}

ServingLatency JobMaster::servingLatencyOf(const RunnerReport& report) const
{
    ServingLatency tail;
    for (const auto& reported : report.running) {
        const auto* step = m_store.findStep(reported.run.task);
        if (step == nullptr || step->targetLatency == Millis {})
            continue;
        tail.isKnown = true;
        tail.worstRatio = std::max(tail.worstRatio,
            static_cast<double>(reported.metric) / static_cast<double>(step->targetLatency.count));
    }
    return tail;
}

void JobMaster::throttleBestEffort(const RunnerReport& report, RunnerOrders& orders)
{
    auto* state = m_runners.find(report.incarnation);
    if (state == nullptr)
        return;
    auto previous = state->bestEffortRate;
    state->bestEffortRate = nextBestEffortRate(previous, servingLatencyOf(report));
    // A task starts at full speed, so the order is repeated while the rate is reduced.
    if (state->bestEffortRate == fullRate && previous == fullRate)
        return;
    for (const auto& reported : report.running) {
        const auto* step = m_store.findStep(reported.run.task);
        if (step != nullptr && step->isBestEffort)
            orders.rates.push_back({ reported.run, state->bestEffortRate });
    }
}

} // namespace celeryline
