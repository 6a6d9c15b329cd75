// Runner behaviour of JobSimulation.
#include "JobSimulationParts.h"

namespace celeryline::test {

void JobSimulation::deliverReport(int replica, const RunnerReport& report, JobMaster::OrdersCallback done)
{
    auto* target = m_replicas[replica].get();
    if (!target->isUp())
        return;
    target->inbox.push_back([target, report, done = std::move(done)] {
        if (target->isUp())
            target->master().report(report, done);
    });
}

void JobSimulation::sendReport(Runner& runner)
{
    RunnerReport report;
    report.incarnation = { runner.id, { runner.born } };
    report.sequence = ++runner.sequence;
    report.service = "pool";
    report.capacity = { 4000, 8000, 0 };
    for (const auto& work : runner.work)
        report.running.push_back({ work.run, "", 50, 0 });
    report.ended = runner.ended;
    runner.isReportPending = true;
    runner.reportSentAt = m_now;
    auto number = ++runner.reportNumber;
    auto sentAt = m_now;
    auto done = [this, &runner, number, sentAt](std::optional<RunnerOrders> orders) {
        if (isLost())
            return;
        after(networkDelay(), [this, &runner, number, sentAt, orders = std::move(orders)] {
            bool isCurrent = runner.isReportPending && runner.reportNumber == number;
            if (!isCurrent || m_now >= sentAt + detail::answerLimitMs || runner.partitionedUntil > m_now)
                return;
            runner.isReportPending = false;
            if (orders) {
                applyOrders(runner, sentAt, *orders);
            } else {
                runner.target = static_cast<int>(below(m_replicas.size()));
                runner.nextReport = m_now + 20;
            }
        });
    };
    if (below(100) < duplicatedPercent) {
        auto other = static_cast<int>(below(m_replicas.size()));
        auto late = 500 + static_cast<std::int64_t>(below(4000));
        after(late, [this, other, report] {
            deliverReport(other, report, [](const std::optional<RunnerOrders>&) {});
        });
    }
    if (isLost() || runner.partitionedUntil > m_now)
        return;
    after(networkDelay(),
        [this, target = runner.target, report, done] { deliverReport(target, report, done); });
}

void JobSimulation::applyOrders(Runner& runner, std::int64_t sentAt, const RunnerOrders& orders)
{
    runner.nextReport
        = m_now + (orders.nextReport.count > 0 ? orders.nextReport.count : detail::idleReportMs);
    if (orders.lease.count == 0 || orders.fence < runner.fence)
        return;
    runner.fence = orders.fence;
    runner.leaseUntil = std::max(runner.leaseUntil,
        static_cast<double>(sentAt) + detail::slowClockFactor * static_cast<double>(orders.lease.count));
    for (const auto& end : runner.ended) {
        if (end.number <= orders.acknowledgedEnds && end.number > runner.lapsedEnds
            && end.outcome == RunOutcome::Done)
            m_acknowledgedDone.insert(end.run.task);
    }
    auto& ended = runner.ended;
    ended.erase(std::remove_if(ended.begin(), ended.end(),
                    [&](const ReportedEnd& end) { return end.number <= orders.acknowledgedEnds; }),
        ended.end());
    for (const auto& stop : orders.stops) {
        auto holds = std::any_of(
            runner.work.begin(), runner.work.end(), [&](const Runner::Work& w) { return w.run == stop; });
        if (holds) {
            runner.end(stop, RunOutcome::Stopped);
        } else {
            auto& highest = runner.highestEndedRun[stop.task];
            highest = std::max(highest, stop.run);
        }
    }
    for (const auto& start : orders.starts) {
        bool hasEnded = start.run.run <= runner.highestEndedRun[start.run.task];
        bool isHere = std::any_of(runner.work.begin(), runner.work.end(),
            [&](const Runner::Work& w) { return w.run == start.run; });
        if (hasEnded || isHere)
            continue;
        if (m_acknowledgedDone.count(start.run.task) != 0)
            fail(textOf(start.run.task) + " starts again after its end was acknowledged");
        if (m_cancelled.count(start.run.task.job) != 0)
            fail(textOf(start.run.task) + " starts although its job was cancelled before it was submitted");
        ++m_startedRuns;
        runner.work.push_back({ start.run, m_now + 100 + static_cast<std::int64_t>(below(900)) });
    }
}

void JobSimulation::stepRunner(Runner& runner)
{
    if (static_cast<double>(m_now) >= runner.leaseUntil) {
        while (!runner.work.empty())
            runner.end(runner.work.front().run, RunOutcome::Lapsed);
        runner.lapsedEnds = runner.lastEnd;
    }
    for (std::size_t i = 0; i < runner.work.size();) {
        if (runner.work[i].endsAt <= m_now) {
            runner.end(runner.work[i].run, below(20) == 0 ? RunOutcome::Failed : RunOutcome::Done);
            runner.nextReport = std::min(runner.nextReport, m_now + detail::reportAfterEndMs);
        } else {
            ++i;
        }
    }
    if (runner.isReportPending && m_now >= runner.reportSentAt + detail::answerLimitMs) {
        runner.isReportPending = false;
        runner.target = static_cast<int>(below(m_replicas.size()));
        runner.nextReport = m_now;
    }
    if (!runner.isReportPending && m_now >= runner.nextReport)
        sendReport(runner);
}

} // namespace celeryline::test
