/// @file
/// The file operations that the storage of the replicated log needs.
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

    /// Writes at the end of the file. The bytes are durable only after sync().
    virtual void append(const std::string& bytes) = 0;

    /// Makes all appended bytes durable.
    virtual void sync() = 0;
};

/// File operations. All methods throw Error of kind Storage that names the file. Creating, renaming and
/// removing a file is durable only after syncDirectory().
class FileSystem {
public:
    virtual ~FileSystem() = default;

    /// @param path a file; it is created if it does not exist.
    /// @param reserveBytes the file may be lengthened by so many zero bytes at a time, ahead of what is
    /// appended; it makes sync() faster, because the file's size changes rarely. After a crash the zero bytes
    /// can be left at its end.
    /// @return the file, positioned at its end.
    virtual std::unique_ptr<AppendFile> openForAppend(const std::string& path, std::uint64_t reserveBytes = 0)
        = 0;

    /// @return the whole content of a file.
    virtual std::string read(const std::string& path) = 0;

    /// @return whether a file exists.
    virtual bool exists(const std::string& path) = 0;

    /// Shortens a file and makes that durable.
    virtual void truncate(const std::string& path, std::uint64_t size) = 0;

    /// Gives a file another name; replaces a file that has this name.
    virtual void rename(const std::string& from, const std::string& to) = 0;

    virtual void remove(const std::string& path) = 0;

    /// @return the names of the files in a directory, sorted.
    virtual std::vector<std::string> list(const std::string& directory) = 0;

    /// Makes the creation, renaming and removal of files in a directory durable.
    virtual void syncDirectory(const std::string& directory) = 0;

    /// Creates a directory and its parents if they do not exist.
    virtual void createDirectories(const std::string& directory) = 0;
};

/// Replaces a file so that after a crash either the old or the new content is there: temporary file, sync,
/// rename, sync of the directory. A checksum precedes the content.
/// @param files the file system.
/// @param directory the directory of the file.
/// @param name the file's name in it.
/// @param content the new content.
void replaceFile(
    FileSystem& files, const std::string& directory, const std::string& name, const std::string& content);

/// Reads a file that replaceFile() wrote.
/// @param files the file system.
/// @param path the file.
/// @return its content.
/// @throws Error of kind Corrupt that names the file if its checksum is wrong.
std::string readReplacedFile(FileSystem& files, const std::string& path);

} // namespace celeryline
