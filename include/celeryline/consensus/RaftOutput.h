/// @file
/// Actions requested by RaftCore.
#pragma once

#include "celeryline/consensus/RaftMessage.h"
#include "celeryline/consensus/Snapshot.h"
#include "celeryline/consensus/TermRecord.h"
#include "celeryline/storage/LogEntry.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace celeryline {

/// A snapshot received from the leader.
struct ReceivedSnapshot {
    Snapshot snapshot;
    std::string bytes; ///< The snapshot as encoded by the sender.
};

/// Actions requested by RaftCore, to be performed in this order: send the messages, persist the term,
/// snapshot and entries, call RaftCore::persisted(), restore the state machine from a received snapshot,
/// apply the committed entries. Without a received snapshot the committed entries may be applied first, since
/// they are already durable. Messages that depend on data to be persisted are part of a later output.
struct RaftOutput {
    std::vector<RaftMessage> messages;
    std::uint64_t persistId = 0; ///< 0 if there is nothing to persist.
    std::optional<TermRecord> term; ///< To persist.
    std::shared_ptr<const ReceivedSnapshot> snapshot; ///< To persist; replaces the whole log.
    std::uint64_t truncateFrom = 0; ///< First entry to remove from the log before appending; 0 for none.
    std::vector<LogEntry> entries; ///< To append and sync.
    std::vector<LogEntry> committed; ///< To apply; all of them are durable on this replica.
    bool needsSnapshot = false; ///< RaftCore::provideSnapshot() must be called to serve another instance.
};

} // namespace celeryline
