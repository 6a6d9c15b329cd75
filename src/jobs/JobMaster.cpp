#include "celeryline/jobs/JobMaster.h"

#include "celeryline/jobs/JobEvents.h"

#include <algorithm>
#include <utility>

namespace celeryline {
namespace {

/// A process that is so late may soon answer after the second for which runners wait.
constexpr Millis lagOfLongerHold { 100 };

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
    , m_runners(std::max(options.runnerHold, options.runnerHoldWhenLate))
{
}

void JobMaster::startTerm()
{
    // The runners report again; what they said before may be too old to answer.
    for (const auto& [runner, pending] : std::exchange(m_idle, {}))
        pending->done(std::nullopt);
    m_idleByTime.clear();
    m_runners.reset(m_clock().steady);
    m_isPlanning = false;
    m_startingOn.clear();
    m_rooms.clear();
    m_changedRunners.clear();
    m_mustRefreshRooms = true;
    m_isHousekeeping = false;
    m_mustPlan = true;
    m_reserved.clear();
    m_recalled.clear();
    m_lapsing.clear();
    m_overdue.clear();
    m_trust.clear();
    m_hints = {};
    m_waits.clear();
    m_waitingSince.clear();
    m_advice.clear();
    m_asking = 0;
}

void JobMaster::tick()
{
    if (!m_log.isLeading()) {
        answerWaiting();
        answerOverdueIdle();
        return;
    }
    if (m_mustPlan)
        plan();
    answerWaiting();
    answerOverdueIdle();
    auto now = m_clock().steady;
    if (now < m_nextHousekeeping || m_isHousekeeping)
        return;
    m_nextHousekeeping = now + m_options.housekeeping;
    // Room can appear or go without a job or an end, as when a runner falls silent.
    m_mustRefreshRooms = true;
    m_mustPlan = true;
    m_runners.forgetSilent(now);
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
    auto hold = m_lag < lagOfLongerHold ? m_options.runnerHold : m_options.runnerHoldWhenLate;
    const auto* state = m_runners.accept(std::move(report), hold, m_clock().steady);
    if (state != nullptr && isNew) {
        m_mustPlan = true;
        m_advice.forgetRunner(state->report.life.runner, m_clock().steady);
        Event("runner-found")
            .with("runner", state->report.life.runner)
            .with("born", state->report.life.born)
            .with("service", state->report.service)
            .with("dataCentre", state->report.dataCentre)
            .with("isDraining", state->report.isDraining)
            .write();
    }
    if (state == nullptr) {
        done(RunnerOrders {}); // A late report of an earlier moment gets no lease and no orders.
        return;
    }
    m_changedRunners.insert(state->report.life.runner);
    auto pending = std::make_shared<PendingReport>();
    pending->life = state->report.life;
    pending->sequence = state->report.sequence;
    pending->done = std::move(done);
    for (const auto& end : state->report.ended)
        pending->lastEnd = std::max(pending->lastEnd, end.number);
    auto commands = endsOf(state->report);
    if (commands.empty()) {
        answerAfterPlan(pending);
        return;
    }
    takeEnds(commands, pending);
}

void JobMaster::takeEnds(
    const std::vector<JobCommand>& commands, const std::shared_ptr<PendingReport>& pending)
{
    m_log.propose(commands, [this, pending, commands](bool isCommitted) {
        if (!isCommitted) {
            pending->done(std::nullopt);
            return;
        }
        logEnds(m_store, commands, pending->life.runner);
        noteEnds(commands, pending->life);
        m_changedRunners.insert(pending->life.runner);
        // Many reports are committed together, and one plan serves them all.
        m_mustPlan = true;
        m_waiting.push_back(pending);
    });
}

std::vector<JobCommand> JobMaster::endsOf(const RunnerReport& report) const
{
    std::vector<JobCommand> commands;
    const auto& all = m_store.holdings();
    for (auto it = all.lower_bound({ report.life.runner, {} });
         it != all.end() && it->first.runner == report.life.runner && it->first.born < report.life.born;
         ++it) {
        for (const auto& run : it->second.runs)
            commands.push_back(EndRun { run, RunEnd::Lost, "" });
    }
    const auto* held = m_store.findHolding(report.life);
    if (held == nullptr)
        return commands;
    for (const auto& end : report.ended) {
        if (held->runs.count(end.run) != 0)
            commands.push_back(EndRun { end.run, end.how, end.checkpoint });
    }
    for (const auto& run : held->runs) {
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
    m_advice.forgetRunner(runner, m_clock().steady);
    m_changedRunners.insert(runner);
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
    const auto* state = m_runners.find(pending.life);
    if (state == nullptr || state->report.sequence != pending.sequence)
        return orders; // Overtaken by a later report or life.
    const auto& report = state->report;
    orders.hold = state->hold;
    orders.fence = m_log.term();
    orders.acknowledgedEnds = pending.lastEnd;
    addStarts(report, orders);
    addStops(report, orders);
    paceFillers(report, orders);
    auto reserved = reservedOn(report.life);
    bool hasRoom = !report.isDraining && reserved.cpuMilli < report.capacity.cpuMilli;
    orders.nextReport = hasRoom ? m_options.reportWithRoom : m_options.reportWhenFull;
    if (pending.answerBy > Millis {} && orders.starts.empty())
        orders.nextReport = m_options.reportAfterWait;
    return orders;
}

void JobMaster::addStarts(const RunnerReport& report, RunnerOrders& orders) const
{
    const auto* held = m_store.findHolding(report.life);
    if (held == nullptr)
        return;
    for (const auto& run : held->runs) {
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
    const auto& all = m_store.holdings();
    for (auto it = all.lower_bound({ runner, {} }); it != all.end() && it->first.runner == runner; ++it) {
        for (const auto& run : it->second.runs)
            commands.push_back(EndRun { run, RunEnd::Lost, "" });
    }
    m_changedRunners.insert(runner);
    if (!commands.empty())
        m_log.propose(commands, [this](bool) { m_mustPlan = true; });
}

void JobMaster::endLostRuns()
{
    std::vector<JobCommand> commands;
    auto now = m_clock().steady;
    for (const auto& [life, held] : m_store.holdings()) {
        if (!m_runners.isOver(life, now))
            continue;
        for (const auto& run : held.runs) {
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
        m_mustPlan = true;
    });
}

void JobMaster::openDueOccurrences()
{
    std::vector<JobCommand> commands;
    auto wall = m_clock().wall;
    for (const auto& id : m_store.openJobs()) {
        const auto& job = *m_store.findJob(id);
        for (auto next = job.opened; next < job.spec.occurrences; ++next) {
            if (wall < Millis { job.spec.firstDue.count + job.spec.period.count * next })
                break;
            commands.push_back(OpenOccurrence { id, next });
        }
    }
    if (!commands.empty())
        m_log.propose(commands, [this](bool) { m_mustPlan = true; });
}

void JobMaster::forgetOldJobs()
{
    std::vector<JobCommand> commands;
    auto wall = m_clock().wall;
    for (const auto& [endedAt, id] : m_store.idleEndedJobs()) {
        if (wall < endedAt + m_options.endedJobsKept)
            break;
        commands.push_back(ForgetJob { id });
    }
    if (!commands.empty())
        m_log.propose(commands, [](bool) {});
}

} // namespace celeryline
