/// @file
/// Measures how long no leader has responded, and decides whether requests are refused because of it.
#pragma once

#include "celeryline/base/Millis.h"

#include <algorithm>

namespace celeryline {

/// How long no leader has responded although control processes were queried. Counts only time in which this
/// process ran, so that a pause of this process isn't mistaken for an unresponsive leader.
///
/// Example: `timer = startResponseTimer(timer, now); ... timer = advanceResponseTimer(timer, now);`
struct LeaderResponseTimer {
    bool isRunning = false; ///< A control process was queried since the last response of a leader.
    Millis elapsed; ///< Time since that query.
    Millis updatedAt; ///< Monotonic time of the last update.
};

inline bool operator==(const LeaderResponseTimer& a, const LeaderResponseTimer& b)
{
    return a.isRunning == b.isRunning && a.elapsed == b.elapsed && a.updatedAt == b.updatedAt;
}
inline bool operator!=(const LeaderResponseTimer& a, const LeaderResponseTimer& b) { return !(a == b); }

/// Interval at which a running timer must be advanced.
inline constexpr Millis responseTimerInterval { 50 };
/// Maximum time that one update adds. A longer interval means that this process was paused.
inline constexpr Millis maxResponseTimerStep { 100 };

/// Adds the time since the last update.
/// @param now monotonic time.
/// @return the updated state.
inline LeaderResponseTimer advanceResponseTimer(LeaderResponseTimer timer, Millis now)
{
    if (timer.isRunning)
        timer.elapsed = timer.elapsed + std::min(now - timer.updatedAt, maxResponseTimerStep);
    timer.updatedAt = now;
    return timer;
}

/// Records a query to a control process, which starts the timer unless it is running.
/// @param now monotonic time.
/// @return the updated state.
inline LeaderResponseTimer startResponseTimer(LeaderResponseTimer timer, Millis now)
{
    timer = advanceResponseTimer(timer, now);
    timer.isRunning = true;
    return timer;
}

/// Records a response of a leader, which stops the timer.
/// @param now monotonic time.
/// @return the new state.
inline LeaderResponseTimer resetResponseTimer(Millis now) { return { false, {}, now }; }

/// When requests are refused immediately because no leader responds.
struct RefusalPolicy {
    Millis limit; ///< Time without a response after which requests are refused; 0 disables refusals.
    Millis retryAfter; ///< Time by which the next query to the control processes could have been answered.
};

/// @param mayHaveEffect whether the request may have been executed. Such a request isn't refused: the next
/// leader may still know its outcome, and a refusal would tell the caller that it wasn't executed.
/// @return whether a request is refused without waiting for a leader.
inline bool shouldRefuse(const RefusalPolicy& policy, const LeaderResponseTimer& timer, bool mayHaveEffect)
{
    return !mayHaveEffect && policy.limit > Millis {} && timer.elapsed >= policy.limit;
}

} // namespace celeryline
