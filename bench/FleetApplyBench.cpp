#include "celeryline/fleet/FleetApply.h"
#include "celeryline/fleet/LedgerStateMachine.h"
#include "celeryline/fleet/ReplicatedState.h"

#include <benchmark/benchmark.h>

using namespace celeryline;

namespace {

class NullLedger final : public LedgerStateMachine {
public:
    CommandResult apply(std::uint64_t, Millis, const Command&) override { return {}; }
    std::string takeSnapshot() const override { return ""; }
    void restoreSnapshot(const std::string&) override { }
};

/// Replicated state with registered instances, services and pools.
class Fleet {
public:
    explicit Fleet(int instances, int pools)
    {
        FleetCommand apply;
        for (int i = 0; i < pools; ++i) {
            auto name = "p" + std::to_string(i);
            Service service;
            service.name = name;
            service.selector = parseSelector("service=" + name);
            Pool pool;
            pool.name = name;
            pool.service = name;
            pool.selector = parseSelector("service=" + name + ",!quarantined");
            apply.services.push_back(service);
            apply.pools.push_back(pool);
        }
        run(apply);
        for (int i = 0; i < instances; ++i) {
            FleetCommand registration;
            registration.operation = FleetOperation::RegisterInstance;
            registration.instance.name = "w" + std::to_string(i);
            registration.instance.dataCentre = "dc" + std::to_string(i % 8);
            registration.instance.rack = "r" + std::to_string(i / 4);
            registration.instance.labels
                = { { "service", "p" + std::to_string(i % pools) }, { "size", "16" }, { "zone", "a" } };
            registration.instance.bootEpoch = 1;
            run(registration);
        }
    }

    CommandResult run(const FleetCommand& command)
    {
        ++m_index;
        return state.apply(m_index, {}, encodeFleetCommand("c" + std::to_string(m_index), command));
    }

    NullLedger ledger;
    ReplicatedState state { ledger };

private:
    std::uint64_t m_index = 0;
};

void applyLabel(benchmark::State& run)
{
    Fleet fleet(static_cast<int>(run.range(0)), 36);
    FleetCommand label;
    label.operation = FleetOperation::Label;
    label.name = "w7";
    std::uint64_t value = 0;
    for (auto step : run) {
        (void)step;
        label.labels = { { "size", std::to_string(++value) } };
        benchmark::DoNotOptimize(fleet.run(label));
    }
}
BENCHMARK(applyLabel)->Arg(150)->Arg(1500)->Unit(benchmark::kMicrosecond);

void applySelector(benchmark::State& run)
{
    Fleet fleet(static_cast<int>(run.range(0)), 36);
    FleetCommand apply;
    apply.pools = { fleet.state.fleet()->pools->at("p3") };
    int value = 0;
    for (auto step : run) {
        (void)step;
        auto unused = "unused" + std::to_string(++value);
        apply.pools[0].selector = parseSelector("service=p3,!quarantined,!" + unused);
        benchmark::DoNotOptimize(fleet.run(apply));
    }
}
BENCHMARK(applySelector)->Arg(1500)->Unit(benchmark::kMicrosecond);

void applyPoolField(benchmark::State& run)
{
    Fleet fleet(static_cast<int>(run.range(0)), 36);
    FleetCommand apply;
    apply.pools = { fleet.state.fleet()->pools->at("p3") };
    for (auto step : run) {
        (void)step;
        apply.pools[0].spare = !apply.pools[0].spare;
        benchmark::DoNotOptimize(fleet.run(apply));
    }
}
BENCHMARK(applyPoolField)->Arg(1500)->Unit(benchmark::kMicrosecond);

void takeSnapshot(benchmark::State& run)
{
    Fleet fleet(static_cast<int>(run.range(0)), 36);
    for (auto step : run) {
        (void)step;
        benchmark::DoNotOptimize(fleet.state.takeSnapshot());
    }
}
BENCHMARK(takeSnapshot)->Arg(1500)->Unit(benchmark::kMillisecond);

void restoreSnapshot(benchmark::State& run)
{
    Fleet fleet(static_cast<int>(run.range(0)), 36);
    auto bytes = fleet.state.takeSnapshot();
    for (auto step : run) {
        (void)step;
        NullLedger ledger;
        ReplicatedState state(ledger);
        state.restoreSnapshot(bytes);
    }
}
BENCHMARK(restoreSnapshot)->Arg(1500)->Unit(benchmark::kMillisecond);

void cancelJobs(benchmark::State& run)
{
    FleetCommand cancel;
    cancel.operation = FleetOperation::CancelJobs;
    for (auto step : run) {
        (void)step;
        run.PauseTiming();
        Fleet fleet(10, 36);
        cancel.jobs.clear();
        FleetCommand submit;
        submit.operation = FleetOperation::SubmitJob;
        submit.job.team = "t";
        submit.job.pool = "p1";
        for (int i = 0; i < run.range(0); ++i) {
            submit.job.id = "j" + std::to_string(i);
            cancel.jobs.push_back(submit.job.id);
            if (i < 1000) {
                fleet.run(submit);
            }
        }
        run.ResumeTiming();
        benchmark::DoNotOptimize(fleet.run(cancel));
    }
}
BENCHMARK(cancelJobs)->Arg(1000)->Iterations(3)->Unit(benchmark::kMillisecond);

} // namespace
