/// @file
/// Times that control processes and those that call them agree on.
#pragma once

#include "celeryline/base/Millis.h"

namespace celeryline {

/// Minimum of the election timeouts of control processes.
inline constexpr Millis controlElectionTimeout { 500 };

/// How long a control process has to answer a call that was passed on to it. Longer than a commit takes on a
/// slow disk; after it, another control process may lead.
inline constexpr Millis controlCallTimeout { 800 };

} // namespace celeryline
