#include "celeryline/decisions/SizeEstimator.h"

#include <algorithm>
#include <cmath>

namespace celeryline {

namespace {

const int minObservations = 5; // With fewer, the 90% quantile is the maximum.
const int decayInterval = 256; // All counts are halved then, so that old sizes decay.

} // namespace

void UsageHistogram::observe(std::int64_t amount)
{
    auto bucket = amount <= 1 ? 0 : static_cast<int>(std::ceil(8 * std::log2(static_cast<double>(amount))));
    ++m_buckets[static_cast<std::size_t>(std::min(bucket, bucketCount - 1))];
    if (++m_count >= decayInterval) {
        m_count = 0;
        for (auto& count : m_buckets) {
            count = static_cast<std::uint16_t>(count / 2);
            m_count += count;
        }
    }
}

std::int64_t UsageHistogram::quantile(double quantile) const
{
    auto wanted = std::max(1, static_cast<int>(std::ceil(quantile * m_count)));
    int seen = 0;
    for (std::size_t bucket = 0; bucket < m_buckets.size(); ++bucket) {
        seen += m_buckets[bucket];
        if (seen >= wanted) {
            return static_cast<std::int64_t>(std::ceil(std::exp2(static_cast<double>(bucket) / 8)));
        }
    }
    return 0;
}

SizeEstimator::SizeEstimator(double memoryQuantile, double memoryHeadroom, double cpuQuantile)
    : m_memoryQuantile(memoryQuantile)
    , m_memoryHeadroom(memoryHeadroom)
    , m_cpuQuantile(cpuQuantile)
{
}

void SizeEstimator::observe(const std::string& team, const std::string& kind, const Resources& used)
{
    for (const auto& owner : { team, std::string() }) {
        auto& usage = m_usage[{ owner, kind }];
        usage.cpuMilli.observe(used.cpuMilli);
        usage.memoryMb.observe(used.memoryMb);
    }
}

const SizeEstimator::Usage* SizeEstimator::find(const std::string& team, const std::string& kind) const
{
    for (const auto& owner : { team, std::string() }) {
        auto found = m_usage.find({ owner, kind });
        if (found != m_usage.end() && found->second.cpuMilli.count() >= minObservations) {
            return &found->second;
        }
    }
    return nullptr;
}

bool SizeEstimator::isLearnt(const std::string& team, const std::string& kind) const
{
    return find(team, kind) != nullptr;
}

Resources SizeEstimator::estimate(
    const std::string& team, const std::string& kind, const Resources& declared) const
{
    const auto* usage = find(team, kind);
    if (usage == nullptr) {
        return declared;
    }
    auto memory
        = std::ceil(static_cast<double>(usage->memoryMb.quantile(m_memoryQuantile)) * m_memoryHeadroom);
    return { usage->cpuMilli.quantile(m_cpuQuantile), static_cast<std::int64_t>(memory),
        declared.accelerators };
}

} // namespace celeryline
