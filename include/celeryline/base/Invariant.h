/// @file
/// Runtime checks of invariants, also enabled in release builds.
#pragma once

#include "celeryline/base/Error.h"

namespace celeryline {

/// Aborts a decision whose result would violate a guarantee. Decisions have no side effects, so aborting one
/// leaves the state unchanged.
/// @param holds whether the guarantee is kept.
/// @param what the guarantee, used in the error message.
/// @throws Error of kind Unavailable if the guarantee is violated.
inline void invariant(bool holds, const char* what)
{
    if (!holds) {
        throw Error(ErrorKind::Unavailable, std::string("invariant broken: ") + what,
            "nothing was done; report this message with the output of: celeryline get instances");
    }
}

} // namespace celeryline
