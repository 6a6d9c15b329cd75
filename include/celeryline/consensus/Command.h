/// @file
/// A change to the replicated state, as stored in the log.
#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace celeryline {

/// Which part of the replicated state a command changes.
enum class CommandKind : std::uint8_t {
    Fleet = 0, ///< JSON body, applied by FleetState.
    Ledger = 1 ///< JSON body, applied by ClaimLedger.
};

/// A change to the replicated state. Resending it with the same id is safe.
struct Command {
    CommandKind kind = CommandKind::Fleet;
    std::string id; ///< Unique for each change; a resent command has the same id.
    std::string body; ///< JSON text; its schema depends on the kind.
};

inline bool operator==(const Command& a, const Command& b)
{
    return std::tie(a.kind, a.id, a.body) == std::tie(b.kind, b.id, b.body);
}

} // namespace celeryline
