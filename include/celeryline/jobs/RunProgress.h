/// @file
/// Progress of runs as reported by runners, and detection of runs that should restart elsewhere.
#pragma once

#include "celeryline/jobs/RunnerIncarnation.h"
#include "celeryline/jobs/TaskName.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// Reported progress of one run. All times are arrival times of reports, so that a run on an unreachable
/// runner doesn't appear stalled.
struct RunProgress {
    Millis firstSeenAt; ///< First report of the run.
    std::int64_t firstPercent = 0;
    Millis lastProgressAt; ///< Most recent report in which the progress increased.
    std::int64_t percent = 0;
    Millis lastReportAt; ///< Most recent report of the run.
};

/// @param before earlier progress; nothing for a run that is reported for the first time.
/// @param percent progress in the report.
/// @param now arrival time of the report.
/// @return the updated progress.
RunProgress updateProgress(const std::optional<RunProgress>& before, std::int64_t percent, Millis now);

/// @param progress progress of a run.
/// @return the total duration of the run extrapolated from its observed speed; nothing if too little progress
/// was observed.
std::optional<Millis> projectedDuration(const RunProgress& progress);

/// A run of a finite task whose progress is monitored.
struct ObservedRun {
    RunName run;
    RunnerIncarnation incarnation;
    std::string pool;
    Millis estimate; ///< The caller's estimate of the duration.
    RunProgress progress;
};

/// Thresholds of findOverdueRuns().
struct OverdueLimits {
    /// A run without progress for this long is stalled, unless it needs that long for a percent.
    Millis stallTimeout { 1000 };
    /// A runner is slow if it takes this many times as long as the others of its pool.
    double slowFactor = 3;
};

/// Why a run should restart on another runner.
enum class OverdueCause : std::uint8_t { Stalled, SlowRunner };

/// A run that should restart on another runner.
struct OverdueRun {
    RunName run;
    RunnerIncarnation incarnation;
    OverdueCause cause = OverdueCause::Stalled;
};

/// Finds the runs that would end sooner if they restarted on another runner, because they are stalled or
/// their runner is much slower than the others. A runner counts as slow only if runs of several steps are
/// slow there compared to other runners, because a wrong estimate of one step has the same effect on all of
/// them.
/// @param runs all reported runs.
/// @param limits thresholds.
/// @return the runs to restart.
std::vector<OverdueRun> findOverdueRuns(const std::vector<ObservedRun>& runs, const OverdueLimits& limits);

} // namespace celeryline
