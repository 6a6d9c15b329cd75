/// @file
/// Structured log of events, with one JSON object per line.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// Token bucket that limits the log lines of a process. Lines beyond the limit are dropped and counted.
class EventRateLimiter {
public:
    /// @param linesPerSecond refill rate.
    /// @param burst capacity of the bucket.
    EventRateLimiter(std::uint32_t linesPerSecond, std::uint32_t burst)
        : m_linesPerSecond(linesPerSecond)
        , m_burst(burst)
        , m_tokens(burst)
    {
    }

    /// Consumes a token, or counts a dropped line if none is available.
    /// @param now monotonic time.
    /// @return whether the line may be written.
    bool tryAcquire(Millis now);

    /// @return the number of lines dropped since the last call.
    std::uint64_t takeDroppedCount();

private:
    double m_linesPerSecond;
    double m_burst;
    double m_tokens;
    Millis m_lastRefill;
    std::uint64_t m_dropped = 0;
};

/// Category of an event. Each category has its own rate limit, so that the frequent task events can't
/// displace request events.
enum class EventKind : std::uint8_t {
    Request, ///< A job, or a request of a caller, operator or runner.
    Task ///< The start or end of a single task.
};

/// One event in the log, with the inputs and the outcome of a decision as fields.
///
/// Example: `Event("job-accepted").with("job", id).with("queue", queue).with("tasks", count).write();`
class Event {
public:
    /// @param name name of the event, in lower case with hyphens.
    explicit Event(const char* name);

    /// Adds a field.
    Event& with(const char* field, const std::string& value);
    Event& with(const char* field, const char* value) { return with(field, std::string(value)); }
    Event& with(const char* field, std::int64_t value);
    Event& with(const char* field, std::uint64_t value)
    {
        return with(field, static_cast<std::int64_t>(value));
    }
    Event& with(const char* field, std::uint32_t value)
    {
        return with(field, static_cast<std::int64_t>(value));
    }
    Event& with(const char* field, int value) { return with(field, static_cast<std::int64_t>(value)); }
    Event& with(const char* field, bool value);
    /// Adds a duration or a point in time in milliseconds; the field name should end in "Ms".
    Event& with(const char* field, Millis value) { return with(field, value.count); }

    /// Writes the line unless the rate limit of its category is exceeded.
    void write(EventKind kind = EventKind::Request);

    /// Writes the line regardless of the rate limit. For rare events such as starts, stops and leader
    /// changes.
    void writeAlways();

    /// @return the line as it is written.
    std::string line() const { return m_text + "}"; }

private:
    void emit();

    std::string m_text;
};

/// Directs events and all other log output to standard output, which is made non-blocking: output that can't
/// be written immediately is lost. Each event contains the instance name.
/// @param instance name of this instance.
void setUpEventLog(const std::string& instance);

} // namespace celeryline
