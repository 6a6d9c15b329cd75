/// @file
/// Durable storage of a replica of the log.
#pragma once

#include "celeryline/consensus/RaftOutput.h"
#include "celeryline/consensus/TermRecord.h"
#include "celeryline/storage/LogStorage.h"
#include "celeryline/storage/SnapshotStorage.h"

#include <string>
#include <vector>

namespace celeryline {

/// The durable state of a replica, as read at startup.
struct RecoveredState {
    std::string storageId;
    TermRecord term;
    Snapshot snapshot; ///< The index is 0 if there is none.
    std::vector<LogEntry> entries; ///< The entries after the snapshot, without gaps.
};

/// The data directory of a replica: storage id, term and vote, snapshot and log.
class RaftStorage {
public:
    /// @param files the file system; must outlive this object.
    /// @param directory the data directory; it is created if it doesn't exist.
    /// @param newStorageId the storage id for an empty directory.
    RaftStorage(FileSystem& files, std::string directory, std::string newStorageId);

    /// Reads the directory; must be called once before any other method.
    /// @return its content.
    /// @throws Error of kind Corrupt that names the corrupt or missing file and a remedy.
    RecoveredState open();

    /// Makes the term, snapshot and entries of an output durable, with one sync of the log. Afterwards
    /// RaftCore::persisted() may be called.
    /// @param output an output of RaftCore.
    void persist(const RaftOutput& output);

    /// Stores a snapshot and removes the log entries that it contains.
    void saveSnapshot(std::uint64_t index, const std::string& bytes);

    /// @return the newest encoded snapshot; empty if there is none.
    std::string loadSnapshot() { return m_snapshots.load(); }

private:
    FileSystem& m_files;
    std::string m_directory;
    std::string m_newStorageId;
    LogStorage m_log;
    SnapshotStorage m_snapshots;
};

/// @return a random storage id of 32 hexadecimal digits.
std::string randomStorageId();

} // namespace celeryline
