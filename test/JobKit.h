/// @file
/// Builders, a fake log and a JobMaster fixture for tests of the job state.
#pragma once

#include "celeryline/jobs/JobMaster.h"

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace celeryline::test {

inline StepSpec makeStep(std::uint32_t count, std::int64_t cpuMilli = 1000, std::int64_t memoryMb = 1000)
{
    StepSpec step;
    step.count = count;
    step.demand = { cpuMilli, memoryMb, 0 };
    step.estimate = { 500 };
    return step;
}

inline JobSpec makeJob(const std::string& id, std::vector<StepSpec> steps)
{
    JobSpec job;
    job.id = id;
    job.queue = "host/queue/";
    job.payload = "payload of " + id;
    job.steps = std::move(steps);
    return job;
}

inline QueueConfiguration makeConfiguration(std::uint64_t version = 1, std::uint32_t attempts = 2)
{
    QueueConfiguration configuration;
    configuration.version = version;
    configuration.document = "document " + std::to_string(version);
    QueueSettings queue;
    queue.key = "host/queue/";
    queue.service = "pool";
    queue.attempts = attempts;
    queue.objective = { 3000 };
    configuration.queues.push_back(queue);
    configuration.pools.push_back({ "pool", true, false });
    return configuration;
}

inline RunnerReport makeReport(const std::string& runner, std::uint64_t sequence, std::int64_t born = 1)
{
    RunnerReport report;
    report.incarnation = { runner, Millis { born } };
    report.sequence = sequence;
    report.service = "pool";
    report.capacity = { 4000, 8000, 0 };
    return report;
}

inline ReportedRun running(const StartOrder& start, std::int64_t percent = 100)
{
    return { start.run, "", percent, 0 };
}

inline ReportedEnd ended(std::uint64_t number, const StartOrder& start, RunOutcome outcome)
{
    return { number, start.run, outcome, "" };
}

/// A log that commits immediately or on commit().
class ManualLog final : public CommandLog {
public:
    explicit ManualLog(JobStore& store)
        : m_store(store)
    {
    }

    bool isLeading() const override { return leads; }
    std::uint64_t term() const override { return currentTerm; }
    void propose(const std::vector<JobCommand>& commands, std::function<void(bool)> done) override
    {
        proposals.emplace_back(commands, std::move(done));
        if (commitsImmediately)
            commit();
    }

    /// Commits all pending proposals.
    void commit()
    {
        while (!proposals.empty()) {
            auto [commands, done] = std::move(proposals.front());
            proposals.pop_front();
            for (const auto& command : commands) {
                if (onCommitted)
                    onCommitted(command);
                m_store.apply(command, {});
            }
            done(true);
        }
    }

    /// Loses leadership and drops all pending proposals.
    void loseLeadership()
    {
        leads = false;
        auto lost = std::move(proposals);
        proposals.clear();
        for (auto& [commands, done] : lost)
            done(false);
    }

    bool leads = true;
    bool commitsImmediately = true;
    std::uint64_t currentTerm = 7;
    std::function<void(const JobCommand&)> onCommitted;
    std::deque<std::pair<std::vector<JobCommand>, std::function<void(bool)>>> proposals;

private:
    JobStore& m_store;
};

/// @return options with which each report is answered immediately.
inline JobMasterOptions withoutWaiting()
{
    JobMasterOptions options;
    options.maxAnswerDelay = {};
    return options;
}

/// A JobMaster with its store, log and simulated clock.
struct JobMasterFixture {
    explicit JobMasterFixture(const JobMasterOptions& options = withoutWaiting())
        : log(store)
        , master(options, store, log, [this] { return moment; })
    {
        log.onCommitted = [this](const JobCommand& command) { master.onCommitted(command); };
        store.apply(AcceptConfiguration { makeConfiguration() }, {});
        master.startTerm();
    }

    void submit(const JobSpec& job)
    {
        master.request(SubmitJob { job, moment.wall }, [](RequestOutcome) {});
        master.tick();
    }

    /// Sends a report.
    /// @return the orders in the answer; empty if there is no answer yet.
    std::optional<RunnerOrders> report(const RunnerReport& report)
    {
        // Shared, since the answer to an idle runner may arrive after this call returns.
        auto answer = std::make_shared<std::optional<RunnerOrders>>();
        master.report(report, [answer](std::optional<RunnerOrders> orders) { *answer = std::move(orders); });
        master.tick(); // The process ticks after each commit.
        return *answer;
    }

    /// Commits all pending proposals.
    void commit()
    {
        log.commit();
        master.tick();
    }

    void advance(Millis time)
    {
        moment.steady = moment.steady + time;
        moment.wall = moment.wall + time;
        master.tick();
        master.tick(); // The process ticks again after each commit.
    }

    JobStore store;
    ManualLog log;
    Moment moment { { 1000 }, { 100000 } };
    JobMaster master;
};

} // namespace celeryline::test
