/// @file
/// The durable log.
#pragma once

#include "celeryline/storage/FileSystem.h"
#include "celeryline/storage/LogEntry.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace celeryline {

/// The durable log: append-only segment files named by the index of their first entry. Each record has a
/// length, an xxHash64 checksum and the number of bytes of its segment that were synced before it was
/// written. After an Error of kind Storage the object refuses every further change, because it isn't known
/// what the disk holds; a restart reads it again.
///
/// A damaged record is taken as the torn end of an unsynced write, and cut off, unless it lies in a segment
/// that is not the last, or a later record states that it had been synced. Damage to the last synced batch
/// can't be told from a torn write.
class LogStorage {
public:
    /// @param files the file system; must outlive this object.
    /// @param directory an existing directory.
    /// @param segmentBytes a new segment is begun when the newest one has this size.
    LogStorage(FileSystem& files, std::string directory, std::uint64_t segmentBytes = 4 << 20);

    /// Reads all entries; must be called once before anything else. Cuts off a torn tail.
    /// @return the entries, with consecutive indexes.
    /// @throws Error of kind Corrupt that names the file and the remedy if an entry before the tail is
    /// damaged.
    std::vector<LogEntry> load();

    /// Writes entries; they are durable after sync().
    /// @param entries entries with consecutive indexes that follow the last one, if there is one.
    void append(const std::vector<LogEntry>& entries);

    /// Makes all appended entries durable.
    void sync();

    /// Removes a suffix durably.
    /// @param index first entry to remove.
    void truncateFrom(std::uint64_t index);

    /// Removes the segments that hold no entry above an index.
    /// @param index newest entry that isn't needed any more.
    void compactThrough(std::uint64_t index);

    /// Removes all entries; the next one appended may have any index.
    void clear();

    std::uint64_t lastIndex() const;

private:
    struct Segment {
        std::string path;
        std::uint64_t firstIndex = 0;
        std::uint64_t size = 0;
        std::vector<std::uint64_t> offsets; ///< Of each entry.
    };

    void loadSegment(Segment& segment, bool isLast, std::vector<LogEntry>& entries);
    void beginSegment(std::uint64_t firstIndex);
    void removeLastSegment();
    void flush(const std::string& bytes);
    template <typename Action> void guarded(Action action);

    FileSystem& m_files;
    std::string m_directory;
    std::uint64_t m_segmentBytes;
    std::vector<Segment> m_segments;
    std::unique_ptr<AppendFile> m_file; ///< Open for the last segment; null if it must be opened first.
    std::uint64_t m_syncedBytes = 0; ///< Of the last segment.
    bool m_directoryChanged = false;
    bool m_failed = false;
};

} // namespace celeryline
