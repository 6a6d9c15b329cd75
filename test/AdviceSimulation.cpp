#include "AdviceSimulation.h"

#include <algorithm>
#include <utility>

namespace celeryline::test {
namespace {

constexpr Millis tickInterval { 10 };
const std::string plainQueue = "host/plain/";

std::string stepKey(const TaskName& task)
{
    return task.job.text() + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step);
}

QueueConfiguration adviceConfiguration(const AdviceServiceOptions& options)
{
    auto configuration = makeConfiguration(2);
    auto plain = configuration.queues.front();
    plain.key = plainQueue;
    configuration.queues.front().needsAdvice = true;
    configuration.queues.front().adviceTiming = { options.decide, options.interval, options.validity };
    configuration.queues.push_back(plain);
    return configuration;
}

} // namespace

void SimulatedAdviceService::ask(
    const TaskName& step, const std::vector<std::string>& runners, Millis timeout, Callback done)
{
    ++callCount;
    namedRunners += runners.size();
    bool isBusy = m_now < m_idleSince || !m_calls.empty();
    if (isBusy && m_calls.size() >= options.maxWaiting) {
        ++rejectedCount;
        done(std::nullopt);
        return;
    }
    m_calls.push_back({ step, runners, std::move(done), m_now, m_now + timeout });
    longestLine = std::max(longestLine, m_calls.size());
}

void SimulatedAdviceService::occupyFor(Millis time) { m_idleSince = m_now + time; }

Millis SimulatedAdviceService::finishOf(const Call& call) const
{
    auto runners = static_cast<std::int64_t>(call.runners.size());
    return std::max(call.askedAt, m_idleSince) + options.decide + Millis { options.interval.count * runners };
}

void SimulatedAdviceService::advanceTo(Millis now)
{
    m_now = now;
    while (!isSilent && !m_calls.empty() && now >= finishOf(m_calls.front())) {
        auto finishedAt = finishOf(m_calls.front());
        auto call = std::move(m_calls.front());
        m_calls.pop_front();
        answer(call, finishedAt);
        m_idleSince = finishedAt;
    }
    for (auto& call : m_calls) {
        if (call.done && now >= call.deadline)
            std::exchange(call.done, nullptr)(std::nullopt);
    }
}

void SimulatedAdviceService::answer(const Call& call, Millis finishedAt)
{
    PlacementAdvice advice;
    advice.validFor = options.validity;
    auto issuedAt = options.countsFromCall ? std::max(call.askedAt, m_idleSince) : finishedAt;
    for (const auto& runner : call.runners) {
        if (!options.approves(call.step, runner))
            continue;
        auto ticket = "t" + std::to_string(m_tickets.size());
        m_tickets[{ stepKey(call.step), runner, ticket }] = issuedAt + options.validity;
        advice.tickets[runner] = ticket;
    }
    if (call.done)
        call.done(advice);
}

bool SimulatedAdviceService::isValid(
    const TaskName& task, const std::string& runner, const std::string& ticket) const
{
    auto found = m_tickets.find({ stepKey(task), runner, ticket });
    return found != m_tickets.end() && m_now <= found->second;
}

AdviceSimulation::AdviceSimulation(int runners, AdviceServiceOptions options)
    : service(std::move(options))
{
    kit.store.apply(AcceptConfiguration { adviceConfiguration(service.options) }, {});
    kit.master.setAdvisor(service);
    for (int i = 0; i < runners; ++i) {
        Runner runner;
        runner.id = "r" + std::to_string(i);
        m_runners.push_back(runner);
    }
    service.advanceTo(kit.moment.steady);
    for (auto& runner : m_runners)
        report(runner);
}

void AdviceSimulation::submit(const std::string& id, const std::vector<StepSpec>& steps)
{
    ++m_submitted;
    kit.submit(makeJob(id, steps));
}

void AdviceSimulation::submitPlain(const std::string& id, const StepSpec& step)
{
    ++m_submitted;
    auto job = makeJob(id, { step });
    job.queue = plainQueue;
    kit.submit(job);
}

void AdviceSimulation::runFor(Millis time)
{
    for (auto end = kit.moment.steady + time; kit.moment.steady < end;)
        step();
}

void AdviceSimulation::startNextTerm()
{
    ++kit.log.currentTerm;
    kit.master.startTerm();
}

bool AdviceSimulation::runUntilStarted(Millis limit)
{
    for (auto end = kit.moment.steady + limit; kit.moment.steady < end && m_started.size() < m_submitted;)
        step();
    return m_started.size() == m_submitted;
}

bool AdviceSimulation::runUntilDone(Millis limit)
{
    for (auto end = kit.moment.steady + limit; kit.moment.steady < end && !kit.store.openJobs().empty();)
        step();
    return kit.store.openJobs().empty();
}

void AdviceSimulation::restartRunner(const std::string& runner)
{
    auto found = std::find_if(
        m_runners.begin(), m_runners.end(), [&](const Runner& known) { return known.id == runner; });
    auto born = found->born;
    *found = {};
    found->id = runner;
    found->born = born + 1;
}

void AdviceSimulation::step()
{
    service.advanceTo(kit.moment.steady + tickInterval);
    kit.advance(tickInterval);
    for (auto& runner : m_runners) {
        finishTasks(runner);
        if (kit.moment.steady >= runner.nextReport)
            report(runner);
    }
}

void AdviceSimulation::finishTasks(Runner& runner)
{
    auto now = kit.moment.steady;
    for (auto it = runner.active.begin(); it != runner.active.end();) {
        if (now < it->endsAt) {
            ++it;
            continue;
        }
        addEnd(runner, it->run, RunOutcome::Done);
        it = runner.active.erase(it);
    }
}

void AdviceSimulation::addEnd(Runner& runner, const RunName& run, RunOutcome outcome)
{
    runner.ended.push_back({ ++runner.ends, run, outcome, "" });
    runner.nextReport = kit.moment.steady;
}

void AdviceSimulation::report(Runner& runner)
{
    auto report = makeReport(runner.id, ++runner.sequence, runner.born);
    for (const auto& active : runner.active)
        report.running.push_back({ active.run, "", 0, 0 });
    report.ended = runner.ended;
    runner.nextReport = kit.moment.steady + m_reportInterval;
    if (auto orders = kit.report(report))
        obey(runner, *orders);
}

void AdviceSimulation::obey(Runner& runner, const RunnerOrders& orders)
{
    runner.ended.erase(std::remove_if(runner.ended.begin(), runner.ended.end(),
                           [&](const ReportedEnd& end) { return end.number <= orders.acknowledgedEnds; }),
        runner.ended.end());
    for (const auto& start : orders.starts) {
        bool isPlain = kit.store.findJob(start.run.task.job)->spec.queue == plainQueue;
        if (isPlain || service.isValid(start.run.task, runner.id, start.ticket)) {
            runner.active.push_back({ start.run, kit.moment.steady + taskDuration });
            m_started.insert(start.run.task.job.text());
        } else {
            ++refusedStarts;
            addEnd(runner, start.run, RunOutcome::Refused);
        }
    }
}

} // namespace celeryline::test
