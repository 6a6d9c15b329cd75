/// @file
/// Detection of workers that fail jobs which would succeed elsewhere.
#pragma once

#include "celeryline/base/Millis.h"

#include <string>
#include <vector>

namespace celeryline {

/// Eligibility of a worker for placement.
enum class WorkerTrust : std::uint8_t {
    Trusted,
    Quarantined, ///< Gets no jobs.
    Probation ///< Gets one repeatable batch job at a time.
};

/// Result of one job on a worker, with the results of the same job on other workers.
struct JobAttempt {
    std::string job;
    bool failed = false;
    Millis ended;
    int succeededElsewhere = 0;
    int failedElsewhere = 0;
};

/// A worker and its recent results.
struct WorkerRecord {
    std::string worker;
    WorkerTrust trust = WorkerTrust::Trusted;
    Millis since; ///< When the current state of trust began.
    int quarantines = 0; ///< Number of earlier quarantines; each doubles the duration of the next.
    std::vector<JobAttempt> attempts; ///< Oldest first; the last 20 suffice.
    int poolWorkers = 0;
    int poolQuarantined = 0;
};

/// Parameters of assessWorker().
struct HealthSettings {
    double badWorkerShare = 0.02; ///< Prior probability that a worker fails every job.
    double quarantineProbability
        = 0.95; ///< Threshold of the probability above which a worker is quarantined.
    Millis quarantine {
        600000
    }; ///< Duration of the first quarantine; gives an operator time to inspect the worker.
    int probationJobs = 3; ///< Number of successes that end a probation.
    Millis longestProbation {}; ///< Maximum duration of a probation without a failure; 0 for no limit.
    int maxQuarantinedPercent = 10; ///< Limit per pool; more failures than that indicate a common cause.
};

/// A change of trust.
enum class HealthAction : std::uint8_t { Keep, Quarantine, StartProbation, Release };

/// Result of assessWorker().
struct HealthDecision {
    HealthAction action = HealthAction::Keep;
    double badProbability = 0; ///< Probability that the worker fails every job.
    std::vector<std::string> unchargedJobs; ///< Jobs whose failure shouldn't count as an attempt.
    std::string reason;
};

/// Assesses a worker. A failure of a job that succeeded elsewhere weighs more than that of a job that fails
/// everywhere, so that a bad job can't cause the quarantine of good workers.
/// @param record the worker.
/// @param now the current time.
/// @param settings parameters.
/// @return the decision.
HealthDecision assessWorker(const WorkerRecord& record, Millis now, const HealthSettings& settings);

} // namespace celeryline
