/// @file
/// File system implementation for the disk.
#pragma once

#include "celeryline/storage/FileSystem.h"

namespace celeryline {

/// File system implementation that uses POSIX calls.
class DiskFileSystem final : public FileSystem {
public:
    std::unique_ptr<AppendFile> openForAppend(
        const std::string& path, std::uint64_t preallocateBytes) override;
    std::string read(const std::string& path) override;
    bool exists(const std::string& path) override;
    void truncate(const std::string& path, std::uint64_t size) override;
    void rename(const std::string& from, const std::string& to) override;
    void remove(const std::string& path) override;
    std::vector<std::string> list(const std::string& directory) override;
    void syncDirectory(const std::string& directory) override;
    void createDirectories(const std::string& directory) override;
};

} // namespace celeryline
