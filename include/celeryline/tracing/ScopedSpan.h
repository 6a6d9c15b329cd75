/// @file
/// RAII helper that records a span.
#pragma once

#include "celeryline/tracing/SpanExporter.h"

#include <optional>
#include <string>

namespace celeryline {

/// Measures an operation and records it as a span on destruction. Has no effect if the exporter is null or
/// disabled.
///
/// Example: `ScopedSpan span(exporter, "call intake", SpanKind::Server, parent);`
class ScopedSpan {
public:
    /// @param exporter destination of the span; may be null.
    /// @param name name of the operation.
    /// @param kind kind of the span.
    /// @param parent context of the enclosing operation; if empty, a new trace is started.
    ScopedSpan(SpanExporter* exporter, const std::string& name, SpanKind kind,
        const std::optional<TraceContext>& parent);
    ~ScopedSpan();
    ScopedSpan(const ScopedSpan&) = delete;
    ScopedSpan& operator=(const ScopedSpan&) = delete;

    /// @return the span's context, to be used as the parent of child spans; empty if tracing is disabled.
    std::optional<TraceContext> context() const;

    /// @return the `traceparent` header for downstream requests; empty if tracing is disabled.
    std::string traceparent() const;

    /// Sets an attribute.
    /// @param key name of the attribute.
    /// @param value value of the attribute.
    void set(const std::string& key, const std::string& value);

    /// Marks the operation as failed.
    void fail() { m_span.failed = true; }

private:
    SpanExporter* m_exporter; ///< Null if tracing is disabled.
    Span m_span;
};

} // namespace celeryline
