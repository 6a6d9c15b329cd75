/// @file
/// Entry of the replicated log.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace celeryline {

/// Type of a log entry's payload.
enum class LogEntryKind : std::uint8_t {
    Noop = 0, ///< Written by a new leader to commit entries of earlier terms.
    Command = 1, ///< An encoded Command.
    Configuration = 2 ///< An encoded set of voters and learners.
};

/// Entry of the replicated log.
struct LogEntry {
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    LogEntryKind kind = LogEntryKind::Noop;
    Millis time; ///< Wall clock time of the leader, adjusted to never decrease.
    std::string payload;
};

inline bool operator==(const LogEntry& a, const LogEntry& b)
{
    return std::tie(a.index, a.term, a.kind, a.time, a.payload)
        == std::tie(b.index, b.term, b.kind, b.time, b.payload);
}

} // namespace celeryline
