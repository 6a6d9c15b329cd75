/// @file
/// Learnt sizes of jobs.
#pragma once

#include "celeryline/registry/Announcement.h"

#include <array>
#include <map>
#include <string>
#include <utility>

namespace celeryline {

/// A decaying histogram of one resource, in steps of an eighth of a power of two.
class UsageHistogram {
public:
    /// @param amount the highest use of one job.
    void observe(std::int64_t amount);

    /// @param quantile share of the jobs that used no more, from 0 to 1.
    /// @return the upper bound of that bucket; 0 without observations.
    std::int64_t quantile(double quantile) const;

    /// @return observations, of which older ones count less.
    int count() const { return m_count; }

private:
    static constexpr int bucketCount = 256; // 2^32 mCPU or MB.
    std::array<std::uint16_t, bucketCount> m_buckets {};
    int m_count = 0;
};

/// Learns how much the jobs of each team and kind really use. Declared sizes are wrong by up to ten times in
/// either direction, so a declaration counts only until enough jobs of the kind have ended.
class SizeEstimator {
public:
    /// @param memoryQuantile share of a kind's jobs that the estimate covers. Too little memory kills a job.
    /// @param memoryHeadroom factor above the quantile, for growth between two reports.
    /// @param cpuQuantile the same for processor time, which may be lower: too little of it only slows a job.
    explicit SizeEstimator(
        double memoryQuantile = 0.9, double memoryHeadroom = 1.1, double cpuQuantile = 0.5);

    /// @param team of the job.
    /// @param kind of the job.
    /// @param used highest use that its worker reported.
    void observe(const std::string& team, const std::string& kind, const Resources& used);

    /// @param team of the job.
    /// @param kind of the job.
    /// @param declared its declared size.
    /// @return the size to place it with: learnt from the team's jobs of the kind, else from all teams' jobs
    /// of the kind, else as declared. Accelerators are always as declared.
    Resources estimate(const std::string& team, const std::string& kind, const Resources& declared) const;

    /// @return whether the estimate comes from observations.
    bool isLearnt(const std::string& team, const std::string& kind) const;

private:
    struct Usage {
        UsageHistogram cpuMilli;
        UsageHistogram memoryMb;
    };

    const Usage* find(const std::string& team, const std::string& kind) const;

    std::map<std::pair<std::string, std::string>, Usage> m_usage; ///< The empty team is all teams.
    double m_memoryQuantile;
    double m_memoryHeadroom;
    double m_cpuQuantile;
};

} // namespace celeryline
