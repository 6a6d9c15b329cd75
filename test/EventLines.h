/// @file
/// Access to the fields of log lines.
#pragma once

#include "celeryline/settings/EventLog.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <string>
#include <vector>

namespace celeryline::test {

/// A log line of a replica.
struct EventLine {
    std::string instance;
    Poco::JSON::Object::Ptr fields;

    std::string event() const { return get("event"); }

    /// @return the value of a field as text; empty if it is missing.
    std::string get(const std::string& field) const
    {
        return fields->has(field) ? fields->get(field).toString() : "";
    }
    std::int64_t number(const std::string& field) const { return fields->getValue<std::int64_t>(field); }
};

/// Adds events to lines.
/// @param instance name of the replica that wrote them.
inline void collect(
    std::vector<EventLine>& lines, const std::string& instance, const std::vector<Event>& events)
{
    for (const auto& event : events) {
        auto fields = Poco::JSON::Parser().parse(event.line()).extract<Poco::JSON::Object::Ptr>();
        lines.push_back({ instance, fields });
    }
}

/// @return the lines with a name, in order.
inline std::vector<EventLine> linesNamed(const std::vector<EventLine>& lines, const std::string& event)
{
    std::vector<EventLine> found;
    for (const auto& line : lines) {
        if (line.event() == event)
            found.push_back(line);
    }
    return found;
}

} // namespace celeryline::test
