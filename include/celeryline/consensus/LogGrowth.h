/// @file
/// How a leader's log has grown lately.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <deque>

namespace celeryline::detail {

/// Last index of a log at a point in time.
struct LogLength {
    Millis time;
    std::uint64_t lastIndex = 0;
};

/// Last indexes of a log at recent points in time, the oldest first.
struct LogGrowth {
    std::deque<LogLength> samples;
};

/// Records the last index, and forgets the samples that lastIndexAt() doesn't need for this time and later
/// ones.
/// @param oldest earliest time for which lastIndexAt() will be called.
void recordLastIndex(LogGrowth& growth, const LogLength& current, Millis oldest);

/// @return the last index at a time, rounded down to the latest sample before it; 0 if there is none.
std::uint64_t lastIndexAt(const LogGrowth& growth, Millis time);

} // namespace celeryline::detail
