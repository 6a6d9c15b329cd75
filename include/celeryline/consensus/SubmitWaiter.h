/// @file
/// State of a pending submit.
#pragma once

#include "celeryline/consensus/CommandResult.h"

namespace celeryline::detail {

/// Progress of a submitted command on this instance.
enum class SubmitState {
    Waiting,
    Refused, ///< Definitely not proposed by this instance.
    /// The result is unknown: this instance lost leadership, failed or stopped, or a snapshot replaced the
    /// entries.
    Unknown,
    Applied
};

/// State of a pending submit.
struct SubmitWaiter {
    SubmitState state = SubmitState::Waiting;
    bool isProposed = false;
    CommandResult result;
};

} // namespace celeryline::detail
