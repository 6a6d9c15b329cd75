/// @file
/// Sources of time that can be replaced in tests.
#pragma once

#include "celeryline/base/Millis.h"

#include <atomic>
#include <ctime>

namespace celeryline {

/// A source of monotonic time. Every timeout and lease is measured with it, so that a step of the
/// wall clock has no effect.
class Clock {
public:
    virtual ~Clock() = default;

    /// @return the monotonic time since an arbitrary start.
    virtual Millis now() const = 0;

    /// @return the wall time since the Unix epoch; only for log records and entry time stamps.
    virtual Millis wallTime() const = 0;
};

/// The clock of the operating system.
class SystemClock final : public Clock {
public:
    /// Counts the time in which the machine was suspended, because leases that others granted or took run on
    /// during it.
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

/// A clock that moves only when told to, for tests and benchmarks.
class ManualClock final : public Clock {
public:
    Millis now() const override { return { m_now.load() }; }
    Millis wallTime() const override { return { m_wallOffset.load() + m_now.load() }; }

    /// @param step how far to move the clock forward.
    void advance(Millis step) { m_now += step.count; }

    /// Steps only the wall clock, as a time server would.
    /// @param step how far to move it, forward or back.
    void stepWallClock(Millis step) { m_wallOffset += step.count; }

private:
    std::atomic<std::int64_t> m_now { 0 };
    std::atomic<std::int64_t> m_wallOffset { 0 };
};

} // namespace celeryline
