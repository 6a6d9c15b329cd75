/// @file
/// Writes spans to a file or sends them to a collector.
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

/// Writes spans as OTLP JSON, one batch a line, to a file, or sends them by OTLP/HTTP to a collector.
/// Spans are queued; when the queue is full they are dropped and counted, so that a slow collector never
/// delays a request.
class SpanExporter {
public:
    /// @param settings destinations; without any, record() does nothing.
    /// @param instance name of this instance, sent as `service.instance.id`.
    SpanExporter(const TracingSettings& settings, const std::string& instance);
    /// Writes the queued spans before it returns.
    ~SpanExporter();

    /// @return whether spans go anywhere; callers may skip building them if not.
    bool isEnabled() const { return m_isEnabled; }

    /// @param span a finished span; ignored if its context isn't sampled.
    void record(Span span);

    /// @return spans dropped because the queue was full or the collector refused them.
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

/// @param spans finished spans.
/// @param instance value of `service.instance.id`.
/// @return an OTLP `ExportTraceServiceRequest` in JSON.
std::string spansAsOtlpJson(const std::vector<Span>& spans, const std::string& instance);

} // namespace celeryline
