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

/// Registers metrics and writes them in the Prometheus text format. Thread-safe.
///
/// Example: `metrics.counter("celeryline_requests_total", "Requests received.", { { "service", s }
/// }).Increment();`
class Metrics {
public:
    using Labels = std::map<std::string, std::string>;

    /// @param name metric name by Prometheus conventions.
    /// @param help what it counts.
    /// @param labels its labels; each combination is one time series.
    /// @return the counter, which lives as long as this object.
    prometheus::Counter& counter(const std::string& name, const std::string& help, const Labels& labels = {});

    /// As counter(), for a value that goes up and down.
    prometheus::Gauge& gauge(const std::string& name, const std::string& help, const Labels& labels = {});

    /// As counter(), for durations in seconds.
    prometheus::Histogram& duration(
        const std::string& name, const std::string& help, const Labels& labels = {});

    /// @return all metrics in the Prometheus text format.
    std::string asText() const;

private:
    prometheus::Registry m_registry { prometheus::Registry::InsertBehavior::Merge };
};

} // namespace celeryline
