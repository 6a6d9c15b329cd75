/// @file
/// A message between two instances' consensus modules.
#pragma once

#include "celeryline/storage/LogEntry.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace celeryline {

/// The kinds of consensus messages.
enum class RaftMessageKind : std::uint8_t {
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Snapshot,
    SnapshotReply,
    TransferLeadership ///< Tells the receiver to start an election at once.
};

/// A replica of the log: an instance together with the identity of its data folder. An instance that lost
/// its disk comes back with another storage id and is therefore another replica.
struct ReplicaId {
    std::string name;
    std::string storageId;
};

inline bool operator==(const ReplicaId& a, const ReplicaId& b)
{
    return std::tie(a.name, a.storageId) == std::tie(b.name, b.storageId);
}
inline bool operator!=(const ReplicaId& a, const ReplicaId& b) { return !(a == b); }
inline bool operator<(const ReplicaId& a, const ReplicaId& b)
{
    return std::tie(a.name, a.storageId) < std::tie(b.name, b.storageId);
}

/// A message between two instances' consensus modules. Which fields are used depends on the kind.
struct RaftMessage {
    RaftMessageKind kind = RaftMessageKind::Append;
    ReplicaId from;
    ReplicaId to; ///< The storage id may be empty if the sender doesn't know it.
    std::uint64_t term = 0;
    std::uint64_t logIndex = 0; ///< Previous entry (Append), last entry (votes), match or hint (replies).
    std::uint64_t logTerm = 0;
    std::uint64_t commitIndex = 0;
    bool rejected = false;
    std::uint64_t sequence = 0; ///< Echoed in replies; measures the leader lease from the send time.
    std::vector<LogEntry> entries;
    std::string snapshotChunk;
    std::uint64_t snapshotOffset = 0;
    bool snapshotEnd = false;
};

} // namespace celeryline
