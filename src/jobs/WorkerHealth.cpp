#include "celeryline/jobs/WorkerHealth.h"

#include "celeryline/base/Invariant.h"

#include <algorithm>
#include <cmath>

namespace celeryline {

namespace {

// Below 1, so that a bad worker is detected even if it occasionally completes a job.
const double badFailureRate = 0.95;
const double usualFailureRate = 0.05; // Prior for a job without results elsewhere.

/// @return the probability that the job fails on a good worker, from its results elsewhere; the prior counts
/// as one attempt.
double failureRateOf(const JobAttempt& attempt)
{
    return (attempt.failedElsewhere + usualFailureRate)
        / (attempt.failedElsewhere + attempt.succeededElsewhere + 1);
}

/// @return the probability that a worker with these results fails every job (Bayes' rule).
double probabilityBad(const WorkerRecord& record, const HealthSettings& settings)
{
    double logOdds = std::log(settings.badWorkerShare / (1 - settings.badWorkerShare));
    for (const auto& attempt : record.attempts) {
        if (record.trust != WorkerTrust::Trusted || attempt.ended >= record.since) {
            double rate = failureRateOf(attempt);
            logOdds += attempt.failed ? std::log(badFailureRate / rate)
                                      : std::log((1 - badFailureRate) / (1 - rate));
        }
    }
    return 1 / (1 + std::exp(-logOdds));
}

HealthDecision assessProbation(
    const WorkerRecord& record, HealthDecision decision, Millis now, const HealthSettings& settings)
{
    int succeeded = 0;
    for (const auto& attempt : record.attempts) {
        if (attempt.ended < record.since) {
            continue;
        }
        if (attempt.failed && failureRateOf(attempt) < 0.5) {
            decision.action = HealthAction::Quarantine;
            decision.unchargedJobs = { attempt.job };
            decision.reason = "job " + attempt.job + " failed during probation";
            return decision;
        }
        succeeded += attempt.failed ? 0 : 1;
    }
    decision.reason = std::to_string(succeeded) + " of " + std::to_string(settings.probationJobs)
        + " jobs succeeded during probation";
    bool isOver = settings.longestProbation > Millis {} && now - record.since >= settings.longestProbation;
    if (succeeded >= settings.probationJobs || isOver) {
        decision.action = HealthAction::Release;
    }
    return decision;
}

} // namespace

HealthDecision assessWorker(const WorkerRecord& record, Millis now, const HealthSettings& settings)
{
    invariant(settings.badWorkerShare > 0 && settings.badWorkerShare < 1,
        "the expected share of bad workers must be between 0 and 1");
    HealthDecision decision;
    decision.badProbability = probabilityBad(record, settings);
    auto percent = std::to_string(static_cast<int>(decision.badProbability * 100)) + "%";
    if (record.trust == WorkerTrust::Probation) {
        return assessProbation(record, decision, now, settings);
    }
    if (record.trust == WorkerTrust::Quarantined) {
        // Limits the duration to about 11 hours with the default settings.
        auto doublings = std::min(record.quarantines, 6);
        Millis duration { settings.quarantine.count << doublings };
        bool hasEnded = now - record.since >= duration;
        decision.action = hasEnded ? HealthAction::StartProbation : HealthAction::Keep;
        decision.reason = hasEnded
            ? "quarantine is over"
            : "in quarantine for " + std::to_string((record.since + duration - now).count / 1000) + " s more";
        return decision;
    }
    if (decision.badProbability < settings.quarantineProbability) {
        decision.reason = "fails every job with a probability of " + percent;
        return decision;
    }
    auto allowed = std::max(1, record.poolWorkers * settings.maxQuarantinedPercent / 100);
    if (record.poolQuarantined >= allowed) {
        decision.reason = "suspect (" + percent + "), but " + std::to_string(record.poolQuarantined)
            + " workers of the pool are in quarantine already; look for a common cause";
        return decision;
    }
    decision.action = HealthAction::Quarantine;
    decision.reason = "fails every job with a probability of " + percent;
    for (const auto& attempt : record.attempts) {
        if (attempt.failed && attempt.ended >= record.since && failureRateOf(attempt) < 0.5) {
            decision.unchargedJobs.push_back(attempt.job);
        }
    }
    return decision;
}

} // namespace celeryline
