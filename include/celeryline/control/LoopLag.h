/// @file
/// Measures event loop lag.
#pragma once

#include "celeryline/base/Millis.h"

#include <algorithm>

namespace celeryline {

/// Measures the lag of an event loop as the delay of its timers. Data received through sockets has waited
/// about as long.
///
/// Example: `lag.record(due, clock.now()); if (lag.recent(clock.now()) > limit) { refuse(); }`
class LoopLag {
public:
    /// Records the delay of a timer.
    /// @param due scheduled time.
    /// @param now time at which it ran.
    void record(Millis due, Millis now)
    {
        startWindow(now);
        m_current = std::max(m_current, now - due);
    }

    /// @return the maximum delay within the current and the previous window, i.e. the last second at most.
    Millis recent(Millis now) const
    {
        if (now >= m_windowStart + windowLength + windowLength)
            return {}; // All measurements are older than both windows.
        return std::max(m_current, m_previous);
    }

private:
    static constexpr Millis windowLength { 500 };

    void startWindow(Millis now)
    {
        if (now < m_windowStart + windowLength)
            return;
        m_previous = now < m_windowStart + windowLength + windowLength ? m_current : Millis {};
        m_current = {};
        m_windowStart = now;
    }

    Millis m_windowStart;
    Millis m_current;
    Millis m_previous;
};

} // namespace celeryline
