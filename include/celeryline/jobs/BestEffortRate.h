/// @file
/// Throttling of best-effort tasks that share a runner with latency-sensitive ones.
#pragma once

#include <cstdint>

namespace celeryline {

/// Tail latency of the latency-sensitive tasks on a runner.
struct ServingLatency {
    bool isKnown = false; ///< A task with a latency limit runs there.
    double worstRatio = 0; ///< Highest ratio of tail latency to its limit.
};

/// Computes the next rate limit of the best-effort tasks on a runner. Their interference with
/// latency-sensitive tasks changes within seconds, so the rate drops at once and rises slowly; the latency
/// limit is then exceeded only briefly.
/// @param percent current rate, as a percentage of full speed.
/// @param tail latency of the latency-sensitive tasks.
/// @return the new rate, 0 to 100.
///
/// Example: `rate = nextBestEffortRate(rate, servingLatencyOf(report));`
std::int64_t nextBestEffortRate(std::int64_t percent, const ServingLatency& tail);

} // namespace celeryline
