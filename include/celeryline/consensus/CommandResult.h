/// @file
/// The result of applying a command to the replicated state.
#pragma once

#include "celeryline/base/ErrorKind.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace celeryline {

/// The outcome of an applied command; identical on every instance that applies it.
struct CommandResult {
    bool accepted = false;
    ErrorKind errorKind = ErrorKind::InvalidInput; ///< Meaningful only if not accepted.
    std::string body; ///< JSON result if accepted, otherwise the error message with a suggested remedy.
    std::uint64_t revision = 0; ///< Fleet revision after the command.
};

inline bool operator==(const CommandResult& a, const CommandResult& b)
{
    return std::tie(a.accepted, a.errorKind, a.body, a.revision)
        == std::tie(b.accepted, b.errorKind, b.body, b.revision);
}

} // namespace celeryline
