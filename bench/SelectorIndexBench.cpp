// Compares a linear scan with the index, for a change of one label and for all memberships of 36 pools.
#include "SelectorIndex.h"

#include <benchmark/benchmark.h>

#include <random>

using namespace celeryline;

namespace {

constexpr int poolCount = 36;

std::vector<Selector> makePools()
{
    std::vector<Selector> pools;
    pools.reserve(poolCount);
    for (int i = 0; i < poolCount; ++i) {
        pools.push_back(parseSelector("service=s" + std::to_string(i % 12) + ",tier in (t"
            + std::to_string(i / 12) + ",u" + std::to_string(i / 12) + "),!quarantined"));
    }
    return pools;
}

std::vector<LabelSet> makeObjects(std::int64_t count)
{
    std::mt19937 random(7);
    std::vector<LabelSet> objects(static_cast<std::size_t>(count));
    for (auto& labels : objects) {
        labels["service"] = "s" + std::to_string(random() % 12);
        labels["tier"] = "t" + std::to_string(random() % 3);
        labels["rack"] = "rack-" + std::to_string(random() % 400);
        labels["region"] = "region-" + std::to_string(random() % 3);
        labels["size"] = random() % 2 == 0 ? "16-core" : "32-core";
        if (random() % 100 == 0) {
            labels["quarantined"] = "yes";
        }
    }
    return objects;
}

SelectorIndex makeIndex(const std::vector<LabelSet>& objects)
{
    SelectorIndex index;
    for (std::uint32_t id = 0; id < objects.size(); ++id) {
        index.set(id, objects[id]);
    }
    return index;
}

void changeService(LabelSet& labels, std::mt19937& random)
{
    labels["service"] = "s" + std::to_string(random() % 12);
}

/// Changes one label and matches all pools against that object, without an index.
void oneLabelByScan(benchmark::State& state)
{
    auto pools = makePools();
    auto objects = makeObjects(state.range(0));
    std::mt19937 random(9);
    for (auto step : state) {
        (void)step;
        auto& labels = objects[random() % objects.size()];
        changeService(labels, random);
        int found = 0;
        for (const auto& pool : pools) {
            found += matches(pool, labels) ? 1 : 0;
        }
        benchmark::DoNotOptimize(found);
    }
}

/// Like oneLabelByScan, but also updates an index.
void oneLabelWithIndex(benchmark::State& state)
{
    auto pools = makePools();
    auto objects = makeObjects(state.range(0));
    auto index = makeIndex(objects);
    std::mt19937 random(9);
    for (auto step : state) {
        (void)step;
        auto id = static_cast<std::uint32_t>(random() % objects.size());
        changeService(objects[id], random);
        index.set(id, objects[id]);
        int found = 0;
        for (const auto& pool : pools) {
            found += matches(pool, objects[id]) ? 1 : 0;
        }
        benchmark::DoNotOptimize(found);
    }
}

void allMembershipsByScan(benchmark::State& state)
{
    auto pools = makePools();
    auto objects = makeObjects(state.range(0));
    for (auto step : state) {
        (void)step;
        std::size_t members = 0;
        for (const auto& pool : pools) {
            std::vector<std::uint32_t> ids;
            for (std::uint32_t id = 0; id < objects.size(); ++id) {
                if (matches(pool, objects[id])) {
                    ids.push_back(id);
                }
            }
            members += ids.size();
        }
        benchmark::DoNotOptimize(members);
    }
}

void allMembershipsByIndex(benchmark::State& state)
{
    auto pools = makePools();
    auto index = makeIndex(makeObjects(state.range(0)));
    for (auto step : state) {
        (void)step;
        std::size_t members = 0;
        for (const auto& pool : pools) {
            members += index.matching(pool).size();
        }
        benchmark::DoNotOptimize(members);
    }
}

void buildIndex(benchmark::State& state)
{
    auto objects = makeObjects(state.range(0));
    for (auto step : state) {
        (void)step;
        auto index = makeIndex(objects);
        benchmark::DoNotOptimize(&index);
    }
}

void sizes(benchmark::internal::Benchmark* bench)
{
    bench->Arg(1500)->Arg(100000)->Arg(1000000)->Unit(benchmark::kMicrosecond);
}

BENCHMARK(oneLabelByScan)->Apply(sizes);
BENCHMARK(oneLabelWithIndex)->Apply(sizes);
BENCHMARK(allMembershipsByScan)->Apply(sizes);
BENCHMARK(allMembershipsByIndex)->Apply(sizes);
BENCHMARK(buildIndex)->Apply(sizes);

} // namespace
