/// @file
/// Identifies one incarnation of a runner.
#pragma once

#include "celeryline/base/Millis.h"

#include <string>
#include <tuple>

namespace celeryline {

/// One incarnation of a runner. A runner keeps its id across a restart, but loses all runs of the earlier
/// incarnation.
struct RunnerIncarnation {
    std::string runner; ///< Id of the runner.
    Millis startTime; ///< Wall time at which it started.
};

inline bool operator==(const RunnerIncarnation& a, const RunnerIncarnation& b)
{
    return std::tie(a.runner, a.startTime) == std::tie(b.runner, b.startTime);
}
inline bool operator!=(const RunnerIncarnation& a, const RunnerIncarnation& b) { return !(a == b); }
inline bool operator<(const RunnerIncarnation& a, const RunnerIncarnation& b)
{
    return std::tie(a.runner, a.startTime) < std::tie(b.runner, b.startTime);
}

} // namespace celeryline
