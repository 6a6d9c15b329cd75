/// @file
/// Clocks that can be replaced in tests.
#pragma once

#include "celeryline/base/Millis.h"

#include <atomic>
#include <ctime>

namespace celeryline {

/// A monotonic clock. All timeouts and leases use it, so that adjustments of the wall clock have no
/// effect on them.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return the monotonic time since an arbitrary epoch.
    virtual Millis now() const = 0;

    /// @return the wall time since the Unix epoch; used only for log records and the time stamps of
    /// log entries.
    virtual Millis wallTime() const = 0;
};

/// The clock of the operating system.
class SystemClock final : public Clock {
public:
    /// Includes time during which the machine was suspended, because leases on other machines keep running
    /// meanwhile.
    Millis now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return { static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000 };
    }

    Millis wallTime() const override
    {
        auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return { std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count() };
    }
};

/// A clock that only advances on request, for tests and benchmarks.
class ManualClock final : public Clock {
public:
    Millis now() const override { return { m_now.load() }; }
    Millis wallTime() const override { return { m_wallOffset.load() + m_now.load() }; }

    /// @param step how far to advance the clock.
    void advance(Millis step) { m_now += step.count; }

    /// Adjusts only the wall clock, as time synchronisation does.
    /// @param step the adjustment; may be negative.
    void stepWallClock(Millis step) { m_wallOffset += step.count; }

private:
    std::atomic<std::int64_t> m_now { 0 };
    std::atomic<std::int64_t> m_wallOffset { 0 };
};

} // namespace celeryline
