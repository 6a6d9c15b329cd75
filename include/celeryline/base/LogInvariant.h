/// @file
/// Invariant checks of the replicated log. Only a programming error can violate them.
#pragma once

#include <stdexcept>
#include <string>

namespace celeryline {

/// Thrown when an invariant is violated. The module must stop, because continuing could replicate invalid
/// state to other instances.
class InvariantViolation : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/// Checks an invariant, also in release builds.
/// @param holds whether the invariant holds.
/// @param what description of the invariant, used in the error message.
/// @throws InvariantViolation if the invariant is violated.
inline void requireInvariant(bool holds, const char* what)
{
    if (!holds)
        throw InvariantViolation(std::string("invariant broken: ") + what);
}

} // namespace celeryline
