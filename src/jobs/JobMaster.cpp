#include "celeryline/jobs/JobMaster.h"

#include "celeryline/jobs/StartPlan.h"

#include <algorithm>

namespace celeryline {
namespace {

bool isListed(const RunnerReport& report, const RunName& run)
{
    auto isSame = [&](const auto& listed) { return listed.run == run; };
    return std::any_of(report.running.begin(), report.running.end(), isSame)
        || std::any_of(report.ended.begin(), report.ended.end(), isSame);
}

} // namespace

JobMaster::JobMaster(
    const JobMasterOptions& options, const JobStore& store, CommandLog& log, std::function<Moment()> clock)
    : m_options(options)
    , m_store(store)
    , m_log(log)
    , m_clock(std::move(clock))
    , m_runners(options.runnerHold)
{
}

void JobMaster::startTerm()
{
    m_runners.reset(m_clock().steady);
    m_isPlanning = false;
    m_isHousekeeping = false;
    m_mustPlan = true;
    m_reserved.clear();
    m_recalled.clear();
}

void JobMaster::tick()
{
    if (!m_log.isLeading())
        return;
    if (m_mustPlan)
        plan();
    auto now = m_clock().steady;
    if (now < m_nextHousekeeping || m_isHousekeeping)
        return;
    m_nextHousekeeping = now + m_options.housekeeping;
    m_runners.forgetSilent(now);
    endLostRuns();
    openDueOccurrences();
    forgetOldJobs();
}

void JobMaster::request(JobCommand command, RequestCallback done)
{
    if (!m_log.isLeading()) {
        done(RequestOutcome::NotLeading);
        return;
    }
    m_log.propose({ std::move(command) }, [this, done = std::move(done)](bool isCommitted) {
        m_mustPlan = true;
        done(isCommitted ? RequestOutcome::Done : RequestOutcome::Unknown);
    });
}

void JobMaster::report(RunnerReport report, OrdersCallback done)
{
    if (!m_log.isLeading()) {
        done(std::nullopt);
        return;
    }
    if (m_runners.accept(report, m_clock().steady) == nullptr) {
        done(RunnerOrders {}); // A late report of an earlier moment gets no lease and no orders.
        return;
    }
    auto pending = std::make_shared<PendingReport>();
    pending->report = std::move(report);
    pending->done = std::move(done);
    for (const auto& end : pending->report.ended)
        pending->lastEnd = std::max(pending->lastEnd, end.number);
    auto commands = endsOf(pending->report);
    if (commands.empty()) {
        answerAfterPlan(pending);
        return;
    }
    m_log.propose(commands, [this, pending](bool isCommitted) {
        if (!isCommitted) {
            pending->done(std::nullopt);
            return;
        }
        plan();
        answerAfterPlan(pending);
    });
}

std::vector<JobCommand> JobMaster::endsOf(const RunnerReport& report) const
{
    std::vector<JobCommand> commands;
    const auto& all = m_store.runs();
    for (auto it = all.lower_bound({ report.life.runner, {} });
         it != all.end() && it->first.runner == report.life.runner && it->first.born < report.life.born;
         ++it) {
        for (const auto& run : it->second)
            commands.push_back(EndRun { run, RunEnd::Lost, "" });
    }
    auto held = all.find(report.life);
    if (held == all.end())
        return commands;
    for (const auto& end : report.ended) {
        if (held->second.count(end.run) != 0)
            commands.push_back(EndRun { end.run, end.how, end.checkpoint });
    }
    for (const auto& run : held->second) {
        // A runner has one report under way at a time, so a run that it doesn't list can begin only by an
        // order in the answer to this report or a later one.
        if (!mustRun(run, report.life) && !isListed(report, run))
            commands.push_back(EndRun { run, RunEnd::Stopped, "" });
    }
    return commands;
}

void JobMaster::leave(const std::string& runner) { m_runners.leave(runner, m_clock().steady); }

Resources JobMaster::reservedOn(const RunnerLife& life) const
{
    Resources reserved;
    auto held = m_store.runs().find(life);
    if (held == m_store.runs().end())
        return reserved;
    for (const auto& run : held->second) {
        const auto* step = m_store.findStep(run.task);
        if (step == nullptr)
            continue;
        auto demand = reservedBy(*step);
        reserved.cpuMilli += demand.cpuMilli;
        reserved.memoryMb += demand.memoryMb;
        reserved.accelerators += demand.accelerators;
    }
    return reserved;
}

std::vector<RunnerRoom> JobMaster::rooms() const
{
    std::vector<RunnerRoom> rooms;
    auto now = m_clock().steady;
    for (const auto& [id, state] : m_runners.runners()) {
        const auto& report = state.report;
        // A runner that missed reports may be gone; what is ordered there would wait for its lease to end.
        bool isSilent = now >= state.heardAt + m_options.runnerHold;
        if (report.isDraining || state.hasLeft || isSilent || m_reserved.count(id) != 0)
            continue;
        auto reserved = reservedOn(report.life);
        RunnerRoom room;
        room.life = report.life;
        room.service = report.service;
        room.labels = report.labels;
        room.free.cpuMilli = report.capacity.cpuMilli - reserved.cpuMilli;
        room.free.memoryMb = report.capacity.memoryMb - reserved.memoryMb;
        room.free.accelerators = report.capacity.accelerators - reserved.accelerators;
        room.lasting = static_cast<std::uint32_t>(useOf(id).lasting.size());
        rooms.push_back(std::move(room));
    }
    return rooms;
}

void JobMaster::plan()
{
    m_mustPlan = true;
    if (m_isPlanning || !m_log.isLeading())
        return;
    m_mustPlan = false;
    auto starts = planStarts(m_store, rooms(), m_clock().wall);
    if (starts.empty())
        return;
    m_isPlanning = true;
    m_log.propose({ starts.begin(), starts.end() }, [this](bool) {
        m_isPlanning = false;
        auto waiting = std::move(m_waiting);
        m_waiting.clear();
        for (const auto& pending : waiting)
            answer(*pending);
        if (m_mustPlan)
            plan();
    });
}

void JobMaster::answerAfterPlan(const std::shared_ptr<PendingReport>& pending)
{
    if (m_isPlanning) {
        m_waiting.push_back(pending);
    } else {
        answer(*pending);
    }
}

void JobMaster::answer(const PendingReport& pending)
{
    // The process may have been frozen since the report came; without its lease it must order nothing.
    if (!m_log.isLeading()) {
        pending.done(std::nullopt);
        return;
    }
    pending.done(ordersFor(pending));
}

RunnerOrders JobMaster::ordersFor(const PendingReport& pending) const
{
    RunnerOrders orders;
    const auto* state = m_runners.find(pending.report.life);
    if (state == nullptr || state->report.sequence != pending.report.sequence)
        return orders; // Overtaken by a later report or life.
    orders.hold = m_options.runnerHold;
    orders.fence = m_log.term();
    orders.acknowledgedEnds = pending.lastEnd;
    addStarts(pending.report, orders);
    addStops(pending.report, orders);
    auto reserved = reservedOn(pending.report.life);
    bool hasRoom = !pending.report.isDraining && reserved.cpuMilli < pending.report.capacity.cpuMilli;
    orders.nextReport = hasRoom ? m_options.reportWithRoom : m_options.reportWhenFull;
    return orders;
}

void JobMaster::addStarts(const RunnerReport& report, RunnerOrders& orders) const
{
    auto held = m_store.runs().find(report.life);
    if (held == m_store.runs().end())
        return;
    for (const auto& run : held->second) {
        // The order was lost on its way if the runner neither holds the run nor says that it ended.
        if (isListed(report, run) || !mustRun(run, report.life))
            continue;
        const auto* task = m_store.findTask(run.task);
        orders.starts.push_back({ run, m_store.findJob(run.task.job)->spec.payload, task->checkpoint });
    }
}

void JobMaster::addStops(const RunnerReport& report, RunnerOrders& orders) const
{
    for (const auto& reported : report.running) {
        if (!mustRun(reported.run, report.life) || m_recalled.count(reported.run) != 0)
            orders.stops.push_back(reported.run);
    }
}

bool JobMaster::mustRun(const RunName& run, const RunnerLife& life) const
{
    const auto* job = m_store.findJob(run.task.job);
    const auto* task = m_store.findTask(run.task);
    if (job == nullptr || task == nullptr || job->phase != JobPhase::Open || task->isDone)
        return false;
    return std::any_of(task->runs.begin(), task->runs.end(),
        [&](const TaskRun& known) { return known.number == run.run && known.life == life; });
}

RunnerUse JobMaster::useOf(const std::string& runner) const
{
    RunnerUse use;
    use.isEmpty = !m_isPlanning;
    for (auto it = m_store.runs().lower_bound({ runner, {} });
         it != m_store.runs().end() && it->first.runner == runner; ++it) {
        use.isEmpty = false;
        auto reserved = reservedOn(it->first);
        use.reserved.cpuMilli += reserved.cpuMilli;
        use.reserved.memoryMb += reserved.memoryMb;
        use.reserved.accelerators += reserved.accelerators;
        for (const auto& run : it->second) {
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
        if (runner == nullptr || m_recalled.count(name) != 0)
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
    return queue != nullptr && hasRoomFor(rooms(), *spec, step, queue->service);
}

bool JobMaster::recall(const RunName& run)
{
    if (m_recalled.count(run) != 0)
        return true;
    if (!m_log.isLeading() || !mayRecall(run))
        return false;
    m_recalled.insert(run);
    return true;
}

void JobMaster::endRunner(const std::string& runner)
{
    m_runners.leave(runner, m_clock().steady);
    std::vector<JobCommand> commands;
    for (auto it = m_store.runs().lower_bound({ runner, {} });
         it != m_store.runs().end() && it->first.runner == runner; ++it) {
        for (const auto& run : it->second)
            commands.push_back(EndRun { run, RunEnd::Lost, "" });
    }
    if (!commands.empty())
        m_log.propose(commands, [this](bool) { plan(); });
}

void JobMaster::endLostRuns()
{
    std::vector<JobCommand> commands;
    auto now = m_clock().steady;
    for (auto it = m_recalled.begin(); it != m_recalled.end();) {
        const auto* task = m_store.findTask(it->task);
        bool isOver = task == nullptr || task->runs.empty() || task->lastRun != it->run;
        it = isOver ? m_recalled.erase(it) : std::next(it);
    }
    for (const auto& [life, runs] : m_store.runs()) {
        if (!m_runners.isOver(life, now))
            continue;
        for (const auto& run : runs)
            commands.push_back(EndRun { run, RunEnd::Lapsed, "" });
    }
    if (commands.empty())
        return;
    m_isHousekeeping = true;
    m_log.propose(commands, [this](bool) {
        m_isHousekeeping = false;
        plan();
    });
}

void JobMaster::openDueOccurrences()
{
    std::vector<JobCommand> commands;
    auto wall = m_clock().wall;
    for (const auto& id : m_store.openJobs()) {
        const auto& job = *m_store.findJob(id);
        if (job.spec.occurrences == 0 || job.opened >= job.spec.occurrences)
            continue;
        Millis due { job.spec.firstDue.count + job.spec.period.count * job.opened };
        if (wall >= due)
            commands.push_back(OpenOccurrence { id, job.opened });
    }
    if (!commands.empty())
        m_log.propose(commands, [this](bool) { m_mustPlan = true; });
}

void JobMaster::forgetOldJobs()
{
    std::vector<JobCommand> commands;
    auto wall = m_clock().wall;
    for (const auto& [id, job] : m_store.jobs()) {
        if (job.phase != JobPhase::Open && job.occurrences.empty()
            && wall >= job.endedAt + m_options.endedJobsKept)
            commands.push_back(ForgetJob { id });
    }
    if (!commands.empty())
        m_log.propose(commands, [](bool) {});
}

} // namespace celeryline
