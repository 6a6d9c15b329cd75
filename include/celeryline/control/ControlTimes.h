/// @file
/// Timeouts shared by control processes and their callers.
#pragma once

#include "celeryline/base/Millis.h"

namespace celeryline {

/// Minimum election timeout of control processes.
inline constexpr Millis controlElectionTimeout { 500 };

/// Timeout of a call to a control process. Longer than a commit takes on a slow disk; once it has expired,
/// another control process may have become leader.
inline constexpr Millis controlCallTimeout { 800 };

} // namespace celeryline
