#include "JobScenario.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

using namespace celeryline::bench;

namespace {

/// range(0) is the policy, range(1) the percentage of workers that StaticReserve keeps for urgent jobs and
/// range(2) the number of workers.
void jobScenario(benchmark::State& state)
{
    const char* const names[] = { "decisions", "static", "greedy" };
    const char* seedText = std::getenv("CELERYLINE_SEEDS");
    int seeds = seedText == nullptr ? 20 : std::max(1, std::atoi(seedText));
    const char* path = std::getenv("CELERYLINE_JOB_CSV");
    std::ofstream csv(path == nullptr ? "/dev/null" : path, std::ios::app);
    std::vector<JobResult> results;
    for (auto _ : state) {
        for (int seed = 1; seed <= seeds; ++seed) {
            JobScenario scenario;
            if (state.range(2) < 1500) { // Scale of a current site: five pools, no accelerators.
                scenario = { static_cast<int>(state.range(2)), 0, 5, 20, 4, 1, JobPolicy::Decisions, 0 };
            }
            scenario.seed = static_cast<unsigned>(seed);
            scenario.policy = static_cast<JobPolicy>(state.range(0));
            scenario.reservePercent = static_cast<int>(state.range(1));
            auto result = runJobs(scenario);
            csv << names[state.range(0)] << ',' << state.range(1) << ',' << state.range(2) << ',' << seed
                << ',' << result.urgentP99Millis << ',' << result.batchDone << ',' << result.idleShare << ','
                << result.outOfMemory << ',' << result.failedOnBadWorkers << ',' << result.doubleRuns << ','
                << result.decisionMillis << '\n';
            results.push_back(result);
        }
    }
    state.SetLabel(names[state.range(0)]);
    auto count = [&](const char* name, auto field) {
        std::vector<double> values;
        for (const auto& result : results) {
            values.push_back(static_cast<double>(field(result)));
        }
        std::sort(values.begin(), values.end());
        state.counters[std::string(name) + ".median"] = values[values.size() / 2];
        bool higherIsBetter = std::string(name) == "batchDone";
        state.counters[std::string(name) + ".worst"] = higherIsBetter ? values.front() : values.back();
    };
    count("urgentP99", [](const JobResult& r) { return r.urgentP99Millis; });
    count("batchDone", [](const JobResult& r) { return r.batchDone; });
    count("idle", [](const JobResult& r) { return r.idleShare; });
    count("outOfMemory", [](const JobResult& r) { return r.outOfMemory; });
    count("badWorkers", [](const JobResult& r) { return r.failedOnBadWorkers; });
    count("doubleRuns", [](const JobResult& r) { return r.doubleRuns; });
    count("decisionMs", [](const JobResult& r) { return r.decisionMillis; });
}

} // namespace

BENCHMARK(jobScenario)
    ->ArgsProduct({ { 0, 2 }, { 0 }, { 48, 1500 } })
    ->ArgsProduct({ { 1 }, { 5, 10, 20 }, { 48, 1500 } })
    ->Iterations(1)
    ->Unit(benchmark::kSecond);
