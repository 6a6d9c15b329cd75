#include "celeryline/tracing/ScopedSpan.h"

namespace celeryline {

ScopedSpan::ScopedSpan(
    SpanExporter* exporter, const std::string& name, SpanKind kind, const std::optional<TraceContext>& parent)
    : m_exporter(exporter && exporter->isEnabled() ? exporter : nullptr)
{
    if (!m_exporter) {
        return;
    }
    m_span.name = name;
    m_span.kind = kind;
    m_span.context = parent ? childContext(*parent) : newTraceContext();
    m_span.parentSpanId = parent ? parent->spanId : "";
    m_span.startNanos = spanTimeNow();
}

ScopedSpan::~ScopedSpan()
{
    if (m_exporter) {
        m_span.endNanos = spanTimeNow();
        m_exporter->record(std::move(m_span));
    }
}

std::optional<TraceContext> ScopedSpan::context() const
{
    return m_exporter ? std::optional<TraceContext>(m_span.context) : std::nullopt;
}

std::string ScopedSpan::traceparent() const { return m_exporter ? formatTraceparent(m_span.context) : ""; }

void ScopedSpan::set(const std::string& key, const std::string& value)
{
    if (m_exporter) {
        m_span.attributes[key] = value;
    }
}

} // namespace celeryline
