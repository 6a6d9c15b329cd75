#include "celeryline/decisions/JobPlacement.h"
#include "celeryline/decisions/WavePlan.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <random>

using namespace celeryline;

namespace {

const int poolCount = 36;
const int teamCount = 620;

Job randomJob(int number, std::mt19937& random, bool urgent)
{
    Job job;
    job.id = "job-" + std::to_string(number);
    job.team = "team-" + std::to_string(random() % teamCount);
    job.kind = "kind-" + std::to_string(random() % 4);
    job.pool = "pool-" + std::to_string(random() % poolCount);
    job.declared = { 500 + static_cast<std::int64_t>(random() % 4000),
        500 + static_cast<std::int64_t>(random() % 8000), 0 };
    job.urgent = urgent;
    return job;
}

CapacityIndex randomWorkers(int count, std::mt19937& random, std::int64_t batchCpu)
{
    CapacityIndex index;
    for (int i = 0; i < count; ++i) {
        auto name = "worker-" + std::to_string(i);
        index.setWorker({ name, "dc-" + std::to_string(i / 4 % 8), "rack-" + std::to_string(i / 4),
            "pool-" + std::to_string(i % poolCount), {}, { 32000, 131072, i % 4 == 0 ? 4 : 0 }, true });
        if (batchCpu > 0) {
            auto spreadKey = "team-" + std::to_string(random() % teamCount) + "/kind-0";
            index.place(name, { "held-" + name, 1, { batchCpu, 1000, 0 }, false, true, false, spreadKey });
        }
    }
    return index;
}

TeamShares quotas()
{
    TeamShares teams;
    for (int i = 0; i < teamCount; ++i) {
        teams["team-" + std::to_string(i)].limit = { 80000, 400000, 8 };
    }
    return teams;
}

/// Batch jobs hold range(1) mCPU of each worker's 32,000; at 31,900 every urgent job has to
/// throttle batch jobs.
void urgentPlacement(benchmark::State& state)
{
    std::mt19937 random(1);
    auto index = randomWorkers(static_cast<int>(state.range(0)), random, state.range(1));
    auto teams = quotas();
    SizeEstimator sizes;
    int number = 0;
    std::int64_t started = 0;
    for (auto _ : state) {
        auto decision = placeUrgent(randomJob(number++, random, true), index, sizes, teams, 2);
        started += decision.start ? 1 : 0;
        benchmark::DoNotOptimize(decision);
    }
    state.counters["startedShare"]
        = benchmark::Counter(static_cast<double>(started), benchmark::Counter::kAvgIterations);
}

void batchPlacement(benchmark::State& state)
{
    std::mt19937 random(1);
    auto index = randomWorkers(static_cast<int>(state.range(0)), random, 8000);
    auto teams = quotas();
    SizeEstimator sizes;
    JobBacklog backlog;
    for (int i = 0; i < state.range(1); ++i) {
        backlog.add(randomJob(i, random, i % 20 == 0));
    }
    std::size_t started = 0;
    for (auto _ : state) {
        auto decision = placeJobs(backlog, index, sizes, teams, 2);
        started = decision.starts.size();
        benchmark::DoNotOptimize(decision);
    }
    state.counters["started"] = static_cast<double>(started);
}

/// range(0) is the number of queued jobs, range(1) the number of cancelled ones, half of which are already
/// running.
void cancellation(benchmark::State& state)
{
    for (auto _ : state) {
        state.PauseTiming();
        std::mt19937 random(1);
        auto backlog = std::make_unique<JobBacklog>();
        std::unordered_map<std::string, JobLease> leases;
        for (int i = 0; i < state.range(0); ++i) {
            backlog->add(randomJob(i, random, false));
        }
        std::vector<std::string> ids;
        for (int i = 0; i < state.range(1); ++i) {
            ids.push_back((i % 2 == 0 ? "job-" : "running-") + std::to_string(i));
            leases["running-" + std::to_string(i)] = { "worker", 1 };
        }
        state.ResumeTiming();
        auto decision = cancelJobs(*backlog, leases, ids);
        for (const auto& id : decision.dequeued) {
            backlog->remove(id);
        }
        benchmark::DoNotOptimize(decision);
        state.PauseTiming(); // Destroying the remaining jobs is not measured.
        backlog.reset();
        leases.clear();
        state.ResumeTiming();
    }
}

void wavePlan(benchmark::State& state)
{
    WaveInput input;
    for (int i = 0; i < state.range(0); ++i) {
        FleetInstance instance;
        instance.name = "worker-" + std::to_string(i);
        instance.dataCentre = "dc-" + std::to_string(i / 4 % 8);
        instance.rack = "rack-" + std::to_string(i / 4);
        instance.service = "service-" + std::to_string(i % poolCount);
        input.fleet.reachableDataCentres.insert(instance.dataCentre);
        input.pending.insert(instance.name);
        input.fleet.instances.push_back(instance);
    }
    MaintenanceSettings settings;
    settings.rollOutTimeWeight = 1;
    for (auto _ : state) {
        benchmark::DoNotOptimize(planWave(input, Millis { 0 }, settings));
    }
}

const std::vector<std::int64_t> workerCounts { 150, 1500, 15000 };

} // namespace

BENCHMARK(urgentPlacement)->ArgsProduct({ workerCounts, { 16000, 31900 } })->Unit(benchmark::kMicrosecond);
BENCHMARK(batchPlacement)->ArgsProduct({ workerCounts, { 10000 } })->Unit(benchmark::kMillisecond);
BENCHMARK(cancellation)
    ->ArgsProduct({ { 10000, 100000 }, { 5000 } })
    ->Unit(benchmark::kMillisecond)
    ->Iterations(20);
BENCHMARK(wavePlan)->ArgsProduct({ workerCounts })->Unit(benchmark::kMillisecond);
