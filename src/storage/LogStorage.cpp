#include "celeryline/storage/LogStorage.h"

#include "celeryline/base/ByteCodec.h"
#include "celeryline/base/LogInvariant.h"
#include "celeryline/settings/Logging.h"
#include "celeryline/storage/SegmentName.h"

#include <xxhash.h>

namespace celeryline {
namespace {

const char* const prefix = "log-";
constexpr std::size_t headerBytes = 12;
constexpr std::size_t minimumBodyBytes = 33;

/// Space for about 2,000 commands, so that only a few syncs change the file size.
constexpr std::uint64_t preallocateBytes = 1 << 20;

void appendRecord(std::string& to, const LogEntry& entry, std::uint64_t syncedBytes)
{
    std::string body;
    body.reserve(minimumBodyBytes + entry.payload.size());
    detail::appendInteger(body, syncedBytes);
    detail::appendInteger(body, entry.index);
    detail::appendInteger(body, entry.term);
    detail::appendInteger(body, static_cast<std::uint8_t>(entry.kind));
    detail::appendInteger(body, entry.time.count);
    body += entry.payload;
    detail::appendInteger(to, static_cast<std::uint32_t>(body.size()));
    // The length is used as the seed, so that the checksum covers it.
    detail::appendInteger(to, static_cast<std::uint64_t>(XXH64(body.data(), body.size(), body.size())));
    to += body;
}

/// @return the size of the record at an offset; 0 if it is incomplete or its checksum is wrong.
std::size_t validRecordSize(const std::string& bytes, std::size_t offset)
{
    if (bytes.size() - offset < headerBytes + minimumBodyBytes)
        return 0;
    detail::ByteReader reader(std::string_view(bytes).substr(offset), "log record");
    auto size = reader.integer<std::uint32_t>();
    auto checksum = reader.integer<std::uint64_t>();
    if (size < minimumBodyBytes || size > bytes.size() - offset - headerBytes)
        return 0;
    return XXH64(bytes.data() + offset + headerBytes, size, size) == checksum ? headerBytes + size : 0;
}

LogEntry decodeRecord(
    const std::string& bytes, std::size_t offset, std::size_t size, std::uint64_t& syncedBytes)
{
    detail::ByteReader reader(
        std::string_view(bytes).substr(offset + headerBytes, size - headerBytes), "log record");
    LogEntry entry;
    syncedBytes = reader.integer<std::uint64_t>();
    entry.index = reader.integer<std::uint64_t>();
    entry.term = reader.integer<std::uint64_t>();
    entry.kind = static_cast<LogEntryKind>(reader.integer<std::uint8_t>());
    entry.time = { reader.integer<std::int64_t>() };
    entry.payload
        = bytes.substr(offset + headerBytes + minimumBodyBytes, size - headerBytes - minimumBodyBytes);
    return entry;
}

/// @return whether a record after a damaged one shows that the damaged bytes had been synced.
bool wasSynced(const std::string& bytes, std::size_t damaged)
{
    for (auto offset = damaged + 1; offset + headerBytes + minimumBodyBytes <= bytes.size(); ++offset) {
        auto size = validRecordSize(bytes, offset);
        std::uint64_t syncedBytes = 0;
        if (size != 0) {
            decodeRecord(bytes, offset, size, syncedBytes);
            if (syncedBytes > damaged)
                return true;
        }
    }
    return false;
}

[[noreturn]] void throwCorrupt(const std::string& path, std::size_t offset, const std::string& what)
{
    throw Error(ErrorKind::Corrupt,
        "log file \"" + path + "\" is damaged at byte " + std::to_string(offset) + ": " + what,
        "move the data folder away and restart, the instance then rejoins with an empty one");
}

} // namespace

LogStorage::LogStorage(FileSystem& files, std::string directory, std::uint64_t segmentBytes)
    : m_files(files)
    , m_directory(std::move(directory))
    , m_segmentBytes(segmentBytes)
{
}

std::vector<LogEntry> LogStorage::load()
{
    std::vector<LogEntry> entries;
    for (const auto& name : m_files.list(m_directory)) {
        if (detail::isNumberedName(prefix, name))
            m_segments.push_back({ m_directory + "/" + name, detail::parseNumber(prefix, name), 0, {} });
    }
    for (auto& segment : m_segments) {
        if (!entries.empty() && segment.firstIndex != entries.back().index + 1)
            throwCorrupt(segment.path, 0, "entries before it are missing");
        loadSegment(segment, &segment == &m_segments.back(), entries);
    }
    // The entries just read may not have been synced before the process stopped.
    if (!m_segments.empty()) {
        m_file = m_files.openForAppend(m_segments.back().path, preallocateBytes);
        m_file->sync();
        m_syncedBytes = m_segments.back().size;
    }
    m_files.syncDirectory(m_directory);
    return entries;
}

void LogStorage::loadSegment(Segment& segment, bool isLast, std::vector<LogEntry>& entries)
{
    auto bytes = m_files.read(segment.path);
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        auto size = validRecordSize(bytes, offset);
        if (size == 0) {
            // Only preallocated zero bytes follow. If zeros replaced records of a segment that is not the
            // last, load() detects the gap before the next segment.
            bool isPreallocated = bytes.find_first_not_of('\0', offset) == std::string::npos;
            if (!isPreallocated) {
                if (!isLast || wasSynced(bytes, offset))
                    throwCorrupt(segment.path, offset, "a record has a wrong checksum");
                LOG4CXX_WARN(logger("storage"),
                    "truncating " << bytes.size() - offset << " bytes of an incomplete write from "
                                  << segment.path);
            }
            m_files.truncate(segment.path, offset);
            break;
        }
        std::uint64_t syncedBytes = 0;
        auto entry = decodeRecord(bytes, offset, size, syncedBytes);
        if (entry.index != segment.firstIndex + segment.offsets.size())
            throwCorrupt(segment.path, offset, "the entries are not consecutive");
        segment.offsets.push_back(offset);
        entries.push_back(std::move(entry));
        offset += size;
    }
    segment.size = offset;
}

template <typename Action> void LogStorage::runUnlessFailed(Action action)
{
    if (m_failed) {
        throw Error(ErrorKind::Storage, "the log in \"" + m_directory + "\" failed earlier",
            "check the disk and restart the instance");
    }
    m_failed = true;
    action();
    m_failed = false;
}

void LogStorage::append(const std::vector<LogEntry>& entries)
{
    runUnlessFailed([&] {
        std::string bytes;
        for (const auto& entry : entries) {
            requireInvariant(
                m_segments.empty() || entry.index == lastIndex() + 1, "log entries are consecutive");
            if (m_segments.empty() || m_segments.back().size >= m_segmentBytes) {
                flush(bytes);
                bytes.clear();
                beginSegment(entry.index);
            }
            auto& segment = m_segments.back();
            auto before = bytes.size();
            appendRecord(bytes, entry, m_syncedBytes);
            segment.offsets.push_back(segment.size);
            segment.size += bytes.size() - before;
        }
        flush(bytes);
    });
}

void LogStorage::flush(const std::string& bytes)
{
    if (bytes.empty())
        return;
    if (m_file == nullptr)
        m_file = m_files.openForAppend(m_segments.back().path, preallocateBytes);
    m_file->append(bytes);
}

void LogStorage::beginSegment(std::uint64_t firstIndex)
{
    // A segment must be complete and durable before the next one is created.
    if (m_file != nullptr)
        m_file->sync();
    m_segments.push_back({ m_directory + "/" + detail::numberedName(prefix, firstIndex), firstIndex, 0, {} });
    m_file = m_files.openForAppend(m_segments.back().path, preallocateBytes);
    m_syncedBytes = 0;
    m_directoryChanged = true;
}

void LogStorage::sync()
{
    runUnlessFailed([&] {
        if (m_file != nullptr)
            m_file->sync();
        if (m_directoryChanged)
            m_files.syncDirectory(m_directory);
        m_directoryChanged = false;
        m_syncedBytes = m_segments.empty() ? 0 : m_segments.back().size;
    });
}

void LogStorage::removeLastSegment()
{
    m_file.reset();
    m_files.remove(m_segments.back().path);
    // Synced after each removal, so that a crash leaves no gap between segments.
    m_files.syncDirectory(m_directory);
    m_segments.pop_back();
}

void LogStorage::truncateFrom(std::uint64_t index)
{
    if (m_segments.empty() || index > lastIndex())
        return;
    runUnlessFailed([&] {
        while (!m_segments.empty() && m_segments.back().firstIndex >= index)
            removeLastSegment();
        if (m_segments.empty())
            return;
        auto& segment = m_segments.back();
        auto keep = index - segment.firstIndex;
        if (keep < segment.offsets.size()) {
            segment.size = segment.offsets[keep];
            segment.offsets.resize(keep);
            m_file.reset();
            m_files.truncate(segment.path, segment.size);
        }
        m_file = m_files.openForAppend(segment.path, preallocateBytes);
        m_syncedBytes = segment.size;
    });
}

void LogStorage::compactThrough(std::uint64_t index)
{
    runUnlessFailed([&] {
        // The last segment is kept, because it determines the index of the next entry.
        while (m_segments.size() > 1 && m_segments[1].firstIndex <= index + 1) {
            m_files.remove(m_segments.front().path);
            m_segments.erase(m_segments.begin());
            m_files.syncDirectory(m_directory);
        }
    });
}

void LogStorage::clear()
{
    runUnlessFailed([&] {
        while (!m_segments.empty())
            removeLastSegment();
        m_syncedBytes = 0;
    });
}

std::uint64_t LogStorage::lastIndex() const
{
    return m_segments.empty() ? 0 : m_segments.back().firstIndex + m_segments.back().offsets.size() - 1;
}

} // namespace celeryline
