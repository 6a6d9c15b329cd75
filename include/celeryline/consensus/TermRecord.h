/// @file
/// The term and vote of a replica.
#pragma once

#include "celeryline/consensus/RaftMessage.h"

#include <cstdint>

namespace celeryline {

/// The term and vote of a replica; must be durable before anything that depends on it is sent.
struct TermRecord {
    std::uint64_t term = 0;
    ReplicaId votedFor; ///< Empty if it hasn't voted in this term.
};

} // namespace celeryline
