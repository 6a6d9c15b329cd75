/// @file
/// The type for durations and points in time.
#pragma once

#include <chrono>
#include <cstdint>

namespace celeryline {

/// A duration, or a point in time of some clock, in whole milliseconds.
///
/// Example: `Millis deadline = clock.now() + Millis { 500 };`
struct Millis {
    std::int64_t count = 0;

    /// @return the value as a `std::chrono` duration.
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
