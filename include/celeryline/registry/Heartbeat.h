/// @file
/// What entry instances tell each other periodically.
#pragma once

#include <cstdint>
#include <string>

namespace celeryline {

/// What entry instances tell each other periodically.
struct Heartbeat {
    std::string name;
    std::string dataCentre;
    std::uint64_t bootEpoch = 0; ///< Differs after each start of the process.
    std::uint64_t appliedRevision = 0;
    std::string leader; ///< The leader as the sender knows it; empty if unknown.
    std::uint64_t deltaSequence = 0; ///< Newest registry delta that the sender has sent.
    bool draining = false; ///< The sender is shutting down.
};

} // namespace celeryline
