#include "celeryline/storage/LogStorage.h"

#include "MemoryFileSystem.h"
#include "TemporaryFolder.h"
#include "celeryline/consensus/RaftStorage.h"
#include "celeryline/storage/DiskFileSystem.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using Catch::Matchers::Contains;
using celeryline::test::MemoryFileSystem;
using celeryline::test::PowerLoss;
using celeryline::test::TemporaryFolder;

namespace {

const char* const segment = "data/log-00000000000000000001";

std::vector<LogEntry> entriesFrom(std::uint64_t first, std::uint64_t count, std::uint64_t term = 1)
{
    std::vector<LogEntry> entries;
    for (auto index = first; index < first + count; ++index) {
        LogEntry entry;
        entry.index = index;
        entry.term = term;
        entry.kind = LogEntryKind::Command;
        entry.time = { static_cast<std::int64_t>(index) };
        entry.payload = "payload of " + std::to_string(index);
        entries.push_back(entry);
    }
    return entries;
}

std::vector<LogEntry> loadFrom(FileSystem& files)
{
    LogStorage log(files, "data");
    return log.load();
}

template <typename Action> Error errorOf(Action action)
{
    try {
        action();
    } catch (const Error& e) {
        return e;
    }
    throw std::runtime_error("no error was thrown");
}

} // namespace

TEST_CASE("A log on the disk is read back, truncated and compacted", "[consensus]")
{
    TemporaryFolder folder;
    DiskFileSystem files;
    auto load = [&](LogStorage& log) { return log.load(); };
    {
        LogStorage log(files, folder.path(), 300);
        CHECK(load(log).empty());
        log.append(entriesFrom(1, 50));
        log.sync();
        log.truncateFrom(21); // Not in the last segment.
        log.append(entriesFrom(21, 10, 2));
        log.sync();
    }
    auto expected = entriesFrom(1, 20);
    auto rest = entriesFrom(21, 10, 2);
    expected.insert(expected.end(), rest.begin(), rest.end());
    LogStorage log(files, folder.path(), 300);
    CHECK(load(log) == expected);
    log.compactThrough(15);
    LogStorage compacted(files, folder.path(), 300);
    auto left = load(compacted);
    REQUIRE(!left.empty());
    CHECK(left.front().index > 1);
    CHECK(left.front().index <= 16);
    CHECK(left.back() == rest.back());
    compacted.clear();
    compacted.append(entriesFrom(100, 1));
    compacted.sync();
    LogStorage restarted(files, folder.path(), 300);
    CHECK(load(restarted) == entriesFrom(100, 1));
}

TEST_CASE("A torn tail is cut off at every length", "[consensus]")
{
    MemoryFileSystem probe;
    LogStorage probed(probe, "data");
    probed.load();
    probed.append(entriesFrom(1, 3));
    auto whole = probe.sizeOf(segment);
    probed.append(entriesFrom(4, 1));
    for (auto size = whole; size < probe.sizeOf(segment); ++size) {
        MemoryFileSystem files;
        LogStorage log(files, "data");
        log.load();
        log.append(entriesFrom(1, 4));
        files.truncate(segment, size);
        LogStorage restarted(files, "data");
        REQUIRE(restarted.load() == entriesFrom(1, 3));
        restarted.append(entriesFrom(4, 2));
        restarted.sync();
        REQUIRE(loadFrom(files) == entriesFrom(1, 5));
    }
}

TEST_CASE("Damage to any byte before the tail is an error that names the file and the remedy", "[consensus]")
{
    MemoryFileSystem files;
    LogStorage log(files, "data");
    log.load();
    log.append(entriesFrom(1, 3));
    log.sync();
    auto synced = files.sizeOf(segment);
    log.append(entriesFrom(4, 1));
    log.sync();
    for (std::size_t offset = 0; offset < synced; ++offset) {
        files.damage(segment, offset);
        auto error = errorOf([&] { loadFrom(files); });
        CHECK(error.kind() == ErrorKind::Corrupt);
        CHECK_THAT(error.what(), Contains(segment) && Contains("move the data folder away"));
        files.damage(segment, offset);
    }
    CHECK(loadFrom(files).size() == 4);
}

TEST_CASE("Damage to a segment that is not the last is an error", "[consensus]")
{
    MemoryFileSystem files;
    LogStorage log(files, "data", 100);
    log.load();
    log.append(entriesFrom(1, 20));
    log.sync();
    files.damage(segment, files.sizeOf(segment) - 1);
    CHECK(errorOf([&] { loadFrom(files); }).kind() == ErrorKind::Corrupt);
    files.damage(segment, files.sizeOf(segment) - 1);
    CHECK(loadFrom(files).size() == 20);
    files.remove("data/" + files.list("data")[1]);
    CHECK(errorOf([&] { loadFrom(files); }).kind() == ErrorKind::Corrupt);
}

// Simulates a power failure at each of the first 40 file operations, with varying outcomes for unsynced data.
TEST_CASE("Synced entries survive a power failure at every step", "[consensus]")
{
    for (std::uint64_t seed = 0; seed < 400; ++seed) {
        INFO("seed " << seed);
        MemoryFileSystem files(seed);
        std::uint64_t synced = 0;
        std::uint64_t kept = 0;
        std::uint64_t written = 0;
        auto log = std::make_unique<LogStorage>(files, "data", 400);
        log->load();
        files.failPowerAfter(seed % 40);
        try {
            for (std::uint64_t batch = 0; batch < 30; ++batch) {
                auto count = 1 + batch % 5;
                written += count;
                log->append(entriesFrom(written - count + 1, count));
                log->sync();
                synced = kept = written;
                if (batch % 4 == 3) {
                    kept = written - 2;
                    log->truncateFrom(kept + 1);
                    written = synced = kept;
                }
            }
        } catch (const PowerLoss&) {
        }
        log.reset();
        files.powerLoss();
        auto found = loadFrom(files);
        REQUIRE(found.size() >= std::min(synced, kept));
        REQUIRE(found.size() <= written);
        REQUIRE(found == entriesFrom(1, found.size()));
    }
}

TEST_CASE("A full disk is an error, after which the log rejects all changes", "[consensus]")
{
    MemoryFileSystem files;
    LogStorage log(files, "data");
    log.load();
    log.append(entriesFrom(1, 3));
    log.sync();
    files.setFreeBytes(70);
    CHECK(errorOf([&] { log.append(entriesFrom(4, 5)); }).kind() == ErrorKind::Storage);
    files.setFreeBytes(1 << 20);
    CHECK(errorOf([&] { log.sync(); }).kind() == ErrorKind::Storage);
    auto found = loadFrom(files);
    CHECK(found == entriesFrom(1, found.size()));
    CHECK(found.size() >= 3);
}

TEST_CASE("One sync serves a whole batch", "[consensus]")
{
    MemoryFileSystem files;
    RaftStorage storage(files, "data", "id");
    storage.open();
    RaftOutput output;
    output.entries = entriesFrom(1, 1);
    storage.persist(output);
    auto before = files.syncs();
    output.entries = entriesFrom(2, 128);
    storage.persist(output);
    CHECK(files.syncs() == before + 1);
}

TEST_CASE("A data folder whose files are damaged or missing is refused", "[consensus]")
{
    MemoryFileSystem files;
    {
        RaftStorage storage(files, "data", "first");
        CHECK(storage.open().storageId == "first");
        RaftOutput output;
        output.term = TermRecord { 7, { "a", "first" } };
        output.entries = entriesFrom(1, 3);
        storage.persist(output);
        storage.saveSnapshot(2, encodeSnapshot({ 2, 1, {}, {}, "state" }));
    }
    auto open = [&] { return RaftStorage(files, "data", "second").open(); };
    auto state = open();
    CHECK(state.storageId == "first");
    CHECK(state.term.term == 7);
    CHECK(state.snapshot.state == "state");
    CHECK(state.entries.size() == 1);
    for (const auto* name : { "term", "storage-id", "snapshot-00000000000000000002" }) {
        auto path = std::string("data/") + name;
        files.damage(path, 10);
        CHECK_THAT(errorOf(open).what(), Contains("data") && Contains("damaged"));
        files.damage(path, 10);
        files.rename(path, "elsewhere/file");
        // Without its snapshot the log starts with the first entry, so a missing snapshot can't be detected.
        if (std::string(name).find("snapshot") == std::string::npos)
            CHECK(errorOf(open).kind() == ErrorKind::Corrupt);
        files.rename("elsewhere/file", path);
    }
    CHECK(open().entries.size() == 1);
}
