#include "FleetScenario.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <vector>

using namespace celeryline;
using namespace celeryline::bench;

namespace {

const char* const policyNames[] = { "decisions", "static", "rack", "greedy" };

/// A deployment and the weights of its objective.
struct Site {
    const char* name;
    int services;
    int instances;
    int dataCentres;
    double bufferCostWeight;
    double rollOutTimeWeight;
};

const Site sites[] = {
    { "Kromrivier", 5, 50, 4, 0.8, 0.2 },
    { "Consorzio", 5, 50, 3, 0.2, 0.8 },
    { "targetBuffer", 36, 1500, 8, 0.8, 0.2 },
    { "targetRollOut", 36, 1500, 8, 0.2, 0.8 },
};

int seedCount()
{
    const char* text = std::getenv("CELERYLINE_SEEDS");
    return text == nullptr ? 20 : std::max(1, std::atoi(text));
}

FleetScenario scenarioOf(const Site& site, unsigned seed, Policy policy, int reserve)
{
    FleetScenario scenario { site.services, site.instances, site.dataCentres, seed, policy, reserve, {} };
    scenario.settings.bufferCostWeight = site.bufferCostWeight;
    scenario.settings.rollOutTimeWeight = site.rollOutTimeWeight;
    scenario.settings.drainTimeout = Millis { 60000 };
    scenario.settings.rebootTimeout = Millis { 120000 };
    return scenario;
}

/// Finds by bisection the smallest reserve with which a baseline reaches the given share of requests in time,
/// so that each baseline is compared at its best. Falls back to the largest reserve if none suffices.
std::pair<FleetResult, int> tuneBaseline(const Site& site, unsigned seed, Policy policy, double service)
{
    int perService = site.instances / site.services;
    int maxReserve = policy == Policy::GreedyFirstFit ? site.instances : perService;
    int low = 0;
    int high = maxReserve;
    while (low < high) {
        int middle = (low + high) / 2;
        bool enough = runFleet(scenarioOf(site, seed, policy, middle)).inTimeShare >= service;
        (enough ? high : low) = enough ? middle : middle + 1;
    }
    return { runFleet(scenarioOf(site, seed, policy, low)), low };
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

void fleetScenario(benchmark::State& state)
{
    const auto& site = sites[state.range(0)];
    std::vector<std::vector<FleetResult>> results(4);
    std::vector<double> bufferRatios;
    std::vector<double> rollOutRatios;
    const char* path = std::getenv("CELERYLINE_CSV");
    std::ofstream csv(path == nullptr ? "/dev/null" : path, std::ios::app);
    for (auto _ : state) {
        for (int seed = 1; seed <= seedCount(); ++seed) {
            auto number = static_cast<unsigned>(seed);
            auto ours = runFleet(scenarioOf(site, number, Policy::Decisions, 0));
            double bestBuffer = 1e18;
            double bestRollOut = 1e18;
            for (int policy = 0; policy < 4; ++policy) {
                int reserve = 0;
                auto result = ours;
                if (policy > 0) {
                    std::tie(result, reserve)
                        = tuneBaseline(site, number, static_cast<Policy>(policy), ours.inTimeShare);
                    if (result.inTimeShare >= ours.inTimeShare) {
                        bestBuffer = std::min(bestBuffer, result.bufferCost);
                        bestRollOut = std::min(bestRollOut, result.rollOutSeconds);
                    }
                }
                results[static_cast<std::size_t>(policy)].push_back(result);
                csv << site.name << ',' << policyNames[policy] << ',' << seed << ',' << reserve << ','
                    << result.bufferCost << ',' << result.rollOutSeconds << ',' << result.inTimeShare << ','
                    << result.worstServiceShare << ',' << result.moves << ',' << result.violations << ','
                    << result.abandoned << ',' << result.decisionMillis << '\n';
            }
            bufferRatios.push_back(ours.bufferCost / bestBuffer);
            rollOutRatios.push_back(ours.rollOutSeconds / bestRollOut);
        }
    }
    state.SetLabel(site.name);
    auto count = [&](const char* name, double value) { state.counters[name] = value; };
    for (std::size_t policy = 0; policy < 4; ++policy) {
        auto medianOf = [&](const std::function<double(const FleetResult&)>& field) {
            std::vector<double> values;
            for (const auto& result : results[policy]) {
                values.push_back(field(result));
            }
            return median(values);
        };
        std::string prefix = std::string(policyNames[policy]) + ".";
        count((prefix + "buffer").c_str(), medianOf([](const FleetResult& r) { return r.bufferCost; }));
        count((prefix + "rollOut").c_str(), medianOf([](const FleetResult& r) { return r.rollOutSeconds; }));
        count((prefix + "inTime").c_str(), medianOf([](const FleetResult& r) { return r.inTimeShare; }));
        double violations = 0;
        for (const auto& result : results[policy]) {
            violations += result.violations;
        }
        count((prefix + "violations").c_str(), violations);
    }
    count("bufferRatio.median", median(bufferRatios));
    count("bufferRatio.worst", *std::max_element(bufferRatios.begin(), bufferRatios.end()));
    count("rollOutRatio.median", median(rollOutRatios));
    count("rollOutRatio.worst", *std::max_element(rollOutRatios.begin(), rollOutRatios.end()));
}

/// Writes buffer cost and roll-out time for a range of objective weights.
void tradeOffCurve(benchmark::State& state)
{
    const char* path = std::getenv("CELERYLINE_TRADE_OFF_CSV");
    std::ofstream csv(path == nullptr ? "/dev/null" : path);
    csv << "site,bufferCostWeight,bufferCost,rollOutSeconds,inTimeShare\n";
    for (auto _ : state) {
        for (const auto* site : { &sites[0], &sites[1], &sites[2] }) {
            for (int step = 0; step <= 10; ++step) {
                auto weighted = *site;
                weighted.bufferCostWeight = step / 10.0;
                weighted.rollOutTimeWeight = 1 - step / 10.0;
                std::vector<double> buffer;
                std::vector<double> rollOut;
                std::vector<double> inTime;
                for (int seed = 1; seed <= seedCount(); ++seed) {
                    auto result
                        = runFleet(scenarioOf(weighted, static_cast<unsigned>(seed), Policy::Decisions, 0));
                    buffer.push_back(result.bufferCost);
                    rollOut.push_back(result.rollOutSeconds);
                    inTime.push_back(result.inTimeShare);
                }
                csv << (site->services == 36 ? "target" : site->name) << ',' << step / 10.0 << ','
                    << median(buffer) << ',' << median(rollOut) << ',' << median(inTime) << '\n';
            }
        }
    }
}

} // namespace

BENCHMARK(fleetScenario)->DenseRange(0, 3)->Iterations(1)->Unit(benchmark::kSecond);
BENCHMARK(tradeOffCurve)->Iterations(1)->Unit(benchmark::kSecond);
