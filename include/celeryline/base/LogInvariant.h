/// @file
/// Checks of conditions of the replicated log that only a fault in the program can break.
#pragma once

#include <stdexcept>
#include <string>

namespace celeryline {

/// Thrown when an invariant does not hold. The module that broke it must stop, because going on could
/// spread a wrong state to other instances.
class InvariantViolation : public std::logic_error {
public:
    using std::logic_error::logic_error;
};

/// Checks an invariant, in release builds too.
/// @param holds the condition.
/// @param what the condition in words, for the message.
/// @throws InvariantViolation if it does not hold.
inline void requireInvariant(bool holds, const char* what)
{
    if (!holds)
        throw InvariantViolation(std::string("invariant broken: ") + what);
}

} // namespace celeryline
