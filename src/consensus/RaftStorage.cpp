#include "celeryline/consensus/RaftStorage.h"

#include "celeryline/base/ByteCodec.h"
#include "celeryline/base/LogInvariant.h"
#include "celeryline/settings/Logging.h"

#include <random>

namespace celeryline {
namespace {

const char* const storageIdFile = "storage-id";
const char* const termFile = "term";

[[noreturn]] void failCorrupt(const std::string& what)
{
    throw Error(ErrorKind::Corrupt, what,
        "move the data folder away and restart, the instance then rejoins with an empty one");
}

TermRecord decodeTerm(const std::string& bytes, const std::string& path)
{
    detail::ByteReader reader(bytes, path);
    TermRecord record;
    record.term = reader.integer<std::uint64_t>();
    record.votedFor.name = reader.text();
    record.votedFor.storageId = reader.text();
    return record;
}

std::string encodeTerm(const TermRecord& record)
{
    std::string bytes;
    detail::appendInteger(bytes, record.term);
    detail::appendString(bytes, record.votedFor.name);
    detail::appendString(bytes, record.votedFor.storageId);
    return bytes;
}

} // namespace

RaftStorage::RaftStorage(FileSystem& files, std::string directory, std::string newStorageId)
    : m_files(files)
    , m_directory(std::move(directory))
    , m_newStorageId(std::move(newStorageId))
    , m_log(files, m_directory)
    , m_snapshots(files, m_directory)
{
}

RecoveredState RaftStorage::open()
{
    m_files.createDirectories(m_directory);
    RecoveredState state;
    state.entries = m_log.load();
    auto termPath = m_directory + "/" + termFile;
    bool hasTerm = m_files.exists(termPath);
    if (hasTerm)
        state.term = decodeTerm(readChecksummedFile(m_files, termPath), termPath);
    auto bytes = m_snapshots.load();
    if (!bytes.empty())
        state.snapshot = decodeSnapshot(bytes, "snapshot in \"" + m_directory + "\"");

    auto idPath = m_directory + "/" + storageIdFile;
    if (m_files.exists(idPath)) {
        state.storageId = readChecksummedFile(m_files, idPath);
        // Without the term file, the replica could vote twice in the same term.
        if (!hasTerm && (!bytes.empty() || !state.entries.empty()))
            failCorrupt("file \"" + termPath + "\" is missing");
    } else {
        // With a new id, the others wouldn't recognise the replica that this log belongs to.
        if (hasTerm || !bytes.empty() || !state.entries.empty())
            failCorrupt("file \"" + idPath + "\" is missing");
        replaceFile(m_files, m_directory, storageIdFile, m_newStorageId);
        state.storageId = m_newStorageId;
    }

    auto snapshotIndex = state.snapshot.index;
    if (!state.entries.empty() && state.entries.front().index > snapshotIndex + 1) {
        failCorrupt("log entries before " + std::to_string(state.entries.front().index) + " are missing in \""
            + m_directory + "\"");
    }
    std::size_t coveredCount = 0;
    while (coveredCount < state.entries.size() && state.entries[coveredCount].index <= snapshotIndex)
        ++coveredCount;
    // A crash can occur after a received snapshot was stored and before the log that it replaces was cleared.
    bool isReplaced = coveredCount > 0
        && (state.entries[coveredCount - 1].index < snapshotIndex
            || state.entries[coveredCount - 1].term != state.snapshot.term);
    if (isReplaced || (state.entries.empty() && m_log.lastIndex() != snapshotIndex)) {
        m_log.clear();
        state.entries.clear();
    } else {
        state.entries.erase(
            state.entries.begin(), state.entries.begin() + static_cast<std::ptrdiff_t>(coveredCount));
    }
    return state;
}

void RaftStorage::persist(const RaftOutput& output)
{
    if (output.term)
        replaceFile(m_files, m_directory, termFile, encodeTerm(*output.term));
    if (output.snapshot != nullptr) {
        m_snapshots.save(output.snapshot->snapshot.index, output.snapshot->bytes);
        m_log.clear();
    }
    if (output.truncateFrom != 0)
        m_log.truncateFrom(output.truncateFrom);
    if (!output.entries.empty()) {
        m_log.append(output.entries);
        m_log.sync();
    }
}

void RaftStorage::saveSnapshot(std::uint64_t index, const std::string& bytes)
{
    m_snapshots.save(index, bytes);
    m_log.compactThrough(index);
}

std::string randomStorageId()
{
    static const char digits[] = "0123456789abcdef";
    std::random_device source;
    std::string id;
    for (int i = 0; i < 4; ++i) {
        auto bits = source();
        for (int j = 0; j < 8; ++j)
            id.push_back(digits[bits >> (4 * j) & 15]);
    }
    return id;
}

} // namespace celeryline
