/// @file
/// Replication progress of a peer.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/RaftMessage.h"

#include <cstdint>

namespace celeryline::detail {

/// The leader's view of another instance's replication progress.
struct ReplicaState {
    ReplicaId id; ///< The storage id is empty until a learner's first reply.
    std::uint64_t matchIndex = 0; ///< Entries up to this one are durable on the replica.
    std::uint64_t nextIndex = 1; ///< Index of the next entry to send.
    bool isProbing = true; ///< Limits the replica to one message in flight until it accepts an Append.
    bool isProbeInFlight = false;
    std::uint64_t sentCommitIndex = 0;
    Millis ackedSendTime { -1 }; ///< Send time of the newest message that the replica replied to.
    Millis replyDelay; ///< Time from the sending of a message until its reply was handled, of the last reply.
    std::uint64_t snapshotIndex = 0; ///< Last entry of the snapshot that is being sent; 0 if there is none.
    std::uint64_t snapshotOffset = 0;
    bool isChunkInFlight = false;
};

} // namespace celeryline::detail
