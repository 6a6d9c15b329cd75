/// @file
/// Heartbeat message between entry instances.
#pragma once

#include <cstdint>
#include <string>

namespace celeryline {

/// Periodic status message of an entry instance to its peers.
struct Heartbeat {
    std::string name;
    std::string dataCentre;
    std::uint64_t bootEpoch = 0; ///< Differs after each start of the process.
    std::uint64_t appliedRevision = 0;
    std::string leader; ///< The leader as the sender knows it; empty if unknown.
    std::uint64_t deltaSequence = 0; ///< Sequence number of the last registry change that was sent.
    bool draining = false; ///< The sender is shutting down.
};

} // namespace celeryline
