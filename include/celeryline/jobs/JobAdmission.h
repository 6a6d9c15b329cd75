/// @file
/// Decides whether a submitted job can be completed in time.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/jobs/JobId.h"
#include "celeryline/jobs/PoolForecast.h"

#include <cstdint>
#include <optional>

namespace celeryline {

/// Thresholds of decideJobAdmission().
struct JobAdmissionLimits {
    /// Capacity is scarce for a job that is expected to end beyond this part of its objective. It is well
    /// below 1, so that the load beyond the customers' rates is refused before other jobs miss their
    /// objective.
    double scarceFraction = 0.7;
    /// The part is divided by one plus the customer's debt in relation to this time, so that customers far
    /// beyond their rate are refused before those that are slightly beyond it.
    double debtScaleSeconds = 1;
    /// A job of a customer within its rate is refused beyond this part of its objective. Below 1, because
    /// under lasting overload the backlog stays at this limit, and then a change of leader makes all of it
    /// late.
    double refusalFraction = 0.9;
    /// Added to both parts, multiplied by the part of the forecast capacity that the pool doesn't have yet.
    /// How soon machines arrive is uncertain, while the capacity of a pool's own runners is known well.
    double uncertaintyMargin = 0.15;
    /// Jobs that start within this part of their objective are accepted: a job with a critical path beyond
    /// its objective is not the fault of the load, and the first job of a pool makes it get a machine.
    double freeStartFraction = 0.2;
    /// Limit on the time that callers are told to wait before the spread is added. Bursts last 3 to 10 s, and
    /// callers come back three times.
    Millis maxRetryDelay { 4000 };
    /// Minimum length of the interval over which the returns of refused callers are spread. Three different
    /// values on the wire, which carries whole seconds.
    Millis minRetrySpread { 2000 };
};

/// What is known about a submitted job and its pool.
struct JobAdmissionInput {
    JobId job;
    Millis objective; ///< Time from now by which the job should be complete.
    Millis criticalPath; ///< By learnt durations.
    ResourceWork work; ///< Work of all its tasks, by learnt durations.
    ResourceWork ahead; ///< Work that the pool processes before it.
    PoolForecast capacity; ///< Capacity of the pool; empty if unknown.
    Millis sinceForecast; ///< Time since `ahead` and `capacity` were determined.
    bool isWithinRate = true; ///< The customer sends no more jobs than its weight allows.
    Millis untilWithinRate; ///< Time until it is; only of use if it isn't now.
    double debtSeconds = 0; ///< See CustomerRate.
};

/// Why a job is refused.
enum class JobRefusal : std::uint8_t {
    Rate, ///< Capacity is scarce, and the customer exceeds its rate.
    Capacity ///< The job can't be completed in time.
};

/// The decision about a submitted job.
struct JobAdmission {
    std::optional<JobRefusal> refusal; ///< Nothing if the job is accepted.
    std::uint16_t status = 200; ///< Status of the response to a refused caller.
    Millis retryAfter; ///< Time after which the caller should submit the job again.
    bool isScarce = false; ///< Whether the job has to wait for capacity.
    Millis expectedStart; ///< Time until its first task starts.
    Millis expectedEnd; ///< Time until the job is complete; both are 0 without an estimate.
    Millis objective; ///< As in the input.
};

/// @param refusal a reason.
/// @return its name in log events and metrics.
const char* jobRefusalName(JobRefusal refusal);

/// Decides whether to accept a job. Without an estimate of the capacity it is accepted.
/// @param input the job and its pool.
/// @param limits thresholds.
/// @return the decision. The time to come back is that at which the job would be accepted if no other job is
/// submitted, plus a part of the spread that depends on the job's id only.
///
/// Example: `if (auto decision = decideJobAdmission(input); decision.refusal) { respond(decision.status); }`
JobAdmission decideJobAdmission(const JobAdmissionInput& input, const JobAdmissionLimits& limits = {});

} // namespace celeryline
