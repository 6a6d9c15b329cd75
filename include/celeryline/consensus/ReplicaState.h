/// @file
/// What a leader knows about another instance.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/RaftMessage.h"

#include <cstdint>

namespace celeryline::detail {

/// What a leader knows about another instance.
struct ReplicaState {
    ReplicaId id; ///< The storage id is empty until a learner's first reply.
    std::uint64_t match = 0; ///< Entries up to this one are durable there.
    std::uint64_t next = 1; ///< Next entry to send.
    bool isProbing = true; ///< One message at a time until an Append was accepted.
    bool isProbeSent = false;
    std::uint64_t commitSent = 0;
    Millis heardSendTime { -1 }; ///< Send time of the newest message that it answered.
    std::uint64_t snapshotIndex = 0; ///< Snapshot that is being sent; 0 for none.
    std::uint64_t snapshotOffset = 0;
    bool isChunkSent = false;
};

} // namespace celeryline::detail
