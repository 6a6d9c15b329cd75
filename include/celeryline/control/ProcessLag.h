/// @file
/// Measures how late a control process is.
#pragma once

#include "celeryline/control/LoopLag.h"

namespace celeryline {

/// Limits of ProcessLag.
struct ProcessLagLimits {
    Millis timer { 400 }; ///< Delay of timers at which the process counts as overloaded.
    /// Delay of a majority's replies at which the leader counts as overloaded. Half of its lease, so that it
    /// can still refuse jobs itself.
    Millis replication { 225 };
};

/// Lag of a control process: the delay of its timers and, on the leader, of the replies of a majority. Timers
/// run before the sockets that are ready, so they alone don't show how long messages wait.
class ProcessLag {
public:
    explicit ProcessLag(const ProcessLagLimits& limits)
        : m_limits(limits)
    {
    }

    /// Records the delays at one moment.
    /// @param timerDelay delay of a timer that runs now.
    /// @param replicationDelay result of RaftCore::replicationDelay().
    /// @param now current steady time.
    void record(Millis timerDelay, Millis replicationDelay, Millis now);

    /// @return the longest recent delay of a timer.
    Millis timerDelay(Millis now) const { return m_timer.recent(now); }

    /// @return the longest recent delay of a majority's replies; 0 if this process didn't lead.
    Millis replicationDelay(Millis now) const { return m_replication.recent(now); }

    /// @return the longer of both.
    Millis recent(Millis now) const;

    /// @return whether one of the delays has reached its limit.
    bool isOverloaded(Millis now) const;

private:
    ProcessLagLimits m_limits;
    LoopLag m_timer;
    LoopLag m_replication;
};

} // namespace celeryline
