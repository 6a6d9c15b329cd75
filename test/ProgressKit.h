/// @file
/// Fake runners on a JobMasterFixture, for tests of tasks that wait too long.
#pragma once

#include "JobKit.h"
#include "celeryline/machines/MachineMaster.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace celeryline::test {

constexpr std::int64_t reportIntervalMs = 250;

/// A runner that follows all orders: long-running tasks keep running, others end after the next report.
struct FakeRunner {
    explicit FakeRunner(const std::string& name, const Resources& size = { 4000, 8000, 0 })
        : id(name)
        , capacity(size)
    {
    }

    std::string id;
    Resources capacity;
    std::string service = "pool";
    bool fails = false; ///< Whether tasks that aren't long-running fail.
    std::uint64_t sequence = 0;
    std::uint64_t lastEnd = 0;
    std::vector<RunName> running;
    std::vector<ReportedEnd> ended;
};

inline bool isLongRunningTask(const JobStore& store, const RunName& run)
{
    const auto* step = store.findStep(run.task);
    return step != nullptr && step->isLongRunning;
}

inline void endRun(FakeRunner& runner, const RunName& run, RunOutcome outcome)
{
    auto found = std::find(runner.running.begin(), runner.running.end(), run);
    if (found == runner.running.end())
        return;
    runner.running.erase(found);
    runner.ended.push_back({ ++runner.lastEnd, run, outcome, "" });
}

/// Sends a report of a runner and carries out the orders in the answer.
/// @param started receives the ids of jobs of which a task starts.
inline void exchangeReport(JobMasterFixture& fixture, FakeRunner& runner, std::set<std::string>& started)
{
    auto report = makeReport(runner.id, ++runner.sequence);
    report.service = runner.service;
    report.capacity = runner.capacity;
    for (const auto& run : runner.running)
        report.running.push_back({ run, "", 100, 0 });
    report.ended = runner.ended;
    auto orders = fixture.report(report);
    if (!orders)
        return;
    auto isAcknowledged = [&](const ReportedEnd& end) { return end.number <= orders->acknowledgedEnds; };
    auto& ended = runner.ended;
    ended.erase(std::remove_if(ended.begin(), ended.end(), isAcknowledged), ended.end());
    for (const auto& run : std::vector<RunName>(runner.running)) {
        if (!isLongRunningTask(fixture.store, run))
            endRun(runner, run, runner.fails ? RunOutcome::Failed : RunOutcome::Done);
    }
    for (const auto& stop : orders->stops)
        endRun(runner, stop, RunOutcome::Stopped);
    for (const auto& start : orders->starts) {
        started.insert(start.run.task.job.text());
        runner.running.push_back(start.run);
    }
}

/// Advances the time while each runner reports every reportIntervalMs.
/// @return the ids of jobs of which a task started.
inline std::set<std::string> simulate(JobMasterFixture& fixture, const std::vector<FakeRunner*>& runners,
    std::int64_t milliseconds, MachineMaster* machines = nullptr)
{
    std::set<std::string> started;
    for (std::int64_t passed = 0; passed < milliseconds; passed += reportIntervalMs) {
        for (auto* runner : runners)
            exchangeReport(fixture, *runner, started);
        for (std::int64_t i = 0; i < reportIntervalMs; i += 50) {
            fixture.advance({ 50 });
            if (machines != nullptr)
                machines->tick();
        }
    }
    return started;
}

inline StepSpec makeLongRunningStep(std::uint32_t count, std::int64_t cpuMilli, std::int64_t memoryMb)
{
    auto step = makeStep(count, cpuMilli, memoryMb);
    step.isLongRunning = true;
    return step;
}

} // namespace celeryline::test
