/// @file
/// Which runners may get tasks, by how tasks ended there.
#pragma once

#include "celeryline/jobs/RunnerLife.h"
#include "celeryline/jobs/TaskName.h"
#include "celeryline/jobs/WorkerHealth.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryline {

/// Remembers how tasks ended on each runner and judges the runners with judgeWorker(). A new leader begins
/// with trust in all of them. Single-threaded.
class RunnerTrust {
public:
    /// Forgets everything.
    void clear() { m_runners.clear(); }

    /// Notes that a run ended, or that it must begin again elsewhere, which counts as a failure.
    /// @param life where.
    /// @param pool pool of the runner.
    /// @param step the step of the run; its other tasks fail for the same reasons.
    /// @param hasFailed whether it failed.
    /// @param now steady time.
    void note(
        const RunnerLife& life, const std::string& pool, const TaskName& step, bool hasFailed, Millis now);

    /// Ends quarantines and probations whose time is over, and forgets runners without recent attempts.
    /// @param now steady time.
    void refresh(Millis now);

    /// @param life a runner.
    /// @return whether it may get tasks.
    WorkerTrust trust(const RunnerLife& life) const;

    /// @param life a runner.
    /// @return steady time at which its present state of trust began; 0 if nothing is known of it.
    Millis since(const RunnerLife& life) const;

    /// @param life a runner.
    /// @return failures there since the last task that ended well.
    std::uint32_t failuresInARow(const RunnerLife& life) const;

private:
    struct Judged {
        WorkerRecord record;
        std::string pool;
        Millis judgedAt;
        std::uint32_t failuresInARow = 0;
    };

    JobAttempt compare(JobAttempt attempt, const RunnerLife& life) const;
    void judge(const RunnerLife& life, Judged& judged, Millis now);
    int quarantinedIn(const std::string& pool) const;

    std::map<RunnerLife, Judged> m_runners;
};

} // namespace celeryline
