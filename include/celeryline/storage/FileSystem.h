/// @file
/// File system interface used by the storage of the replicated log.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace celeryline {

/// A file that is open for appending.
class AppendFile {
public:
    virtual ~AppendFile() = default;

    /// Appends bytes to the file. They are durable only after sync().
    virtual void append(const std::string& bytes) = 0;

    /// Flushes all appended bytes to durable storage.
    virtual void sync() = 0;
};

/// File operations. All methods throw an Error of kind Storage that names the file. Creating, renaming or
/// removing a file becomes durable only after syncDirectory().
class FileSystem {
public:
    virtual ~FileSystem() = default;

    /// @param path file to open; created if it does not exist.
    /// @param preallocateBytes the file may be extended by this many zero bytes at a time, ahead of the
    /// appended data. This makes sync() faster, because the file size changes less often. After a crash, the
    /// zero bytes can remain at the end of the file.
    /// @return the file, positioned at its end.
    virtual std::unique_ptr<AppendFile> openForAppend(
        const std::string& path, std::uint64_t preallocateBytes = 0)
        = 0;

    virtual std::string read(const std::string& path) = 0;

    virtual bool exists(const std::string& path) = 0;

    /// Truncates a file durably.
    virtual void truncate(const std::string& path, std::uint64_t size) = 0;

    /// Renames a file; an existing file with the new name is replaced.
    virtual void rename(const std::string& from, const std::string& to) = 0;

    virtual void remove(const std::string& path) = 0;

    /// @return the names of the files in a directory, sorted.
    virtual std::vector<std::string> list(const std::string& directory) = 0;

    /// Makes creations, renames and removals of files in a directory durable.
    virtual void syncDirectory(const std::string& directory) = 0;

    /// Creates a directory and its parents if they do not exist.
    virtual void createDirectories(const std::string& directory) = 0;
};

/// Replaces a file atomically, so that after a crash it has either the old or the new content: writes and
/// syncs a temporary file, renames it and syncs the directory. The content is prefixed with a checksum.
/// @param directory directory of the file.
/// @param name name of the file in this directory.
/// @param content new content.
void replaceFile(
    FileSystem& files, const std::string& directory, const std::string& name, const std::string& content);

/// Reads a file written by replaceFile() and verifies its checksum.
/// @return the content without the checksum.
/// @throws Error of kind Corrupt that names the file if the checksum doesn't match.
std::string readChecksummedFile(FileSystem& files, const std::string& path);

} // namespace celeryline
