/// @file
/// In-memory file system with fault injection.
#pragma once

#include "celeryline/base/Error.h"
#include "celeryline/storage/FileSystem.h"

#include <chrono>
#include <limits>
#include <map>
#include <random>
#include <thread>

namespace celeryline::test {

/// Thrown by the operation during which a simulated power failure occurs. Not an Error, so that the code
/// under test doesn't handle it.
struct PowerLoss { };

/// In-memory file system with fault injection. powerLoss() drops unsynced data, tears the last write and
/// reverts unsynced directory changes. The disk can also run out of space or be lost.
class MemoryFileSystem final : public FileSystem {
public:
    explicit MemoryFileSystem(std::uint64_t seed = 0)
        : m_random(seed)
    {
    }

    /// Simulates a power failure after this many further operations.
    void failPowerAfter(std::uint64_t operations) { m_operationsLeft = operations; }

    /// @param bytes number of bytes that can still be written; further writes fail as on a full disk.
    void setFreeBytes(std::uint64_t bytes) { m_freeBytes = bytes; }

    /// Makes each file sync block for this time.
    void setSyncTime(std::chrono::milliseconds time) { m_syncTime = time; }

    /// Changes the content to what a real disk could hold after a power failure.
    void powerLoss()
    {
        m_operationsLeft = std::numeric_limits<std::uint64_t>::max();
        for (auto& [directory, isChanged] : m_changedDirectories) {
            // Unsynced directory changes may or may not have reached the disk.
            if (isChanged && chance(2))
                syncEntries(directory);
        }
        m_changedDirectories.clear();
        m_visible = m_durable;
        for (auto& [path, file] : m_visible) {
            auto unsynced = file->content.substr(file->syncedBytes);
            unsynced.resize(randomBelow(unsynced.size() + 1));
            // Blocks reach the disk in any order, so part of the remaining data can be missing.
            if (unsynced.size() > 1 && chance(2)) {
                auto start = randomBelow(unsynced.size());
                auto size = randomBelow(unsynced.size() - start) + 1;
                unsynced.replace(start, size, size, '\0');
            }
            file->content.resize(file->syncedBytes);
            file->content += unsynced;
            if (file->mayEndInZeros && chance(2))
                file->content.append(randomBelow(200), '\0');
            file->syncedBytes = file->content.size();
        }
    }

    /// Replaces the disk with an empty one.
    void loseDisk()
    {
        m_visible.clear();
        m_durable.clear();
        m_changedDirectories.clear();
    }

    /// Flips one bit of a file; a second call restores it.
    void damage(const std::string& path, std::size_t offset)
    {
        m_visible.at(path)->content.at(offset) = static_cast<char>(m_visible.at(path)->content[offset] ^ 1);
    }

    std::size_t sizeOf(const std::string& path) { return m_visible.at(path)->content.size(); }
    std::uint64_t syncs() const { return m_syncs; }

    std::unique_ptr<AppendFile> openForAppend(
        const std::string& path, std::uint64_t preallocateBytes) override
    {
        countOperation();
        auto& file = m_visible[path];
        if (file == nullptr) {
            file = std::make_shared<File>();
            m_changedDirectories[directoryOf(path)] = true;
        }
        file->mayEndInZeros = preallocateBytes != 0;
        return std::make_unique<Handle>(*this, file, path);
    }
    std::string read(const std::string& path) override { return find(path)->content; }
    bool exists(const std::string& path) override { return m_visible.count(path) != 0; }
    void truncate(const std::string& path, std::uint64_t size) override
    {
        countOperation();
        auto file = find(path);
        file->content.resize(size);
        file->syncedBytes = size;
    }
    void rename(const std::string& from, const std::string& to) override
    {
        countOperation();
        auto file = find(from);
        m_visible.erase(from);
        m_visible[to] = file;
        m_changedDirectories[directoryOf(to)] = true;
    }
    void remove(const std::string& path) override
    {
        countOperation();
        find(path);
        m_visible.erase(path);
        m_changedDirectories[directoryOf(path)] = true;
    }
    std::vector<std::string> list(const std::string& directory) override
    {
        std::vector<std::string> names;
        for (const auto& [path, file] : m_visible) {
            if (directoryOf(path) == directory)
                names.push_back(path.substr(directory.size() + 1));
        }
        return names;
    }
    void syncDirectory(const std::string& directory) override
    {
        countOperation();
        ++m_syncs;
        syncEntries(directory);
        m_changedDirectories[directory] = false;
    }
    void createDirectories(const std::string&) override { countOperation(); }

private:
    struct File {
        std::string content;
        std::size_t syncedBytes = 0;
        bool mayEndInZeros = false;
    };
    using Names = std::map<std::string, std::shared_ptr<File>>;

    class Handle final : public AppendFile {
    public:
        Handle(MemoryFileSystem& files, std::shared_ptr<File> file, std::string path)
            : m_files(files)
            , m_file(std::move(file))
            , m_path(std::move(path))
        {
        }
        void append(const std::string& bytes) override
        {
            auto written = std::min<std::uint64_t>(bytes.size(), m_files.m_freeBytes);
            m_file->content.append(bytes, 0, written);
            m_files.m_freeBytes -= written;
            m_files.countOperation();
            if (written < bytes.size())
                throw Error(ErrorKind::Storage, "writing \"" + m_path + "\" failed: no space", "free space");
        }
        void sync() override
        {
            m_files.countOperation();
            ++m_files.m_syncs;
            std::this_thread::sleep_for(m_files.m_syncTime);
            m_file->syncedBytes = m_file->content.size();
        }

    private:
        MemoryFileSystem& m_files;
        std::shared_ptr<File> m_file;
        std::string m_path;
    };

    static std::string directoryOf(const std::string& path) { return path.substr(0, path.rfind('/')); }

    std::shared_ptr<File> find(const std::string& path)
    {
        auto found = m_visible.find(path);
        if (found == m_visible.end())
            throw Error(ErrorKind::Storage, "file \"" + path + "\" does not exist", "create it");
        return found->second;
    }

    void countOperation()
    {
        if (m_operationsLeft == 0)
            throw PowerLoss {};
        --m_operationsLeft;
    }

    void syncEntries(const std::string& directory)
    {
        for (auto file = m_durable.begin(); file != m_durable.end();)
            file = directoryOf(file->first) == directory ? m_durable.erase(file) : std::next(file);
        for (const auto& [path, file] : m_visible) {
            if (directoryOf(path) == directory)
                m_durable[path] = file;
        }
    }

    std::uint64_t randomBelow(std::uint64_t limit) { return m_random() % limit; }
    bool chance(std::uint64_t oneIn) { return randomBelow(oneIn) == 0; }

    std::mt19937_64 m_random;
    Names m_visible;
    Names m_durable;
    std::map<std::string, bool> m_changedDirectories;
    std::uint64_t m_operationsLeft = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t m_freeBytes = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t m_syncs = 0;
    std::chrono::milliseconds m_syncTime { 0 };
};

} // namespace celeryline::test
