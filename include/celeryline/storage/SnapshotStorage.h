/// @file
/// Durable snapshots.
#pragma once

#include "celeryline/storage/FileSystem.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// Keeps the newest snapshot in a directory. A crash at any moment leaves a whole snapshot.
class SnapshotStorage {
public:
    /// @param files the file system; must outlive this object.
    /// @param directory an existing directory.
    SnapshotStorage(FileSystem& files, std::string directory);

    /// Stores a snapshot durably and removes older ones.
    /// @param index last entry that it contains.
    /// @param bytes what encodeSnapshot() gave.
    void save(std::uint64_t index, const std::string& bytes);

    /// @return the bytes of the newest snapshot; empty if there is none.
    /// @throws Error of kind Corrupt that names the file if it is damaged.
    std::string load();

private:
    FileSystem& m_files;
    std::string m_directory;
};

} // namespace celeryline
