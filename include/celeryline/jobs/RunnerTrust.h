/// @file
/// Decides which runners may get tasks, by the outcomes of earlier tasks.
#pragma once

#include "celeryline/jobs/RunnerIncarnation.h"
#include "celeryline/jobs/TaskName.h"
#include "celeryline/jobs/WorkerHealth.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryline {

/// Records the outcomes of tasks on each runner and assesses the runners with assessWorker(). A new leader
/// starts out with trust in all runners. Single-threaded.
class RunnerTrust {
public:
    void clear() { m_runners.clear(); }

    /// Records that a run ended, or that it has to restart elsewhere, which counts as a failure.
    /// @param incarnation the runner.
    /// @param pool pool of the runner.
    /// @param step the step of the run; failures are counted per step, because its tasks tend to fail for the
    /// same reasons.
    /// @param hasFailed whether the run failed.
    /// @param now steady time.
    void recordResult(const RunnerIncarnation& incarnation, const std::string& pool, const TaskName& step,
        bool hasFailed, Millis now);

    /// Ends quarantines and probations that are over, and drops runners without recent results.
    /// @param now steady time.
    void refresh(Millis now);

    /// @param incarnation a runner.
    /// @return whether it may get tasks.
    WorkerTrust trust(const RunnerIncarnation& incarnation) const;

    /// @param incarnation a runner.
    /// @return the steady time at which its current state of trust began; 0 if it is unknown.
    Millis since(const RunnerIncarnation& incarnation) const;

    /// @param incarnation a runner.
    /// @return the number of failures there since the last success.
    std::uint32_t failuresInARow(const RunnerIncarnation& incarnation) const;

private:
    struct Assessment {
        WorkerRecord record;
        std::string pool;
        Millis assessedAt;
        std::uint32_t failuresInARow = 0;
    };

    JobAttempt withResultsElsewhere(JobAttempt attempt, const RunnerIncarnation& incarnation) const;
    void assess(const RunnerIncarnation& incarnation, Assessment& assessment, Millis now);
    int quarantinedIn(const std::string& pool) const;

    std::map<RunnerIncarnation, Assessment> m_runners;
};

} // namespace celeryline
