#include "celeryline/base/Metrics.h"

#include <prometheus/text_serializer.h>

namespace celeryline {

namespace {

const prometheus::Histogram::BucketBoundaries durationBucketsSeconds { 0.0005, 0.001, 0.002, 0.005, 0.01,
    0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60 };

} // namespace

prometheus::Counter& Metrics::counter(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(m_registry).Add(labels);
}

prometheus::Gauge& Metrics::gauge(const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add(labels);
}

prometheus::Histogram& Metrics::duration(
    const std::string& name, const std::string& help, const Labels& labels)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(m_registry)
        .Add(labels, durationBucketsSeconds);
}

std::string Metrics::asText() const { return prometheus::TextSerializer().Serialize(m_registry.Collect()); }

} // namespace celeryline
