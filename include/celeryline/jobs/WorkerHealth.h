/// @file
/// The decision whether a worker fails jobs that others would complete.
#pragma once

#include "celeryline/base/Millis.h"

#include <string>
#include <vector>

namespace celeryline {

/// What placement may do with a worker.
enum class WorkerTrust : std::uint8_t {
    Trusted,
    Quarantined, ///< Gets no jobs.
    Probation ///< Gets one repeatable batch job at a time.
};

/// One job that ended on a worker, with what the same job did on other workers.
struct JobAttempt {
    std::string job;
    bool failed = false;
    Millis ended;
    int succeededElsewhere = 0;
    int failedElsewhere = 0;
};

/// A worker with its recent jobs.
struct WorkerRecord {
    std::string worker;
    WorkerTrust trust = WorkerTrust::Trusted;
    Millis since; ///< Start of this state of trust.
    int quarantines = 0; ///< Earlier ones; each doubles the next.
    std::vector<JobAttempt> attempts; ///< Oldest first; the last 20 suffice.
    int poolWorkers = 0;
    int poolQuarantined = 0;
};

/// How suspicious the judgement is.
struct HealthSettings {
    double badWorkerShare = 0.02; ///< Share of workers that is expected to fail every job.
    double quarantineProbability = 0.95; ///< A worker is quarantined above it.
    Millis quarantine { 600000 }; ///< First quarantine; long enough for an operator to look at the worker.
    int probationJobs = 3; ///< Successes that end a probation.
    Millis longestProbation {}; ///< A probation without a failure ends after it; 0 for no limit.
    int maxQuarantinedPercent = 10; ///< Of a pool; more failing workers than that have a common cause.
};

/// A change of trust.
enum class HealthAction : std::uint8_t { Keep, Quarantine, StartProbation, Release };

/// The judgement with its reason.
struct HealthDecision {
    HealthAction action = HealthAction::Keep;
    double badProbability = 0; ///< That the worker fails every job.
    std::vector<std::string> unchargedJobs; ///< Failures that don't count as a try of the job.
    std::string reason;
};

/// Judges one worker. A failure of a job that succeeded elsewhere weighs more than one of a job that fails
/// everywhere, so a bad job can't put good workers into quarantine.
/// @param record the worker.
/// @param now the current time.
/// @param settings thresholds.
/// @return the judgement.
HealthDecision judgeWorker(const WorkerRecord& record, Millis now, const HealthSettings& settings);

} // namespace celeryline
