/// @file
/// A job with long-running tasks of which one may be unavailable, for tests of recalls.
#pragma once

#include "JobKit.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace celeryline::test {

/// A job with two long-running tasks on two of three runners; one task may be unavailable.
struct TwoLongRunning {
    TwoLongRunning()
    {
        auto step = makeStep(2);
        step.isLongRunning = true;
        step.maxPerRunner = 1;
        step.maxUnavailable = 1;
        kit.submit(makeJob("a", { step }));
        for (const auto* runner : { "x", "y", "z" })
            kit.report(makeReport(runner, 1));
        for (const auto& [incarnation, held] : kit.store.allocations())
            runs.emplace_back(incarnation.runner, *held.runs.begin());
    }

    /// Sends a report of a run's runner; 100 percent means that the run serves.
    std::optional<RunnerOrders> report(
        std::size_t run, std::uint64_t sequence, std::int64_t percent, bool isDraining = false)
    {
        auto report = makeReport(runs[run].first, sequence);
        report.isDraining = isDraining;
        report.running.push_back({ runs[run].second, "", percent, 0 });
        return kit.report(report);
    }

    /// Both tasks and the runner without one report that all is well.
    void reportAll(std::uint64_t sequence)
    {
        for (const auto* runner : { "x", "y", "z" }) {
            if (runner != runs[0].first && runner != runs[1].first)
                kit.report(makeReport(runner, sequence));
        }
        report(0, sequence, 100);
        report(1, sequence, 100);
    }

    bool recall(std::size_t run) { return kit.master.recall(runs[run].second); }

    /// Lets another process lead.
    void changeLeader()
    {
        ++kit.log.currentTerm;
        kit.master.startTerm();
    }

    JobMasterFixture kit;
    std::vector<std::pair<std::string, RunName>> runs; ///< Runs with their runners.
};

} // namespace celeryline::test
