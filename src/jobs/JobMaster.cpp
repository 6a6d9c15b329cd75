#include "celeryline/jobs/JobMaster.h"

#include "celeryline/jobs/JobEvents.h"
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
    m_startingOn.clear();
    m_isHousekeeping = false;
    m_mustPlan = true;
    m_reserved.clear();
    m_recalled.clear();
    m_lapsing.clear();
    m_overdue.clear();
    m_trust.clear();
    m_hints = {};
    m_advice.clear();
    m_asking = 0;
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
    m_mustPlan = true; // Room can appear without a job or an end, as when a machine isn't reserved any more.
    m_runners.forgetSilent(now);
    m_advice.forgetOld(now);
    m_trust.refresh(now);
    dropOldNotes();
    replaceOverdueRuns();
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
    auto receivedAt = m_clock().steady;
    auto event = describeCommand(command);
    m_log.propose(
        { std::move(command) }, [this, done = std::move(done), event, receivedAt](bool isCommitted) mutable {
            m_mustPlan = true;
            event.with("term", m_log.term())
                .with("outcome", isCommitted ? "committed" : "unknown")
                .with("afterMs", m_clock().steady - receivedAt)
                .write();
            done(isCommitted ? RequestOutcome::Done : RequestOutcome::Unknown);
        });
}

void JobMaster::report(RunnerReport report, OrdersCallback done)
{
    if (!m_log.isLeading()) {
        done(std::nullopt);
        return;
    }
    bool isNew = m_runners.find(report.life) == nullptr;
    const auto* state = m_runners.accept(report, m_clock().steady);
    if (state != nullptr && isNew) {
        m_mustPlan = true;
        Event("runner-found")
            .with("runner", report.life.runner)
            .with("born", report.life.born)
            .with("service", report.service)
            .with("dataCentre", report.dataCentre)
            .with("isDraining", report.isDraining)
            .write();
    }
    if (state == nullptr) {
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
    m_log.propose(commands, [this, pending, commands](bool isCommitted) {
        if (!isCommitted) {
            pending->done(std::nullopt);
            return;
        }
        logEnds(m_store, commands, pending->report.life.runner);
        noteEnds(commands, pending->report);
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

void JobMaster::leave(const std::string& runner)
{
    Event("runner-left").with("runner", runner).write();
    m_runners.leave(runner, m_clock().steady);
}

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
        auto trust = m_trust.trust(report.life);
        bool isBusy = m_store.runs().count(report.life) != 0;
        if (trust == WorkerTrust::Quarantined || (trust == WorkerTrust::Probation && isBusy))
            continue;
        auto reserved = reservedOn(report.life);
        RunnerRoom room;
        room.takesOneTask = trust == WorkerTrust::Probation;
        room.failuresInARow = m_trust.failuresInARow(report.life);
        room.rack = report.rack;
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
    auto free = rooms();
    askForAdvice(free);
    auto now = m_clock();
    auto starts = planStarts(
        m_store, free, now.wall, m_hints, [this, now](const TaskName& step, const std::string& runner) {
            return m_advice.ticket(step, runner, now.steady) != nullptr;
        });
    if (starts.empty())
        return;
    m_isPlanning = true;
    for (const auto& start : starts)
        m_startingOn.insert(start.life.runner);
    m_log.propose({ starts.begin(), starts.end() }, [this, starts](bool isCommitted) {
        m_isPlanning = false;
        m_startingOn.clear();
        for (const auto& start : starts) {
            describeRun("start", start.run)
                .with("runner", start.life.runner)
                .with("outcome", isCommitted ? "committed" : "unknown")
                .write(EventKind::Task);
        }
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

RunnerOrders JobMaster::ordersFor(const PendingReport& pending)
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
    paceFillers(pending.report, orders);
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
        const auto* ticket = m_advice.ticket(run.task, report.life.runner, m_clock().steady);
        orders.starts.push_back({ run, m_store.findJob(run.task.job)->spec.payload, task->checkpoint,
            ticket == nullptr ? std::string() : *ticket });
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
    if (m_lapsing.count(run) != 0)
        return false;
    return std::any_of(task->runs.begin(), task->runs.end(),
        [&](const TaskRun& known) { return known.number == run.run && known.life == life; });
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
    for (const auto& [life, runs] : m_store.runs()) {
        if (!m_runners.isOver(life, now))
            continue;
        for (const auto& run : runs) {
            commands.push_back(EndRun { run, RunEnd::Lapsed, "" });
            // The runner may report again before the commit, and must not be ordered to begin the run then.
            m_lapsing.insert(run);
        }
    }
    if (commands.empty())
        return;
    m_isHousekeeping = true;
    m_log.propose(commands, [this, commands](bool isCommitted) {
        m_lapsing.clear();
        if (isCommitted)
            logEnds(m_store, commands, "");
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
