/// @file
/// Log lines about decisions, as one JSON object each.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// Limits the lines of one process. Lines beyond the limit are dropped and counted.
class EventBudget {
public:
    /// @param linesPerSecond lines that may be written in the long run.
    /// @param burst lines that may be written at once.
    EventBudget(std::uint32_t linesPerSecond, std::uint32_t burst)
        : m_linesPerSecond(linesPerSecond)
        , m_burst(burst)
        , m_lines(burst)
    {
    }

    /// @param now monotonic time.
    /// @return whether a line may be written now.
    bool take(Millis now);

    /// @return how many lines were dropped since the last call.
    std::uint64_t takeDropped();

private:
    double m_linesPerSecond;
    double m_burst;
    double m_lines;
    Millis m_filledAt;
    std::uint64_t m_dropped = 0;
};

/// What an event is about. Each kind has a budget of its own, so that the many lines about tasks can't
/// displace those about requests.
enum class EventKind : std::uint8_t {
    Request, ///< A caller's, operator's or runner's request or job.
    Task ///< The start or end of a single task.
};

/// One line of the log about a decision: what was decided about what, from which inputs, with which outcome.
///
/// Example: `Event("job-accepted").with("job", id).with("queue", queue).with("tasks", count).write();`
class Event {
public:
    /// @param name what happened, in lower case with hyphens.
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
    /// Adds a time span or point in milliseconds; the field's name should end in "Ms".
    Event& with(const char* field, Millis value) { return with(field, value.count); }

    /// Writes the line, if the budget of its kind allows it.
    void write(EventKind kind = EventKind::Request);

    /// Writes the line whatever the budget is. For rare lines: starts, stops, changes of leader and the like.
    void writeAlways();

private:
    void emit();

    std::string m_text;
};

/// Sends events to standard output, one JSON object a line, with the instance's name in each, and all other
/// log lines with them. Standard output is never waited for: what it doesn't take at once is lost.
/// @param instance name of this instance.
void setUpEventLog(const std::string& instance);

} // namespace celeryline
