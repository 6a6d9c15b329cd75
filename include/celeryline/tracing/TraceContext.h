/// @file
/// W3C trace context.
#pragma once

#include <optional>
#include <string>
#include <tuple>

namespace celeryline {

/// The trace context of a request, as carried by the `traceparent` header.
struct TraceContext {
    std::string traceId; ///< 32 lower-case hexadecimal digits.
    std::string spanId; ///< 16 lower-case hexadecimal digits.
    bool sampled = true;
};

inline bool operator==(const TraceContext& a, const TraceContext& b)
{
    return std::tie(a.traceId, a.spanId, a.sampled) == std::tie(b.traceId, b.spanId, b.sampled);
}

/// @param header value of a `traceparent` header.
/// @return the parsed context; empty if the header is malformed, which the W3C recommendation requires to be
/// ignored.
///
/// Example: `parseTraceparent("00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01")`
std::optional<TraceContext> parseTraceparent(const std::string& header);

/// @param context a trace context.
/// @return the value of a `traceparent` header.
std::string formatTraceparent(const TraceContext& context);

/// @return a sampled context with a new trace id and a new span id.
TraceContext newTraceContext();

/// @param parent context of the caller.
/// @return a context in the same trace with a new span id.
TraceContext childContext(const TraceContext& parent);

} // namespace celeryline
