/// @file
/// Export of spans to a file or a collector.
#pragma once

#include "celeryline/settings/Settings.h"
#include "celeryline/tracing/Span.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace celeryline {

/// Exports spans in batches as OTLP JSON: to a file with one batch per line, to a collector by OTLP/HTTP, or
/// to both. Spans are queued; if the queue is full they are dropped and counted, so that a slow collector
/// never delays requests.
class SpanExporter {
public:
    /// @param settings destinations; if there are none, record() has no effect.
    /// @param instance name of this instance, sent as `service.instance.id`.
    SpanExporter(const TracingSettings& settings, const std::string& instance);
    /// Exports the queued spans before returning.
    ~SpanExporter();

    /// @return whether a destination is configured; if not, callers may skip creating spans.
    bool isEnabled() const { return m_isEnabled; }

    /// Queues a span for export.
    /// @param span a completed span; ignored if its context is not sampled.
    void record(Span span);

    /// @return the number of spans dropped because the queue was full or the export to the collector failed.
    std::uint64_t dropped() const;

private:
    void run();
    void write(const std::vector<Span>& spans);
    void sendToCollector(const std::string& json, std::size_t count);

    TracingSettings m_settings;
    std::string m_instance;
    bool m_isEnabled;
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<Span> m_queue;
    std::uint64_t m_dropped = 0;
    bool m_isStopping = false;
    std::ofstream m_file;
    std::thread m_thread;
};

/// @param spans completed spans.
/// @param instance value of `service.instance.id`.
/// @return an OTLP `ExportTraceServiceRequest` in JSON.
std::string spansAsOtlpJson(const std::vector<Span>& spans, const std::string& instance);

} // namespace celeryline
