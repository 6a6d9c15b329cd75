/// @file
/// How fast filling tasks may work beside serving ones.
#pragma once

#include <cstdint>

namespace celeryline {

/// What the serving tasks of a runner see.
struct ServingTail {
    bool isKnown = false; ///< A serving task with a limit runs there.
    double worstShare = 0; ///< Highest tail latency as a part of its limit.
};

/// Answers a load in which tasks that fill a runner disturb those that serve, by amounts that change within
/// seconds: down at once, up slowly, so that the serving tasks' limit is missed for a moment at most.
/// @param percent part of their speed that the filling tasks have now.
/// @param tail what the serving tasks see.
/// @return part of their speed from now on, 0 to 100.
///
/// Example: `pace = nextFillerPace(pace, tailOf(report));`
std::int64_t nextFillerPace(std::int64_t percent, const ServingTail& tail);

} // namespace celeryline
