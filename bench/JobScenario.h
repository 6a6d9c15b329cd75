/// @file
/// Simulates workers and jobs with inaccurate declared sizes, to compare placement policies.
#pragma once

#include <cstdint>

namespace celeryline::bench {

/// Placement policies to compare.
enum class JobPolicy : std::uint8_t {
    Decisions, ///< placeJobs, placeUrgent, judgeWorker and cancelJobs.
    StaticReserve, ///< First fit by declared size; a fixed share of workers is reserved for urgent jobs.
    GreedyFirstFit ///< First fit by declared size, urgent jobs first.
};

/// Parameters of a simulation run.
struct JobScenario {
    int workers = 1500;
    int accelerators = 1600;
    int pools = 36;
    int teams = 620;
    int dataCentres = 8;
    unsigned seed = 1;
    JobPolicy policy = JobPolicy::Decisions;
    int reservePercent = 0; ///< StaticReserve only.
};

/// Measurements of a simulation run.
struct JobResult {
    double urgentP99Millis
        = 0; ///< From submission to start, or to the end of the run for jobs that never started.
    double batchDone = 0; ///< Total CPU cores of the batch jobs that completed.
    double idleShare = 0; ///< Share of CPU capacity that is idle while jobs wait.
    int outOfMemory = 0; ///< Jobs killed by a worker that ran out of memory.
    int failedOnBadWorkers = 0;
    int doubleRuns = 0; ///< Jobs that ran on two workers at the same time.
    double decisionMillis = 0;
};

/// Runs a simulation.
/// @param scenario parameters; equal scenarios give equal results, except for decisionMillis.
/// @return the measurements.
JobResult runJobs(const JobScenario& scenario);

} // namespace celeryline::bench
