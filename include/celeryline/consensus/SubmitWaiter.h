/// @file
/// A submitted command whose result is awaited.
#pragma once

#include "celeryline/consensus/CommandResult.h"

namespace celeryline::detail {

/// What has become of a submitted command on this instance.
enum class SubmitState {
    Waiting,
    Refused, ///< Certainly not proposed by this instance.
    Lost, ///< Proposed, but this instance no longer leads or a snapshot replaced the entries; result unknown.
    Applied
};

/// A submitted command whose result is awaited.
struct SubmitWaiter {
    SubmitState state = SubmitState::Waiting;
    bool isProposed = false;
    CommandResult result;
};

} // namespace celeryline::detail
