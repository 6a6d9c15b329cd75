#include "celeryline/jobs/JobMaster.h"

#include "celeryline/jobs/JobEvents.h"

#include <algorithm>
#include <utility>

namespace celeryline {
namespace {

bool isReported(const RunnerReport& report, const RunName& run)
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
    , m_runners(std::max(options.runLease, options.runLeaseWhenLagging))
    , m_snapshotAppliedAt(m_clock().steady)
    , m_cancelledIdHistory(options.cancelledIdRetention)
    , m_admission(store)
{
}

void JobMaster::startTerm()
{
    // The runners report again; their earlier reports may be too old to answer.
    for (const auto& [runner, pending] : std::exchange(m_delayedAnswers, {}))
        pending->done(std::nullopt);
    m_delayedByDeadline.clear();
    m_runners.reset(m_clock().steady);
    m_isPlanning = false;
    m_startingOn.clear();
    m_candidates.clear();
    m_changedRunners.clear();
    m_mustRefreshCandidates = true;
    m_isHousekeeping = false;
    m_mustPlan = true;
    m_reserved.clear();
    m_replaced.clear();
    m_recalling.clear();
    m_expiring.clear();
    m_pendingSilences.clear();
    m_overdue.clear();
    m_trust.clear();
    m_hints.speculativeTasks.clear();
    m_nextHousekeeping = {};
    m_waits.clear();
    m_quotaWaits.clear();
    m_waitingSince.clear();
    m_adviceCache.clear();
    m_admission.startTerm();
    m_reachableCapacity.clear();
}

void JobMaster::tick()
{
    if (!m_log.isLeading()) {
        answerAwaitingPlan();
        answerExpired();
        followCommits();
        return;
    }
    if (m_mustPlan)
        plan();
    answerAwaitingPlan();
    answerExpired();
    auto now = m_clock().steady;
    if (now < m_nextHousekeeping || m_isHousekeeping)
        return;
    m_nextHousekeeping = now + m_options.housekeepingInterval;
    sampleCancelledIds();
    // Free capacity can change without an event, for example when a runner stops reporting.
    m_mustRefreshCandidates = true;
    m_mustPlan = true;
    m_runners.removeSilent(now);
    m_trust.refresh(now);
    pruneStaleState();
    replaceOverdueRuns();
    noteSilences();
    endExpiredRuns();
    openDueOccurrences();
    removeOldJobs();
    forgetCancelledIds();
}

void JobMaster::followCommits()
{
    auto now = m_clock().steady;
    if (now < m_nextHousekeeping)
        return;
    m_nextHousekeeping = now + m_options.housekeepingInterval;
    sampleCancelledIds();
    pruneStaleState();
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
    if (!namesKnownService(report)) {
        Event("report-ignored")
            .with("runner", report.incarnation.runner)
            .with("born", report.incarnation.startTime)
            .with("service", report.service)
            .with("reason", "unknown service")
            .write();
        done(RunnerOrders {});
        return;
    }
    bool isNew = m_runners.find(report.incarnation) == nullptr;
    auto lease = isLagging() ? m_options.runLeaseWhenLagging : m_options.runLease;
    const auto* state = m_runners.accept(std::move(report), lease, m_clock().steady);
    if (state != nullptr && isNew) {
        m_mustPlan = true;
        m_adviceCache.removeRunner(state->report.incarnation.runner);
        Event("runner-found")
            .with("runner", state->report.incarnation.runner)
            .with("born", state->report.incarnation.startTime)
            .with("service", state->report.service)
            .with("dataCentre", state->report.dataCentre)
            .with("isDraining", state->report.isDraining)
            .write();
    }
    if (state == nullptr) {
        done(RunnerOrders {}); // An outdated report gets no lease and no orders.
        return;
    }
    m_changedRunners.insert(state->report.incarnation.runner);
    if (state->report.isDraining)
        recallFrom(state->report.incarnation.runner);
    auto pending = std::make_shared<PendingReport>();
    pending->incarnation = state->report.incarnation;
    pending->sequence = state->report.sequence;
    pending->done = std::move(done);
    for (const auto& end : state->report.ended)
        pending->lastEnd = std::max(pending->lastEnd, end.number);
    auto commands = endsOf(state->report);
    if (commands.empty()) {
        answerAfterPlan(pending);
        return;
    }
    commitEnds(commands, pending);
}

bool JobMaster::namesKnownService(const RunnerReport& report) const
{
    const auto& configuration = m_store.configuration();
    if (configuration.version == 0 || hasPool(configuration, report.service))
        return true;
    // The service of a runner at work may have been removed.
    const auto* known = m_runners.find(report.incarnation);
    return known != nullptr && known->report.service == report.service;
}

void JobMaster::commitEnds(
    const std::vector<JobCommand>& commands, const std::shared_ptr<PendingReport>& pending)
{
    m_log.propose(commands, [this, pending, commands](bool isCommitted) {
        if (!isCommitted) {
            pending->done(std::nullopt);
            return;
        }
        logEnds(m_store, commands, pending->incarnation.runner);
        recordOutcomes(commands, pending->incarnation);
        m_changedRunners.insert(pending->incarnation.runner);
        // Many reports are committed together and share one plan.
        m_mustPlan = true;
        m_awaitingPlan.push_back(pending);
    });
}

std::vector<JobCommand> JobMaster::endsOf(const RunnerReport& report) const
{
    std::vector<JobCommand> commands;
    const auto& all = m_store.allocations();
    for (auto it = all.lower_bound({ report.incarnation.runner, {} });
         it != all.end() && it->first.runner == report.incarnation.runner
         && it->first.startTime < report.incarnation.startTime;
         ++it) {
        for (const auto& run : it->second.runs)
            commands.push_back(EndRun { run, RunOutcome::Lost, "" });
    }
    const auto* allocation = m_store.findAllocation(report.incarnation);
    if (allocation == nullptr)
        return commands;
    if (allocation->silentLeaseLeft || m_pendingSilences.count(report.incarnation) != 0)
        commands.push_back(NoteContact { report.incarnation });
    for (const auto& end : report.ended) {
        if (allocation->runs.count(end.run) != 0)
            commands.push_back(EndRun { end.run, end.outcome, end.checkpoint });
    }
    for (const auto& run : allocation->runs) {
        // A runner has only one report in flight, so a run that isn't listed can start only by an order in
        // the answer to this report or a later one.
        if (!mustRun(run, report.incarnation) && !isReported(report, run))
            commands.push_back(EndRun { run, RunOutcome::Stopped, "" });
    }
    return commands;
}

void JobMaster::leave(const std::string& runner)
{
    auto now = m_clock().steady;
    Event event("runner-left");
    event.with("runner", runner);
    auto found = m_runners.runners().find(runner);
    if (found != m_runners.runners().end()) {
        const auto& state = found->second;
        const auto* allocation = m_store.findAllocation(state.report.incarnation);
        event.with("born", state.report.incarnation.startTime)
            .with("isDraining", state.report.isDraining)
            .with("runs", allocation == nullptr ? 0 : allocation->runs.size())
            .with("leaseLeftMs", state.leaseExpiry - now);
        // Otherwise the request may be a delayed one of an earlier incarnation.
        if (state.report.isDraining)
            m_adviceCache.removeRunner(runner);
    }
    event.write();
    m_runners.markLeft(runner, now);
    m_changedRunners.insert(runner);
}

void JobMaster::answer(const PendingReport& pending)
{
    // The process may have been suspended since the report arrived; without leadership it must not issue
    // orders.
    if (!m_log.isLeading()) {
        pending.done(std::nullopt);
        return;
    }
    pending.done(ordersFor(pending));
}

RunnerOrders JobMaster::ordersFor(const PendingReport& pending)
{
    RunnerOrders orders;
    const auto* state = m_runners.find(pending.incarnation);
    if (state == nullptr || state->report.sequence != pending.sequence)
        return orders; // Superseded by a later report or incarnation.
    const auto& report = state->report;
    orders.lease = state->lease;
    orders.fence = m_log.term();
    orders.acknowledgedEnds = pending.lastEnd;
    addStarts(report, orders);
    addStops(report, orders);
    throttleBestEffort(report, orders);
    auto reserved = reservedOn(report.incarnation);
    // The runs of a draining runner must end before it leaves.
    bool reportsOften = report.isDraining ? m_store.findAllocation(report.incarnation) != nullptr
                                          : reserved.cpuMilli < report.capacity.cpuMilli;
    orders.nextReport
        = reportsOften ? m_options.reportIntervalWithCapacity : m_options.reportIntervalWhenFull;
    if (pending.answerDeadline > Millis {} && orders.starts.empty())
        orders.nextReport = m_options.reportDelayAfterWait;
    return orders;
}

void JobMaster::addStarts(const RunnerReport& report, RunnerOrders& orders) const
{
    const auto* allocation = m_store.findAllocation(report.incarnation);
    if (allocation == nullptr)
        return;
    for (const auto& run : allocation->runs) {
        // The order was lost if the runner reports neither the run nor its end.
        if (isReported(report, run) || !mustRun(run, report.incarnation))
            continue;
        const auto* task = m_store.findTask(run.task);
        const auto* ticket = m_adviceCache.latestTicket(run.task, report.incarnation.runner);
        orders.starts.push_back({ run, m_store.findJob(run.task.job)->spec.payload, task->checkpoint,
            ticket == nullptr ? std::string() : *ticket });
    }
}

void JobMaster::addStops(const RunnerReport& report, RunnerOrders& orders) const
{
    for (const auto& reported : report.running) {
        if (mustStop(reported, report.incarnation))
            orders.stops.push_back(reported.run);
    }
}

bool JobMaster::mustStop(const ReportedRun& reported, const RunnerIncarnation& incarnation) const
{
    if (!mustRun(reported.run, incarnation) || m_replaced.count(reported.run) != 0)
        return true;
    if (!m_store.isRecalled(reported.run))
        return false;
    // Other tasks may have become unavailable since the recall was decided.
    return !isAtWork(reported) || (!isLagging() && maySpare(reported.run.task));
}

bool JobMaster::mustRun(const RunName& run, const RunnerIncarnation& incarnation) const
{
    const auto* job = m_store.findJob(run.task.job);
    const auto* task = m_store.findTask(run.task);
    if (job == nullptr || task == nullptr || job->phase != JobPhase::Open || task->isDone)
        return false;
    if (m_expiring.count(run) != 0)
        return false;
    return std::any_of(task->runs.begin(), task->runs.end(),
        [&](const TaskRun& known) { return known.number == run.run && known.incarnation == incarnation; });
}

void JobMaster::noteMachineDown(const std::string& runner)
{
    m_runners.markLeft(runner, m_clock().steady);
    m_changedRunners.insert(runner);
}

} // namespace celeryline
