/// @file
/// The current term and vote of a replica.
#pragma once

#include "celeryline/consensus/RaftMessage.h"

#include <cstdint>

namespace celeryline {

/// The current term and vote of a replica. Must be durable before any message that depends on it is sent.
struct TermRecord {
    std::uint64_t term = 0;
    ReplicaId votedFor; ///< Empty if the replica hasn't voted in this term.
};

} // namespace celeryline
