/// @file
/// A timed operation of a trace.
#pragma once

#include "celeryline/tracing/TraceContext.h"

#include <cstdint>
#include <map>
#include <string>

namespace celeryline {

/// Kind of a span, with the numeric values of OTLP.
enum class SpanKind : std::uint8_t { Internal = 1, Server = 2, Client = 3 };

/// A completed operation of a trace.
struct Span {
    std::string name;
    SpanKind kind = SpanKind::Internal;
    TraceContext context;
    std::string parentSpanId; ///< Empty for the root span of a trace.
    std::int64_t startNanos = 0; ///< Wall time since the Unix epoch.
    std::int64_t endNanos = 0;
    std::map<std::string, std::string> attributes;
    bool failed = false;
};

/// @return the current wall time in nanoseconds since the Unix epoch.
std::int64_t spanTimeNow();

} // namespace celeryline
