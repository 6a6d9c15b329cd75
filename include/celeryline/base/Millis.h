/// @file
/// The one time type of celeryline.
#pragma once

#include <chrono>
#include <cstdint>

namespace celeryline {

/// A duration, or a point on a clock's time line, in whole milliseconds.
///
/// Example: `Millis deadline = clock.now() + Millis { 500 };`
struct Millis {
    std::int64_t count = 0;

    /// @return the same time span as a standard duration.
    std::chrono::milliseconds toChrono() const { return std::chrono::milliseconds(count); }
};

inline bool operator==(Millis a, Millis b) { return a.count == b.count; }
inline bool operator!=(Millis a, Millis b) { return a.count != b.count; }
inline bool operator<(Millis a, Millis b) { return a.count < b.count; }
inline bool operator<=(Millis a, Millis b) { return a.count <= b.count; }
inline bool operator>(Millis a, Millis b) { return a.count > b.count; }
inline bool operator>=(Millis a, Millis b) { return a.count >= b.count; }
inline Millis operator+(Millis a, Millis b) { return { a.count + b.count }; }
inline Millis operator-(Millis a, Millis b) { return { a.count - b.count }; }

} // namespace celeryline
