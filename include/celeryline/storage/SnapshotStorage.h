/// @file
/// Durable storage of snapshots.
#pragma once

#include "celeryline/storage/FileSystem.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// Stores the newest snapshot in a directory. A crash at any point leaves a complete snapshot.
class SnapshotStorage {
public:
    /// @param files file system; must outlive this object.
    /// @param directory existing directory.
    SnapshotStorage(FileSystem& files, std::string directory);

    /// Stores a snapshot durably and removes older snapshots.
    /// @param index index of the last entry included in the snapshot.
    /// @param bytes result of encodeSnapshot().
    void save(std::uint64_t index, const std::string& bytes);

    /// @return the bytes of the newest snapshot; empty if there is none.
    /// @throws Error of kind Corrupt that names the file if it is damaged.
    std::string load();

private:
    FileSystem& m_files;
    std::string m_directory;
};

} // namespace celeryline
