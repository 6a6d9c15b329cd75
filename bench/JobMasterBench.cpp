// Cost of a report and the planning it triggers on the leader, and of the admission of a job, by fleet size.
#include "celeryline/jobs/JobMaster.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

using namespace celeryline;

namespace {

constexpr int poolCount = 5;
constexpr int tasksPerJob = 8;
constexpr std::int64_t coresPerRunner = 16000;

/// A log that commits each proposal immediately.
class ImmediateLog final : public CommandLog {
public:
    explicit ImmediateLog(JobStore& store)
        : m_store(store)
    {
    }

    bool isLeading() const override { return true; }
    std::uint64_t term() const override { return 1; }
    void propose(const std::vector<JobCommand>& commands, std::function<void(bool)> done) override
    {
        for (const auto& command : commands)
            m_store.apply(command, {});
        done(true);
    }

private:
    JobStore& m_store;
};

std::string poolName(int number) { return "pool-" + std::to_string(number % poolCount); }
std::string customerName(int number) { return "customer-" + std::to_string(number); }
std::string queueName(int number) { return "host/queue-" + std::to_string(number % poolCount) + "/"; }

QueueConfiguration makeConfiguration()
{
    QueueConfiguration configuration;
    configuration.version = 1;
    for (int i = 0; i < poolCount; ++i) {
        QueueSettings queue;
        queue.key = queueName(i);
        queue.service = poolName(i);
        queue.attempts = 2;
        queue.objective = { 3600 };
        configuration.queues.push_back(queue);
        configuration.pools.push_back({ poolName(i), true, false });
    }
    return configuration;
}

/// A JobMaster with busy runners and a backlog of jobs.
class Fleet {
public:
    Fleet(int runners, int tasks, int customers = 0)
        : m_log(m_store)
        , m_master(withoutWaiting(), m_store, m_log, [this] { return m_moment; })
    {
        auto configuration = makeConfiguration();
        for (int i = 0; i < customers; ++i)
            configuration.customers.push_back({ customerName(i), {}, 1, 0, {} });
        m_customers = customers;
        m_store.apply(AcceptConfiguration { configuration }, {});
        m_master.startTerm();
        for (int i = 0; i < runners; ++i)
            m_reports.push_back(firstReport(i));
        for (auto& report : m_reports)
            send(report);
        for (int i = 0; i * tasksPerJob < tasks; ++i)
            submit(i);
        m_master.tick();
        for (auto& report : m_reports)
            send(report);
    }

    /// Reports the end of one task, upon which another one starts on that runner.
    void endOneTask()
    {
        auto& report = m_reports[m_next++ % m_reports.size()];
        if (report.running.empty()) {
            send(report);
            return;
        }
        auto run = report.running.front().run;
        report.running.erase(report.running.begin());
        report.ended = { { ++m_endNumber, run, RunOutcome::Done, "" } };
        send(report);
    }

    /// Sends a report without changes.
    void repeatReport() { send(m_reports[m_next++ % m_reports.size()]); }

    /// Decides about a job that is never submitted.
    /// @param after time since the last decision.
    void admit(Millis after)
    {
        m_moment.steady = m_moment.steady + after;
        m_master.admit(makeJob(2000000 + static_cast<int>(m_next++)));
    }

    std::size_t runs() const
    {
        std::size_t runs = 0;
        for (const auto& [life, held] : m_store.allocations())
            runs += held.runs.size();
        return runs;
    }

private:
    /// Each report is answered within send().
    static JobMasterOptions withoutWaiting()
    {
        JobMasterOptions options;
        options.maxAnswerDelay = {};
        return options;
    }

    static RunnerReport firstReport(int number)
    {
        RunnerReport report;
        report.incarnation = { "i-" + std::to_string(1000000 + number), { 1 } };
        report.service = poolName(number);
        report.address = "10.0.0.1:8148";
        report.dataCentre = "data-centre";
        report.machine = "m-" + std::to_string(number);
        report.labels = { "a", "r-" + std::to_string(number / 12) };
        report.rack = report.labels.back();
        report.capacity = { coresPerRunner, 32768, 0 };
        return report;
    }

    JobSpec makeJob(int number) const
    {
        JobSpec job;
        job.id = std::to_string(1000000000000000 + number);
        job.queue = queueName(number);
        job.payload = std::string(200, 'p');
        StepSpec step;
        step.count = tasksPerJob;
        step.demand = { 2300, 3200, 0 };
        step.estimate = { 800 };
        job.steps = { step };
        if (m_customers > 0)
            job.customer = customerName(number % m_customers);
        return job;
    }

    void submit(int number)
    {
        m_master.request(SubmitJob { makeJob(number), m_moment.wall }, [](RequestOutcome) {});
    }

    void send(RunnerReport& report)
    {
        ++report.sequence;
        std::vector<StartOrder> starts;
        m_master.report(report, [&starts](std::optional<RunnerOrders> orders) {
            if (orders)
                starts = std::move(orders->starts);
        });
        m_master.tick();
        report.ended.clear();
        for (const auto& start : starts)
            report.running.push_back({ start.run, "", 10, 2300 });
    }

    JobStore m_store;
    ImmediateLog m_log;
    Moment m_moment { { 1000 }, { 100000 } };
    JobMaster m_master;
    std::vector<RunnerReport> m_reports;
    std::size_t m_next = 0;
    int m_customers = 0;
    std::uint64_t m_endNumber = 0;
};

void unchangedReport(benchmark::State& state)
{
    Fleet fleet(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    for (auto _ : state)
        fleet.repeatReport();
    state.counters["runs"] = static_cast<double>(fleet.runs());
}

void reportWithEnd(benchmark::State& state)
{
    Fleet fleet(static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
    for (auto _ : state)
        fleet.endOneTask();
    state.counters["runs"] = static_cast<double>(fleet.runs());
}

void admission(benchmark::State& state)
{
    Fleet fleet(1500, static_cast<int>(state.range(0)), 620);
    for (auto _ : state)
        fleet.admit({});
}

/// With the sums of the outstanding work, which are refreshed four times a second.
void admissionWithRefresh(benchmark::State& state)
{
    Fleet fleet(1500, static_cast<int>(state.range(0)), 620);
    for (auto _ : state)
        fleet.admit({ 250 });
}

BENCHMARK(admission)->Arg(4000)->Arg(40000)->Iterations(2000);
BENCHMARK(admissionWithRefresh)->Arg(4000)->Arg(40000)->Iterations(20);
BENCHMARK(unchangedReport)->Args({ 50, 40000 })->Args({ 500, 40000 })->Args({ 1500, 40000 });
BENCHMARK(reportWithEnd)
    ->Args({ 50, 40000 })
    ->Args({ 500, 40000 })
    ->Args({ 1500, 40000 })
    ->Args({ 500, 4000 })
    ->Args({ 1500, 4000 })
    ->Iterations(2000);

} // namespace
