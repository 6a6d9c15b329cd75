/// @file
/// Estimation of job sizes from observed usage.
#pragma once

#include "celeryline/registry/Announcement.h"

#include <array>
#include <map>
#include <string>
#include <utility>

namespace celeryline {

/// A decaying histogram of one resource with eight buckets per power of two.
class UsageHistogram {
public:
    /// @param amount the peak usage of one job.
    void observe(std::int64_t amount);

    /// @param quantile fraction of the jobs, from 0 to 1.
    /// @return upper bound of the bucket that contains the quantile; 0 without observations.
    std::int64_t quantile(double quantile) const;

    /// @return number of observations after decay.
    int count() const { return m_count; }

private:
    static constexpr int bucketCount = 256; // 2^32 mCPU or MB.
    std::array<std::uint16_t, bucketCount> m_buckets {};
    int m_count = 0;
};

/// Estimates the size of jobs from the usage of ended jobs of the same team and kind. Declared sizes are
/// wrong by a factor of up to ten in either direction, so they are used only until enough jobs of the kind
/// have ended.
class SizeEstimator {
public:
    /// @param memoryQuantile fraction of a kind's jobs that the memory estimate covers. Too little memory
    /// kills a job.
    /// @param memoryHeadroom factor on the quantile, for growth between two reports.
    /// @param cpuQuantile fraction that the CPU estimate covers. It may be lower: too little CPU only slows a
    /// job.
    explicit SizeEstimator(
        double memoryQuantile = 0.9, double memoryHeadroom = 1.1, double cpuQuantile = 0.5);

    /// @param team team of the job.
    /// @param kind kind of the job.
    /// @param used peak usage that its worker reported.
    void observe(const std::string& team, const std::string& kind, const Resources& used);

    /// @param team team of the job.
    /// @param kind kind of the job.
    /// @param declared declared size of the job.
    /// @return the size to use for placement: estimated from the team's jobs of the kind, else from all
    /// teams' jobs of the kind, else as declared. Accelerators are always as declared.
    Resources estimate(const std::string& team, const std::string& kind, const Resources& declared) const;

    /// @return whether the estimate is based on observations.
    bool isLearnt(const std::string& team, const std::string& kind) const;

private:
    struct Usage {
        UsageHistogram cpuMilli;
        UsageHistogram memoryMb;
    };

    const Usage* find(const std::string& team, const std::string& kind) const;

    /// By team and kind; the empty team stands for all teams.
    std::map<std::pair<std::string, std::string>, Usage> m_usage;
    double m_memoryQuantile;
    double m_memoryHeadroom;
    double m_cpuQuantile;
};

} // namespace celeryline
