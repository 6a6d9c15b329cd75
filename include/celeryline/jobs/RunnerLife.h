/// @file
/// One life of a runner.
#pragma once

#include "celeryline/base/Millis.h"

#include <string>
#include <tuple>

namespace celeryline {

/// One life of a runner. A runner that restarts keeps its id but knows nothing of what it held before.
struct RunnerLife {
    std::string runner; ///< Id of the runner.
    Millis born; ///< Wall time of its start.
};

inline bool operator==(const RunnerLife& a, const RunnerLife& b)
{
    return std::tie(a.runner, a.born) == std::tie(b.runner, b.born);
}
inline bool operator!=(const RunnerLife& a, const RunnerLife& b) { return !(a == b); }
inline bool operator<(const RunnerLife& a, const RunnerLife& b)
{
    return std::tie(a.runner, a.born) < std::tie(b.runner, b.born);
}

} // namespace celeryline
