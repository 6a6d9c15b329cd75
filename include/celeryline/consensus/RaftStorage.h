/// @file
/// Everything that one replica of the log keeps on its disk.
#pragma once

#include "celeryline/consensus/RaftOutput.h"
#include "celeryline/consensus/TermRecord.h"
#include "celeryline/storage/LogStorage.h"
#include "celeryline/storage/SnapshotStorage.h"

#include <string>
#include <vector>

namespace celeryline {

/// What a replica finds on its disk when it starts.
struct RecoveredState {
    std::string storageId;
    TermRecord term;
    Snapshot snapshot; ///< Its index is 0 if there is none.
    std::vector<LogEntry> entries; ///< Follow the snapshot without a gap.
};

/// The data folder of a replica: storage id, term and vote, snapshot and log.
class RaftStorage {
public:
    /// @param files the file system; must outlive this object.
    /// @param directory the data folder; it is created if it does not exist.
    /// @param newStorageId the id that an empty folder gets.
    RaftStorage(FileSystem& files, std::string directory, std::string newStorageId);

    /// Reads the folder; must be called once before anything else.
    /// @return its content.
    /// @throws Error of kind Corrupt that names the damaged or missing file and the remedy.
    RecoveredState open();

    /// Makes what RaftCore asked for durable, with one sync of the log. When it returns,
    /// RaftCore::persisted() may be called.
    /// @param output what RaftCore gave.
    void persist(const RaftOutput& output);

    /// Stores a snapshot and drops the log entries that it replaces.
    void saveSnapshot(std::uint64_t index, const std::string& bytes);

    /// @return the bytes of the newest snapshot; empty if there is none.
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
