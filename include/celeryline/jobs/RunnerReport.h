/// @file
/// What runners report and what they are ordered.
#pragma once

#include "celeryline/jobs/JobCommand.h"

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// A run that a runner holds.
struct ReportedRun {
    RunName run;
    std::string checkpoint;
    std::int64_t percent = 0; ///< Progress; for a long-running task 100 when it is at work.
    std::int64_t figure = 0; ///< Tail latency in ms of a task that serves; otherwise its use of cpu.
};

/// A run that ended on a runner.
struct ReportedEnd {
    std::uint64_t number = 0; ///< Counts the ends of this life from 1.
    RunName run;
    RunEnd how = RunEnd::Done;
    std::string checkpoint;
};

/// What a runner says of itself and of what it runs.
struct RunnerReport {
    RunnerLife life;
    std::uint64_t sequence = 0; ///< Increases with each report of this life.
    std::string service;
    std::string address;
    std::string dataCentre;
    std::string machine; ///< Machine that the runner lives on; empty if unknown.
    std::vector<std::string> labels;
    std::string rack; ///< Empty if unknown.
    Resources capacity;
    bool isDraining = false;
    Millis remaining; ///< While draining: time until it leaves at the earliest.
    std::vector<ReportedRun> running;
    std::vector<ReportedEnd> ended; ///< Not acknowledged so far, by number.
};

/// Orders a runner to begin a run.
struct StartOrder {
    RunName run;
    std::string payload;
    std::string checkpoint;
    std::string ticket; ///< From the advice service; empty where none is needed.
};

/// Orders a runner to let a run work at a part of its speed.
struct RateOrder {
    RunName run;
    std::int64_t percent = 100;
};

/// The answer to a report.
struct RunnerOrders {
    Millis hold; ///< Lease of everything that runs, from the sending of the report; 0 grants none.
    std::uint64_t acknowledgedEnds = 0; ///< Ends up to this number are durable here.
    std::uint64_t fence = 0; ///< Orders with a lower one are void.
    std::vector<StartOrder> starts;
    std::vector<RunName> stops;
    std::vector<RateOrder> rates;
    Millis nextReport; ///< When to report again, if nothing ends before.
};

} // namespace celeryline
