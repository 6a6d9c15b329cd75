/// @file
/// Durable storage of the replicated log.
#pragma once

#include "celeryline/storage/FileSystem.h"
#include "celeryline/storage/LogEntry.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace celeryline {

/// Durable storage of the replicated log in append-only segment files, each named after the index of its
/// first entry. Each record stores its length, an xxHash64 checksum and the number of bytes of its segment
/// that were synced before it was written. After an Error of kind Storage the object rejects all further
/// changes, because the state on disk is unknown; a restart loads it again.
///
/// A damaged record is treated as a torn write and truncated, unless it is in a segment other than the last
/// or a later record shows that it had been synced. Damage to the last synced batch can't be distinguished
/// from a torn write.
class LogStorage {
public:
    /// @param files file system; must outlive this object.
    /// @param directory existing directory.
    /// @param segmentBytes a new segment is started when the last one reaches this size.
    LogStorage(FileSystem& files, std::string directory, std::uint64_t segmentBytes = 4 << 20);

    /// Reads all entries and truncates a torn write at the end. Must be called once before any other method.
    /// @return the entries, with consecutive indexes.
    /// @throws Error of kind Corrupt that names the file and the remedy if an entry before the end is
    /// damaged.
    std::vector<LogEntry> load();

    /// Appends entries, which are durable only after sync().
    /// @param entries entries with consecutive indexes, starting after the last stored entry if there is one.
    void append(const std::vector<LogEntry>& entries);

    /// Flushes all appended entries to durable storage.
    void sync();

    /// Durably removes all entries from an index on.
    /// @param index index of the first entry to remove.
    void truncateFrom(std::uint64_t index);

    /// Removes segments without entries above an index, except the last segment.
    /// @param index index of the newest entry that is no longer needed.
    void compactThrough(std::uint64_t index);

    /// Removes all entries; the next appended entry may have any index.
    void clear();

    std::uint64_t lastIndex() const;

private:
    struct Segment {
        std::string path;
        std::uint64_t firstIndex = 0;
        std::uint64_t size = 0;
        std::vector<std::uint64_t> offsets; ///< Offset of each entry.
    };

    void loadSegment(Segment& segment, bool isLast, std::vector<LogEntry>& entries);
    void beginSegment(std::uint64_t firstIndex);
    void removeLastSegment();
    void flush(const std::string& bytes);
    template <typename Action> void runUnlessFailed(Action action);

    FileSystem& m_files;
    std::string m_directory;
    std::uint64_t m_segmentBytes;
    std::vector<Segment> m_segments;
    std::unique_ptr<AppendFile> m_file; ///< The last segment; null if it isn't open.
    std::uint64_t m_syncedBytes = 0; ///< Synced bytes of the last segment.
    bool m_directoryChanged = false;
    bool m_failed = false;
};

} // namespace celeryline
