/// @file
/// The metrics of this process.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>

namespace celeryline {

/// Registry of metrics with output in the Prometheus text format. Thread-safe.
///
/// Example: `metrics.counter("celeryline_requests_total", "Requests received.", { { "service", s }
/// }).Increment();`
class Metrics {
public:
    using Labels = std::map<std::string, std::string>;

    /// @param name metric name that follows Prometheus conventions.
    /// @param help description of the metric.
    /// @param labels labels of the time series.
    /// @return the counter; valid for the lifetime of this object.
    prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});

    /// Like counter(), for a value that can increase and decrease.
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});

    /// Like counter(), for a histogram of durations in seconds.
    prometheus::Histogram& duration(
        const std::string& name, const std::string& help, const Labels& labels = {});

    /// @return all metrics in the Prometheus text format.
    std::string asText() const;

private:
    prometheus::Registry m_registry { prometheus::Registry::InsertBehavior::Merge };
};

} // namespace celeryline
