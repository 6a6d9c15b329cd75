// What runners hold, advice about them, pace and recall of what runs there.
#include "celeryline/jobs/JobEvents.h"
#include "celeryline/jobs/JobMaster.h"
#include "celeryline/jobs/StartPlan.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr std::int64_t fullPace = 100;
/// The service handles one call at a time and refuses more than some dozens that wait.
constexpr std::size_t mostAdviceCalls = 4;

} // namespace

RunnerUse JobMaster::useOf(const std::string& runner) const
{
    RunnerUse use;
    use.isEmpty = m_startingOn.count(runner) == 0;
    const auto& all = m_store.holdings();
    for (auto it = all.lower_bound({ runner, {} }); it != all.end() && it->first.runner == runner; ++it) {
        use.isEmpty = false;
        use.reserved += it->second.reserved;
        use.runs += it->second.runs.size();
        if (it->second.lasting == 0)
            continue;
        for (const auto& run : it->second.runs) {
            const auto* step = m_store.findStep(run.task);
            if (step != nullptr && step->isLongRunning)
                use.lasting.push_back(run);
        }
    }
    return use;
}

bool JobMaster::isAtWork(const TaskName& task, const TaskState& state) const
{
    constexpr std::int64_t atWork = 100;
    for (const auto& run : state.runs) {
        RunName name { task, run.number };
        const auto* runner = m_runners.find(run.life);
        if (runner == nullptr || isSilent(*runner) || m_recalled.count(name) != 0)
            continue;
        for (const auto& reported : runner->report.running) {
            if (reported.run == name && reported.percent >= atWork)
                return true;
        }
    }
    return false;
}

bool JobMaster::mayRecall(const RunName& run) const
{
    const auto* job = m_store.findJob(run.task.job);
    const auto* spec = m_store.findStep(run.task);
    if (job == nullptr || spec == nullptr || job->phase != JobPhase::Open || !spec->isLongRunning)
        return false;
    const auto& step = job->occurrences.at(run.task.occurrence)[run.task.step];
    std::uint32_t away = 0;
    auto other = run.task;
    for (other.index = 0; other.index < step.tasks.size(); ++other.index) {
        if (other.index != run.task.index && !isAtWork(other, step.tasks[other.index]))
            ++away;
    }
    if (away + 1 > std::max<std::uint32_t>(1, spec->mayMiss))
        return false;
    const auto* queue = findQueue(m_store.configuration(), job->spec.queue);
    return queue != nullptr && hasRoomFor(m_rooms, *spec, step, queue->service);
}

bool JobMaster::lacksRoomElsewhere(const RunName& run) const
{
    const auto* job = m_store.findJob(run.task.job);
    const auto* spec = m_store.findStep(run.task);
    if (job == nullptr || spec == nullptr || job->phase != JobPhase::Open)
        return false;
    const auto* queue = findQueue(m_store.configuration(), job->spec.queue);
    const auto& step = job->occurrences.at(run.task.occurrence)[run.task.step];
    return queue == nullptr || !hasRoomFor(m_rooms, *spec, step, queue->service);
}

bool JobMaster::recall(const RunName& run)
{
    if (m_recalled.count(run) != 0)
        return true;
    if (!m_log.isLeading())
        return false;
    if (!m_isPlanning)
        refreshRooms();
    if (!mayRecall(run))
        return false;
    m_recalled.insert(run);
    describeRun("recall", run).write();
    return true;
}

void JobMaster::askForAdvice()
{
    const auto& queues = m_store.configuration().queues;
    auto needsAdvice = [](const QueueSettings& queue) { return queue.needsAdvice; };
    if (m_advisor == nullptr || m_asking >= mostAdviceCalls
        || std::none_of(queues.begin(), queues.end(), needsAdvice))
        return;
    auto calls = adviceCalls();
    // Those first that were never asked for or whose turn is longest ago, so that no job waits for ever.
    std::stable_sort(calls.begin(), calls.end(),
        [](const AdviceCall& a, const AdviceCall& b) { return a.askedAt < b.askedAt; });
    for (const auto& call : calls) {
        if (m_asking >= mostAdviceCalls)
            return;
        askFor(call);
    }
}

std::vector<JobMaster::AdviceCall> JobMaster::adviceCalls() const
{
    std::vector<AdviceCall> calls;
    auto now = m_clock().steady;
    for (const auto& id : m_store.openJobs()) {
        const auto& job = *m_store.findJob(id);
        const auto* queue = findQueue(m_store.configuration(), job.spec.queue);
        if (queue == nullptr || !queue->needsAdvice)
            continue;
        for (const auto& [occurrence, steps] : job.occurrences) {
            for (std::size_t i = 0; i < steps.size(); ++i) {
                // The next steps are asked for ahead of need, while their predecessors run.
                TaskName step { id, occurrence, static_cast<std::uint32_t>(i), 0 };
                if (steps[i].done + steps[i].active < steps[i].tasks.size() && m_advice.mustAsk(step, now))
                    calls.push_back({ step, queue->service, m_advice.askedAt(step) });
            }
        }
    }
    return calls;
}

void JobMaster::askFor(const AdviceCall& call)
{
    std::vector<std::string> runners;
    const auto& pool = m_rooms.pool(call.service);
    for (auto room = pool.rbegin(); room != pool.rend(); ++room) {
        if (runners.size() < PlacementAdvisor::mostRunners)
            runners.push_back((*room)->life.runner);
    }
    if (runners.empty())
        return;
    auto now = m_clock().steady;
    m_advice.noteAsked(call.step, now);
    ++m_asking;
    m_advisor->ask(call.step, runners,
        [this, step = call.step, now, term = m_log.term()](const std::optional<PlacementAdvice>& advice) {
            if (term != m_log.term())
                return;
            --m_asking;
            m_advice.note(step, advice, now, m_clock().steady);
            m_mustPlan = true;
        });
}

ServingTail JobMaster::tailOf(const RunnerReport& report) const
{
    ServingTail tail;
    for (const auto& reported : report.running) {
        const auto* step = m_store.findStep(reported.run.task);
        if (step == nullptr || step->targetLatency == Millis {})
            continue;
        tail.isKnown = true;
        tail.worstShare = std::max(tail.worstShare,
            static_cast<double>(reported.figure) / static_cast<double>(step->targetLatency.count));
    }
    return tail;
}

void JobMaster::paceFillers(const RunnerReport& report, RunnerOrders& orders)
{
    auto* state = m_runners.find(report.life);
    if (state == nullptr)
        return;
    auto before = state->fillerPace;
    state->fillerPace = nextFillerPace(before, tailOf(report));
    // A task starts at full speed, so the order is repeated while it is slower.
    if (state->fillerPace == fullPace && before == fullPace)
        return;
    for (const auto& reported : report.running) {
        const auto* step = m_store.findStep(reported.run.task);
        if (step != nullptr && step->fills)
            orders.rates.push_back({ reported.run, state->fillerPace });
    }
}

} // namespace celeryline
