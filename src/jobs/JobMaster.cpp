#include "celeryline/jobs/JobMaster.h"

#include "celeryline/jobs/StartPlan.h"
#include "celeryline/settings/EventLog.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr std::int64_t fullPace = 100;
/// The service handles one call at a time and refuses more than some dozens that wait.
constexpr std::size_t mostAdviceCalls = 4;

const char* endName(RunEnd how)
{
    switch (how) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::Lapsed:
        return "lapsed";
    case RunEnd::Broken:
        return "broken";
    case RunEnd::Alone:
        return "alone";
    case RunEnd::Refused:
        return "refused";
    case RunEnd::Lost:
        return "lost";
    }
    return "";
}

Event describeRun(const char* name, const RunName& run)
{
    Event event(name);
    event.with("job", run.task.job)
        .with("occurrence", run.task.occurrence)
        .with("step", run.task.step)
        .with("index", run.task.index)
        .with("run", run.run);
    return event;
}

/// Describes a caller's or operator's request.
Event describeCommand(const JobCommand& command)
{
    if (const auto* submit = std::get_if<SubmitJob>(&command)) {
        Event event("job-submitted");
        event.with("job", submit->job.id)
            .with("queue", submit->job.queue)
            .with("steps", submit->job.steps.size());
        return event;
    }
    if (const auto* cancel = std::get_if<CancelJob>(&command)) {
        Event event("job-cancelled");
        event.with("job", cancel->job);
        return event;
    }
    if (const auto* accept = std::get_if<AcceptConfiguration>(&command)) {
        Event event("configuration");
        event.with("version", accept->configuration.version)
            .with("queues", accept->configuration.queues.size());
        return event;
    }
    if (const auto* wave = std::get_if<StartWave>(&command)) {
        Event event("wave");
        event.with("wave", wave->wave)
            .with("machines", wave->machines.size())
            .with("atOnce", wave->maxAtOnce)
            .with("deadlineMs", wave->deadline);
        return event;
    }
    return Event("request");
}

const char* phaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Open:
        return "open";
    case JobPhase::Completed:
        return "completed";
    case JobPhase::Failed:
        return "failed";
    case JobPhase::Cancelled:
        return "cancelled";
    }
    return "";
}

/// Logs runs that ended, and the jobs that ended with them.
/// @param commands committed commands.
/// @param runner runner that reported the ends; empty if its lease lapsed.
void logEnds(const JobStore& store, const std::vector<JobCommand>& commands, const std::string& runner)
{
    std::set<std::string> jobs;
    for (const auto& command : commands) {
        const auto* end = std::get_if<EndRun>(&command);
        if (end == nullptr)
            continue;
        jobs.insert(end->run.task.job);
        describeRun("end", end->run)
            .with("how", endName(end->how))
            .with("runner", runner)
            .write(EventKind::Task);
    }
    for (const auto& id : jobs) {
        const auto* job = store.findJob(id);
        // Once nothing of an ended job runs any more, its tasks are dropped.
        if (job == nullptr || job->phase == JobPhase::Open || !job->occurrences.empty())
            continue;
        Event("job-ended")
            .with("job", id)
            .with("queue", job->spec.queue)
            .with("phase", phaseName(job->phase))
            .with("ageMs", job->endedAt - job->submittedAt)
            .write();
    }
}

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
    m_runners.forgetSilent(now);
    m_advice.forgetOld(now);
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
    if (state != nullptr && isNew)
        Event("runner-found")
            .with("runner", report.life.runner)
            .with("born", report.life.born)
            .with("service", report.service)
            .with("dataCentre", report.dataCentre)
            .with("isDraining", report.isDraining)
            .write();
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
    auto free = rooms();
    askForAdvice(free);
    auto now = m_clock();
    auto starts
        = planStarts(m_store, free, now.wall, [this, now](const TaskName& step, const std::string& runner) {
              return m_advice.ticket(step, runner, now.steady) != nullptr;
          });
    if (starts.empty())
        return;
    m_isPlanning = true;
    m_log.propose({ starts.begin(), starts.end() }, [this, starts](bool isCommitted) {
        m_isPlanning = false;
        for (const auto& start : starts)
            describeRun("start", start.run)
                .with("runner", start.life.runner)
                .with("outcome", isCommitted ? "committed" : "unknown")
                .write(EventKind::Task);
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

void JobMaster::askForAdvice(const std::vector<RunnerRoom>& rooms)
{
    if (m_advisor == nullptr)
        return;
    for (const auto& id : m_store.openJobs()) {
        const auto& job = *m_store.findJob(id);
        const auto* queue = findQueue(m_store.configuration(), job.spec.queue);
        if (queue == nullptr || !queue->needsAdvice)
            continue;
        for (const auto& [occurrence, steps] : job.occurrences) {
            for (std::size_t i = 0; i < steps.size(); ++i) {
                // The next steps are asked for ahead of need, while their predecessors run.
                if (steps[i].done + steps[i].active < steps[i].tasks.size())
                    askFor({ id, occurrence, static_cast<std::uint32_t>(i), 0 }, queue->service, rooms);
            }
        }
    }
}

void JobMaster::askFor(const TaskName& step, const std::string& service, const std::vector<RunnerRoom>& rooms)
{
    auto now = m_clock().steady;
    if (m_asking >= mostAdviceCalls || !m_advice.mustAsk(step, now))
        return;
    std::vector<std::string> runners;
    for (const auto& room : rooms) {
        if (room.service == service && runners.size() < PlacementAdvisor::mostRunners)
            runners.push_back(room.life.runner);
    }
    if (runners.empty())
        return;
    m_advice.noteAsked(step, now);
    ++m_asking;
    m_advisor->ask(
        step, runners, [this, step, now, term = m_log.term()](std::optional<PlacementAdvice> advice) {
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
    describeRun("recall", run).write();
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
    m_log.propose(commands, [this, commands](bool isCommitted) {
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
