/// @file
/// A span that ends with its scope.
#pragma once

#include "celeryline/tracing/SpanExporter.h"

#include <optional>
#include <string>

namespace celeryline {

/// Measures one operation and records it as a span when destroyed. Does nothing without an enabled exporter.
///
/// Example: `ScopedSpan span(exporter, "call intake", SpanKind::Server, parent);`
class ScopedSpan {
public:
    /// @param exporter receives the span; may be null.
    /// @param name name of the operation.
    /// @param kind kind of the span.
    /// @param parent the enclosing operation; without one a new trace begins.
    ScopedSpan(SpanExporter* exporter, const std::string& name, SpanKind kind,
        const std::optional<TraceContext>& parent);
    ~ScopedSpan();
    ScopedSpan(const ScopedSpan&) = delete;
    ScopedSpan& operator=(const ScopedSpan&) = delete;

    /// @return the span's context, for its children; nothing if spans go nowhere.
    std::optional<TraceContext> context() const;

    /// @return the `traceparent` header for the next hop; empty if spans go nowhere.
    std::string traceparent() const;

    /// @param key name of an attribute.
    /// @param value its value.
    void set(const std::string& key, const std::string& value);

    /// Marks the operation as failed.
    void fail() { m_span.failed = true; }

private:
    SpanExporter* m_exporter; ///< Null if spans go nowhere.
    Span m_span;
};

} // namespace celeryline
