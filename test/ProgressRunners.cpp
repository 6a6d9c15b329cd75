// Runner behaviour of ProgressSimulation.
#include "ProgressSimulationParts.h"

namespace celeryline::test {
namespace {

constexpr std::int64_t answerLimitMs = 1000;
constexpr std::int64_t idleReportMs = 1500;
constexpr std::int64_t reportAfterEndMs = 50;
constexpr std::int64_t gangWaitMs = 1500;
constexpr double slowClockFactor = 1.02; ///< Real time per unit of time on a runner's clock.
constexpr double slowdownFactor = 8; ///< Slowdown by Fault::Slow.

} // namespace

bool isPoison(const JobId& id) { return id.text().rfind("poison", 0) == 0; }

ProgressSimulation::Runner* ProgressSimulation::runnerOf(const Machine& machine)
{
    auto found = m_runners.find(machine.runner);
    return found == m_runners.end() ? nullptr : found->second.get();
}

const ProgressSimulation::Runner* ProgressSimulation::runnerOf(const Machine& machine) const
{
    auto found = m_runners.find(machine.runner);
    return found == m_runners.end() ? nullptr : found->second.get();
}

void ProgressSimulation::end(Runner& runner, std::size_t index, RunOutcome outcome)
{
    auto run = runner.work[index].run;
    runner.work.erase(runner.work.begin() + static_cast<std::ptrdiff_t>(index));
    runner.ended.push_back({ ++runner.lastEnd, run, outcome, "" });
    auto& highest = runner.highestEndedRun[run.task];
    highest = std::max(highest, run.run);
    runner.nextReport = std::min(runner.nextReport, m_now + reportAfterEndMs);
}

bool ProgressSimulation::stepGang(Runner& runner, Work& work)
{
    std::uint32_t present = 0;
    for (const auto& [id, other] : m_runners) {
        for (const auto& member : other->work) {
            const auto& a = member.run.task;
            const auto& b = work.run.task;
            present += a.job == b.job && a.step == b.step && member.run.run == work.run.run ? 1 : 0;
        }
    }
    work.isGangComplete = work.isGangComplete || present == work.members;
    auto index = static_cast<std::size_t>(&work - runner.work.data());
    if (work.isGangComplete && present < work.members) {
        end(runner, index, RunOutcome::Broken);
        return false;
    }
    if (!work.isGangComplete && m_now >= work.since + gangWaitMs) {
        end(runner, index, RunOutcome::Alone);
        return false;
    }
    return true;
}

void ProgressSimulation::stepWork(Runner& runner)
{
    auto speed = runner.has(Fault::Slow, m_now) ? 1 / slowdownFactor : 1.0;
    for (std::size_t i = 0; i < runner.work.size();) {
        auto& work = runner.work[i];
        if (work.stopsAt != 0 && m_now >= work.stopsAt) {
            end(runner, i, RunOutcome::Stopped);
            continue;
        }
        if (work.isGang && !stepGang(runner, work))
            continue;
        bool isAtWork = !work.hangs && (!work.isGang || work.isGangComplete);
        if (isAtWork)
            work.doneMs += static_cast<double>(stepMs) * speed * work.rate;
        if (work.fails && work.doneMs >= work.neededMs / 4) {
            end(runner, i, RunOutcome::Failed);
        } else if (!work.isLongRunning && work.doneMs >= work.neededMs) {
            end(runner, i, RunOutcome::Done);
        } else {
            ++i;
        }
    }
}

void ProgressSimulation::stepRunner(Runner& runner)
{
    if (m_now < runner.upAt)
        return;
    if (static_cast<double>(m_now) >= runner.leaseUntil) {
        while (!runner.work.empty())
            end(runner, 0, RunOutcome::Lapsed);
    }
    stepWork(runner);
    if (runner.isReportPending && m_now >= runner.reportSentAt + answerLimitMs) {
        runner.isReportPending = false;
        runner.nextReport = m_now;
    }
    if (!runner.isReportPending && m_now >= runner.nextReport)
        sendReport(runner);
}

void ProgressSimulation::sendReport(Runner& runner)
{
    RunnerReport report;
    report.incarnation = { runner.id, { runner.born } };
    report.sequence = ++runner.sequence;
    report.service = runner.pool;
    report.machine = runner.machine;
    report.rack = runner.rack;
    report.capacity = runner.capacity;
    for (const auto& work : runner.work) {
        auto percent = static_cast<std::int64_t>(100 * work.doneMs / work.neededMs);
        report.running.push_back({ work.run, "", std::min<std::int64_t>(100, percent), 0 });
    }
    report.ended = runner.ended;
    runner.isReportPending = true;
    runner.reportSentAt = m_now;
    runner.nextReport = m_now + idleReportMs;
    if (runner.has(Fault::Silent, m_now))
        return;
    auto done = [this, life = report.incarnation, sequence = report.sequence, sentAt = m_now](
                    const std::optional<RunnerOrders>& orders) {
        // Answers are lost only before the last fault has ended.
        if (m_now < m_lastFault && below(50) == 0)
            return;
        after(1 + static_cast<std::int64_t>(below(4)), [this, life, sequence, sentAt, orders] {
            auto found = m_runners.find(life.runner);
            if (found == m_runners.end() || found->second->born != life.startTime.count)
                return;
            auto& runner = *found->second;
            if (!runner.isReportPending || runner.sequence != sequence || runner.has(Fault::Silent, m_now))
                return;
            runner.isReportPending = false;
            if (orders) {
                applyOrders(runner, sentAt, *orders);
            } else {
                runner.nextReport = m_now + 20;
            }
        });
    };
    after(1 + static_cast<std::int64_t>(below(4)), [this, report, done] {
        if (leading() == nullptr) {
            done(std::nullopt);
        } else {
            leading()->master.report(report, done);
        }
    });
}

void ProgressSimulation::applyOrders(Runner& runner, std::int64_t sentAt, const RunnerOrders& orders)
{
    runner.nextReport = m_now + (orders.nextReport.count > 0 ? orders.nextReport.count : idleReportMs);
    if (orders.lease.count == 0 || orders.fence < runner.fence)
        return;
    runner.fence = orders.fence;
    runner.leaseUntil = std::max(runner.leaseUntil,
        static_cast<double>(sentAt) + slowClockFactor * static_cast<double>(orders.lease.count));
    auto& ended = runner.ended;
    ended.erase(std::remove_if(ended.begin(), ended.end(),
                    [&](const ReportedEnd& end) { return end.number <= orders.acknowledgedEnds; }),
        ended.end());
    if (!ended.empty())
        runner.nextReport = std::min(runner.nextReport, m_now + reportAfterEndMs);
    for (const auto& stop : orders.stops) {
        auto found = std::find_if(
            runner.work.begin(), runner.work.end(), [&](const Work& work) { return work.run == stop; });
        if (found == runner.work.end()) {
            auto& highest = runner.highestEndedRun[stop.task];
            highest = std::max(highest, stop.run);
        } else if (found->stopsAt == 0) {
            found->stopsAt = m_now + 50 + static_cast<std::int64_t>(below(250));
        }
    }
    for (const auto& rate : orders.rates) {
        for (auto& work : runner.work) {
            if (work.run == rate.run)
                work.rate = static_cast<double>(rate.percent) / 100;
        }
    }
    for (const auto& start : orders.starts)
        begin(runner, start);
}

void ProgressSimulation::begin(Runner& runner, const StartOrder& start)
{
    bool isRunning = std::any_of(
        runner.work.begin(), runner.work.end(), [&](const Work& work) { return work.run == start.run; });
    if (isRunning || start.run.run <= runner.highestEndedRun[start.run.task])
        return;
    const auto* spec = m_store.findStep(start.run.task);
    if (spec == nullptr)
        return;
    ++m_startedRuns;
    Work work;
    work.run = start.run;
    work.since = m_now;
    auto spread = 80 + static_cast<std::int64_t>(below(41));
    auto needed = spec->estimate.count * spread * durationPercent / 10000;
    work.neededMs = static_cast<double>(std::max<std::int64_t>(50, needed));
    work.isLongRunning = spec->isLongRunning;
    work.isGang = spec->isGang;
    work.members = spec->count;
    work.reserved = reservedBy(*spec);
    // The progress of best-effort tasks is not monitored, so one that hangs would never be stopped.
    work.hangs
        = !spec->isLongRunning && !spec->isBestEffort && runner.has(Fault::Hangs, m_now) && below(2) == 0;
    work.fails = isPoison(start.run.task.job) || (runner.has(Fault::FailsTasks, m_now) && below(10) < 9);
    if (spec->isLongRunning)
        work.neededMs = 400; // Time until it reports full progress.
    runner.work.push_back(work);
}

} // namespace celeryline::test
