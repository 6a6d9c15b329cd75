/// @file
/// Conditions that are checked in release builds too.
#pragma once

#include "celeryline/base/Error.h"

namespace celeryline {

/// Stops a decision whose result would break a guarantee. Decisions have no side effects, so nothing was
/// done.
/// @param holds the condition.
/// @param what the guarantee, for the message.
/// @throws Error of kind Unavailable if the condition doesn't hold.
inline void invariant(bool holds, const char* what)
{
    if (!holds) {
        throw Error(ErrorKind::Unavailable, std::string("invariant broken: ") + what,
            "nothing was done; report this message with the output of: celeryline get instances");
    }
}

} // namespace celeryline
