/// @file
/// A small driver that runs the placement decisions on fake workers with wrong declared sizes.
#pragma once

#include <cstdint>

namespace celeryline::bench {

/// The placement policies that are compared.
enum class JobPolicy : std::uint8_t {
    Decisions, ///< placeJobs, placeUrgent, assessWorker and cancelJobs.
    StaticReserve, ///< First fit by declared size; a fixed share of the workers takes urgent jobs only.
    GreedyFirstFit ///< First fit by declared size, urgent jobs first.
};

/// One run.
struct JobScenario {
    int workers = 1500;
    int accelerators = 1600;
    int pools = 36;
    int teams = 620;
    int dataCentres = 8;
    unsigned seed = 1;
    JobPolicy policy = JobPolicy::Decisions;
    int reservePercent = 0; ///< Of StaticReserve.
};

/// What one run measures.
struct JobResult {
    double urgentP99Millis = 0; ///< From submission to start; jobs that never started count until the end.
    double batchDone = 0; ///< Processor-seconds of batch jobs that ended.
    double idleShare = 0; ///< Processor that idles while batch jobs wait.
    int outOfMemory = 0; ///< Jobs that a worker killed for lack of memory.
    int failedOnBadWorkers = 0;
    int doubleRuns = 0; ///< Jobs that ran on two workers at once.
    double decisionMillis = 0;
};

/// @param scenario the run; equal scenarios give equal results but for the processor time.
/// @return its result.
JobResult runJobs(const JobScenario& scenario);

} // namespace celeryline::bench
