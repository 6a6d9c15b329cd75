#include "celeryline/jobs/CustomerRate.h"

#include <algorithm>

namespace celeryline {
namespace {

constexpr double millisecondsPerSecond = 1000;
/// Jobs beyond the rate that a customer may send at once, in seconds of its rate and at least.
constexpr double burstSeconds = 2;
constexpr double minBurst = 4;
/// Returns are reserved up to this far ahead; a burst is over by then.
constexpr double maxReservationMs = 10000;
/// A customer is free of debt at most this long after its last accepted job.
constexpr double maxDebtSeconds = 10;

double capacityOf(double jobsPerSecond) { return std::max(minBurst, burstSeconds * jobsPerSecond); }

} // namespace

CustomerRate::CustomerRate(double jobsPerSecond, Millis now)
    : m_jobsPerSecond(jobsPerSecond)
    , m_tokens(capacityOf(jobsPerSecond))
    , m_updatedAt(now)
{
}

double CustomerRate::tokensAt(Millis now) const
{
    auto elapsed = static_cast<double>((now - m_updatedAt).count) / millisecondsPerSecond;
    return std::min(capacityOf(m_jobsPerSecond), m_tokens + elapsed * m_jobsPerSecond);
}

double CustomerRate::debtSeconds(Millis now) const
{
    auto tokens = tokensAt(now);
    return tokens >= 0 || m_jobsPerSecond <= 0 ? 0 : -tokens / m_jobsPerSecond;
}

void CustomerRate::recordAccepted(Millis now, bool isScarce)
{
    auto tokens = tokensAt(now);
    auto lowest = isScarce ? -maxDebtSeconds * m_jobsPerSecond : std::min(tokens, 0.0);
    m_tokens = std::max(lowest, tokens - 1);
    m_updatedAt = now;
}

Millis CustomerRate::untilReturn(Millis now) const
{
    if (m_jobsPerSecond <= 0)
        return { static_cast<std::int64_t>(maxReservationMs) };
    auto missing = std::max(0.0, 1 - tokensAt(now)) * millisecondsPerSecond / m_jobsPerSecond;
    auto reserved = m_lastReturnAt + millisecondsPerSecond / m_jobsPerSecond - static_cast<double>(now.count);
    return { static_cast<std::int64_t>(std::min(std::max(missing, reserved), maxReservationMs)) };
}

void CustomerRate::reserveReturn(Millis now)
{
    m_lastReturnAt = static_cast<double>((now + untilReturn(now)).count);
}

} // namespace celeryline
