#include "celeryline/jobs/JobAdmission.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr std::uint16_t tooManyRequests = 429;
constexpr std::uint16_t unavailable = 503;

Millis scaled(Millis time, double factor)
{
    return { static_cast<std::int64_t>(static_cast<double>(time.count) * factor) };
}

/// @return a part of the interval that is the same for each decision about the job and differs among jobs.
Millis spreadOf(const JobId& job, Millis interval)
{
    // The hash of an id is the same for ids that differ in few bits, so its bits are mixed.
    constexpr std::uint64_t factor = 0xbf58476d1ce4e5b9;
    constexpr int shift = 32;
    auto mixed = static_cast<std::uint64_t>(job.hash()) * factor;
    mixed ^= mixed >> shift;
    mixed *= factor;
    auto length = static_cast<std::uint64_t>(std::max<std::int64_t>(1, interval.count));
    return { static_cast<std::int64_t>((mixed >> shift) % length) };
}

/// @return the part of the final capacity that is not available now.
double uncertainPart(const PoolForecast& capacity)
{
    auto all = finalCapacity(capacity).cpuMilli;
    bool hasNow = !capacity.empty() && capacity.front().after <= Millis {};
    auto now = hasNow ? capacity.front().added.cpuMilli : 0;
    return all <= 0 ? 0 : 1 - static_cast<double>(now) / static_cast<double>(all);
}

void refuse(JobAdmission& decision, const JobAdmissionInput& input, const JobAdmissionLimits& limits,
    JobRefusal reason, Millis delay)
{
    delay = std::min(std::max(delay, Millis {}), limits.maxRetryDelay);
    decision.refusal = reason;
    decision.status = reason == JobRefusal::Rate ? tooManyRequests : unavailable;
    decision.retryAfter = delay + spreadOf(input.job, std::max(delay, limits.minRetrySpread)) + Millis { 1 };
}

} // namespace

const char* jobRefusalName(JobRefusal refusal)
{
    return refusal == JobRefusal::Rate ? "customer beyond its rate" : "not enough capacity";
}

JobAdmission decideJobAdmission(const JobAdmissionInput& input, const JobAdmissionLimits& limits)
{
    JobAdmission decision;
    decision.objective = input.objective;
    auto start = timeToComplete(input.ahead, input.capacity);
    auto end = timeToComplete(input.ahead + input.work, input.capacity);
    if (!start || !end)
        return decision;
    // The pool has worked on it since the forecast.
    decision.expectedStart = std::max(Millis {}, *start - input.sinceForecast);
    decision.expectedEnd = std::max(*end - input.sinceForecast, decision.expectedStart + input.criticalPath);
    if (decision.expectedStart <= scaled(input.objective, limits.freeStartFraction))
        return decision;
    decision.isScarce = true;
    auto margin = limits.uncertaintyMargin * uncertainPart(input.capacity);
    auto scarceFraction = limits.scarceFraction / (1 + input.debtSeconds / limits.debtScaleSeconds);
    auto untilNotScarce = decision.expectedEnd - scaled(input.objective, scarceFraction + margin);
    auto untilInTime = decision.expectedEnd - scaled(input.objective, limits.refusalFraction + margin);
    if (!input.isWithinRate && untilNotScarce > Millis {}) {
        refuse(decision, input, limits, JobRefusal::Rate, std::min(input.untilWithinRate, untilNotScarce));
    } else if (untilInTime > Millis {}) {
        refuse(decision, input, limits, JobRefusal::Capacity, untilInTime);
    }
    return decision;
}

} // namespace celeryline
