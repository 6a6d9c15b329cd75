/// @file
/// What runners' reports show of the progress of runs, and which runs are better off elsewhere.
#pragma once

#include "celeryline/jobs/RunnerLife.h"
#include "celeryline/jobs/TaskName.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// What a runner's reports showed of one run. Times are those of reports, so that a runner that can't be
/// heard doesn't look as if it stood still.
struct RunProgress {
    Millis seenAt; ///< First report with the run.
    std::int64_t seenPercent = 0;
    Millis advancedAt; ///< Newest report that showed more progress than the one before.
    std::int64_t percent = 0;
    Millis heardAt; ///< Newest report with the run.
};

/// @param before what was known; nothing for a run that is new in the report.
/// @param percent progress in a report.
/// @param now time of the report.
/// @return what is known after the report.
RunProgress noteProgress(const std::optional<RunProgress>& before, std::int64_t percent, Millis now);

/// @param progress what is known of a run.
/// @return how long the whole run takes at the speed that it showed; nothing while too little was seen.
std::optional<Millis> projectedDuration(const RunProgress& progress);

/// A run of a task with an end, which is judged by its progress.
struct ObservedRun {
    RunName run;
    RunnerLife life;
    std::string pool;
    Millis estimate; ///< Duration that the caller stated.
    RunProgress progress;
};

/// Constants of findOverdueRuns().
struct OverdueLimits {
    Millis stillAfter { 1000 }; ///< A run without progress for so long stands still.
    double slowFactor = 3; ///< A runner that takes so many times as long as the others of its pool is slow.
};

/// Why a run is better off on another runner.
enum class OverdueCause : std::uint8_t { StandsStill, SlowRunner };

/// A run that is better off on another runner.
struct OverdueRun {
    RunName run;
    RunnerLife life;
    OverdueCause cause = OverdueCause::StandsStill;
};

/// Answers workers on which tasks stand still or take many times as long as elsewhere: finds the runs that
/// would end sooner if they began again on another runner. A runner is called slow by what runs of several
/// steps took there against other runners, because estimates of one step are wrong in the same way
/// everywhere.
/// @param runs all runs that runners list.
/// @param limits constants.
/// @return the runs to begin again.
std::vector<OverdueRun> findOverdueRuns(const std::vector<ObservedRun>& runs, const OverdueLimits& limits);

} // namespace celeryline
