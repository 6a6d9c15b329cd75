// Cost of a plan without and with customers: after one task has ended, and for a fleet that is empty.
#include "celeryline/jobs/StartPlan.h"

#include <benchmark/benchmark.h>

#include <string>

using namespace celeryline;

namespace {

constexpr int runnerCount = 1500;
constexpr int poolCount = 5;
constexpr int tasksPerJob = 8;
constexpr int tasksPerRunner = 6;
constexpr Millis wall { 100000 };

std::string customerName(int number) { return "customer-" + std::to_string(number); }
std::string queueName(int number) { return "host/queue-" + std::to_string(number % poolCount) + "/"; }
std::string poolName(int number) { return "pool-" + std::to_string(number % poolCount); }

/// How the backlog is distributed over the customers.
enum class Backlog : std::uint8_t {
    Even, ///< All customers have the same.
    Hot, ///< One customer has half of it, and its jobs are the oldest.
    AtLimit, ///< The same, and that customer is at its limit.
    Single ///< One customer that exceeds its share has all of it.
};

/// A full fleet with a backlog.
class Fleet {
public:
    Fleet(int customers, Backlog backlog, int waitingTasks)
        : m_customers(customers)
        , m_backlog(backlog)
    {
        accept();
        int running = runnerCount * tasksPerRunner / tasksPerJob;
        int waiting = waitingTasks / tasksPerJob;
        for (int i = 0; i < running; ++i)
            submit(i, false);
        // Before the backlog arrives, so that it consists of the same jobs with and without customers.
        fill();
        for (int i = running; i < running + waiting; ++i)
            submit(i, true);
    }

    /// Plans with room for one task on one runner.
    std::size_t plan()
    {
        auto freed = candidate(m_next++ % runnerCount);
        freed.free = { 2300, 3200, 0 };
        m_candidates.set(freed);
        auto starts = planStarts(m_store, m_candidates, wall);
        freed.free = {};
        m_candidates.set(freed);
        return starts.size();
    }

    /// Plans for the backlog as if nothing ran.
    std::size_t planEmpty(benchmark::State& state) const
    {
        state.PauseTiming();
        CandidateIndex candidates;
        for (int i = 0; i < runnerCount; ++i)
            candidates.set(candidate(i));
        state.ResumeTiming();
        return planStarts(m_store, candidates, wall).size();
    }

private:
    static PlacementCandidate candidate(int number)
    {
        PlacementCandidate candidate;
        candidate.incarnation = { "i-" + std::to_string(1000000 + number), { 1 } };
        candidate.service = poolName(number);
        candidate.free = { tasksPerRunner * 2300, tasksPerRunner * 3200, 0 };
        return candidate;
    }

    void accept()
    {
        QueueConfiguration configuration;
        configuration.version = 1;
        for (int i = 0; i < poolCount; ++i) {
            QueueSettings queue;
            queue.key = queueName(i);
            queue.service = poolName(i);
            queue.objective = { 3600 };
            configuration.queues.push_back(queue);
            configuration.pools.push_back({ poolName(i), true, false });
        }
        for (int i = 0; i < m_customers; ++i) {
            CustomerSettings customer;
            customer.name = customerName(i);
            customer.weight = 1 + i % 3;
            customer.limit = { 1000000, 1000000, 0 };
            if (i == 0 && m_backlog == Backlog::AtLimit)
                customer.limit.cpuMilli = 1;
            configuration.customers.push_back(customer);
        }
        m_store.apply(AcceptConfiguration { configuration }, {});
    }

    void submit(int number, bool isWaiting)
    {
        SubmitJob command;
        command.job.id = std::to_string(1000000000000000 + number);
        command.job.queue = queueName(number);
        StepSpec step;
        step.count = tasksPerJob;
        step.demand = { 2300, 3200, 0 };
        step.estimate = { 800 };
        command.job.steps = { step };
        bool isHot = isWaiting
            && (m_backlog == Backlog::Single || (m_backlog != Backlog::Even && number / poolCount % 2 == 0));
        command.submittedAt = wall - Millis { isHot ? 1000 : 0 };
        if (m_customers != 0)
            command.job.customer = customerName(isHot ? 0 : number / poolCount % m_customers);
        m_store.apply(command, {});
    }

    void fill()
    {
        for (int i = 0; i < runnerCount; ++i)
            m_candidates.set(candidate(i));
        for (const auto& start : planStarts(m_store, m_candidates, wall))
            m_store.apply(start, {});
        for (int i = 0; i < runnerCount; ++i) {
            auto full = candidate(i);
            full.free = {};
            m_candidates.set(full);
        }
    }

    int m_customers;
    Backlog m_backlog;
    JobStore m_store;
    CandidateIndex m_candidates;
    int m_next = 0;
};

/// range(0) is the number of customers, range(1) the backlog's distribution and range(2) its number of tasks.
void planAfterEnd(benchmark::State& state)
{
    Fleet fleet(static_cast<int>(state.range(0)), static_cast<Backlog>(state.range(1)),
        static_cast<int>(state.range(2)));
    std::size_t starts = 0;
    for (auto _ : state)
        starts += fleet.plan();
    state.counters["startsPerPlan"] = static_cast<double>(starts) / static_cast<double>(state.iterations());
}

BENCHMARK(planAfterEnd)
    ->ArgsProduct(
        { { 0, 620 }, { static_cast<int>(Backlog::Even), static_cast<int>(Backlog::Hot) }, { 4000, 40000 } })
    ->Args({ 620, static_cast<int>(Backlog::AtLimit), 40000 })
    ->Args({ 0, static_cast<int>(Backlog::Single), 40000 })
    ->Args({ 620, static_cast<int>(Backlog::Single), 40000 });

void planForEmptyFleet(benchmark::State& state)
{
    Fleet fleet(static_cast<int>(state.range(0)), static_cast<Backlog>(state.range(1)),
        static_cast<int>(state.range(2)));
    std::size_t starts = 0;
    for (auto _ : state)
        starts += fleet.planEmpty(state);
    state.counters["startsPerPlan"] = static_cast<double>(starts) / static_cast<double>(state.iterations());
}

BENCHMARK(planForEmptyFleet)
    ->ArgsProduct(
        { { 0, 620 }, { static_cast<int>(Backlog::Even), static_cast<int>(Backlog::Hot) }, { 40000 } });

} // namespace
