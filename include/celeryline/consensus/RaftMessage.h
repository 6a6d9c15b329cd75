/// @file
/// Messages of the Raft protocol.
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
    TransferLeadership ///< Requests an immediate election by the receiver.
};

/// Identifies a replica of the log by instance name and data directory. An instance that lost its disk
/// returns with a new storage id and is therefore a different replica.
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

/// A message of the Raft protocol. The kind determines which fields are used.
struct RaftMessage {
    RaftMessageKind kind = RaftMessageKind::Append;
    ReplicaId from;
    ReplicaId to; ///< The storage id is empty if the sender doesn't know it.
    std::uint64_t term = 0;
    std::uint64_t logIndex = 0; ///< Previous entry (Append), last entry (votes), match or hint (replies).
    std::uint64_t logTerm = 0;
    std::uint64_t commitIndex = 0;
    bool rejected = false;
    std::uint64_t sequence = 0; ///< Send time, echoed in replies to measure the leader lease.
    std::vector<LogEntry> entries;
    std::string snapshotChunk;
    std::uint64_t snapshotOffset = 0;
    bool snapshotEnd = false;
};

} // namespace celeryline
