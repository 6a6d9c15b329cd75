/// @file
/// Messages between runners and the leader.
#pragma once

#include "celeryline/jobs/JobCommand.h"

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// An active run in a report.
struct ReportedRun {
    RunName run;
    std::string checkpoint;
    std::int64_t percent = 0; ///< Progress; a long-running task reports 100 once it serves.
    std::int64_t metric = 0; ///< Tail latency in ms for a latency-sensitive task; CPU use otherwise.
};

/// @return whether a run of a long-running task serves.
inline bool isAtWork(const ReportedRun& run)
{
    constexpr std::int64_t servingPercent = 100;
    return run.percent >= servingPercent;
}

/// An ended run in a report.
struct ReportedEnd {
    std::uint64_t number = 0; ///< Sequence number of the end within this incarnation, from 1.
    RunName run;
    RunOutcome outcome = RunOutcome::Done;
    std::string checkpoint;
};

/// Periodic report of a runner's state and runs.
struct RunnerReport {
    RunnerIncarnation incarnation;
    std::uint64_t sequence = 0; ///< Increases with each report of this incarnation.
    std::string service;
    std::string address;
    std::string dataCentre;
    std::string machine; ///< Machine that hosts the runner; empty if unknown.
    std::vector<std::string> labels;
    std::string rack; ///< Empty if unknown.
    Resources capacity;
    bool isDraining = false;
    Millis remaining; ///< While draining: minimum time until it exits.
    std::vector<ReportedRun> running;
    std::vector<ReportedEnd> ended; ///< Ends that are not acknowledged yet, by number.
};

/// Orders a runner to start a run.
struct StartOrder {
    RunName run;
    std::string payload;
    std::string checkpoint;
    std::string ticket; ///< Ticket of the advice service; empty if none is required.
};

/// Orders a runner to limit the speed of a run.
struct RateOrder {
    RunName run;
    std::int64_t percent = 100;
};

/// The answer to a report.
struct RunnerOrders {
    Millis lease; ///< Lease of all its runs, from when it sent the report; 0 grants none.
    std::uint64_t acknowledgedEnds = 0; ///< Ends up to this number are committed.
    std::uint64_t fence = 0; ///< Fencing token; orders with a lower one are void.
    std::vector<StartOrder> starts;
    std::vector<RunName> stops;
    std::vector<RateOrder> rates;
    Millis nextReport; ///< Delay until the next report, unless a run ends earlier.
};

} // namespace celeryline
