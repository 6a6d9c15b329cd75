/// @file
/// The rate at which a customer submits jobs, compared to the rate that it may expect.
#pragma once

#include "celeryline/base/Millis.h"

namespace celeryline {

/// Token bucket with one token a job. Starts full. Jobs that are accepted beyond the rate while capacity is
/// scarce leave a debt, so that a customer far beyond its rate is told from one that is slightly beyond it.
class CustomerRate {
public:
    /// @param jobsPerSecond rate that the customer may expect.
    /// @param now steady time.
    CustomerRate(double jobsPerSecond, Millis now);

    /// @return whether the customer may submit a job without exceeding its rate.
    bool isWithin(Millis now) const { return tokensAt(now) >= 1; }

    /// @return how long the customer would have to send nothing to have no debt, in seconds.
    double debtSeconds(Millis now) const;

    /// Takes the token of an accepted job.
    /// @param isScarce whether other jobs wait for the capacity that it takes, so that it may leave a debt.
    void recordAccepted(Millis now, bool isScarce);

    /// @return the time until there is a token for the next refused caller, apart from those reserved for
    /// earlier ones.
    Millis untilReturn(Millis now) const;

    /// Reserves that token, so that refused callers don't return to the same one.
    void reserveReturn(Millis now);

    double jobsPerSecond() const { return m_jobsPerSecond; }

private:
    double tokensAt(Millis now) const;

    double m_jobsPerSecond;
    double m_tokens; ///< Negative for a debt.
    Millis m_updatedAt;
    double m_lastReturnAt = 0; ///< Steady time of the last reserved token, in milliseconds.
};

} // namespace celeryline
