// Durable commits per second of the log and of SQLite on the same disk, and restart from a snapshot.
#include "celeryline/consensus/ReplicatedLog.h"
#include "celeryline/storage/DiskFileSystem.h"
#include "celeryline/storage/LogStorage.h"

#include <benchmark/benchmark.h>
#include <sqlite3.h>

#include <filesystem>
#include <stdexcept>
#include <thread>

namespace {

using namespace celeryline;

/// Size of a typical encoded command, such as a label change or a claim.
constexpr std::size_t payloadBytes = 300;

/// Creates an empty directory below the working directory. Run the benchmark in the build directory.
std::string emptyFolder(const std::string& name)
{
    auto path = std::filesystem::current_path() / "bench-data" / name;
    std::filesystem::remove_all(path);
    std::filesystem::create_directories(path);
    return path.string();
}

void logCommits(benchmark::State& state)
{
    DiskFileSystem files;
    LogStorage log(files, emptyFolder("log"));
    log.load();
    std::uint64_t index = 0;
    for (auto _ : state) {
        std::vector<LogEntry> batch;
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            LogEntry entry;
            entry.index = ++index;
            entry.term = 1;
            entry.kind = LogEntryKind::Command;
            entry.payload.assign(payloadBytes, 'x');
            batch.push_back(std::move(entry));
        }
        log.append(batch);
        log.sync();
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(logCommits)->Arg(1)->Arg(16)->Arg(128)->UseRealTime()->MinTime(2);

void require(int code, sqlite3* database)
{
    if (code != SQLITE_OK && code != SQLITE_DONE && code != SQLITE_ROW)
        throw std::runtime_error(sqlite3_errmsg(database));
}

void sqliteCommits(benchmark::State& state)
{
    sqlite3* database = nullptr;
    auto path = emptyFolder("sqlite") + "/log.db";
    require(sqlite3_open(path.c_str(), &database), database);
    auto execute = [&](const char* text) {
        require(sqlite3_exec(database, text, nullptr, nullptr, nullptr), database);
    };
    // The fastest journal mode in which a commit is durable when it returns.
    execute("PRAGMA journal_mode=WAL");
    execute("PRAGMA synchronous=FULL");
    execute("CREATE TABLE log (id INTEGER PRIMARY KEY, term INTEGER, payload BLOB)");
    sqlite3_stmt* insert = nullptr;
    require(
        sqlite3_prepare_v2(database, "INSERT INTO log (term, payload) VALUES (1, ?)", -1, &insert, nullptr),
        database);
    std::string payload(payloadBytes, 'x');
    for (auto _ : state) {
        execute("BEGIN");
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            require(
                sqlite3_bind_blob(insert, 1, payload.data(), static_cast<int>(payload.size()), SQLITE_STATIC),
                database);
            require(sqlite3_step(insert), database);
            require(sqlite3_reset(insert), database);
        }
        execute("COMMIT");
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
    sqlite3_finalize(insert);
    sqlite3_close(database);
}
BENCHMARK(sqliteCommits)->Arg(1)->Arg(16)->Arg(128)->UseRealTime()->MinTime(2);

/// State machine that concatenates all command bodies.
class TextState final : public StateMachine {
public:
    CommandResult apply(std::uint64_t index, Millis, const Command& command) override
    {
        m_text += command.body;
        m_revision = index;
        return { true, ErrorKind::InvalidInput, "", m_revision };
    }
    std::string takeSnapshot() const override { return m_text; }
    void restoreSnapshot(const std::string& bytes) override { m_text = bytes; }
    std::uint64_t revision() const override { return m_revision; }

private:
    std::string m_text;
    std::uint64_t m_revision = 0;
};

Settings singleVoter(const std::string& folder)
{
    auto settings = parseSettings(R"({"name":"a","dataCentre":"dc1"})", "bench");
    settings.dataDir = folder;
    settings.voters = { "a" };
    return settings;
}

/// Measures the time from start() until a command is accepted, with a log of 10,000 commands.
void restartAfter10000(benchmark::State& state)
{
    auto settings = singleVoter(emptyFolder("restart"));
    SystemClock clock;
    DiskFileSystem files;
    {
        TextState content;
        ReplicatedLog log(settings, clock, files, nullptr, content);
        log.start();
        std::vector<std::thread> threads;
        for (int t = 0; t < 100; ++t) {
            threads.emplace_back([&log, t] {
                for (int i = 0; i < 100; ++i) {
                    log.submit(
                        { CommandKind::Fleet, std::to_string(t * 100 + i), std::string(payloadBytes, 'x') },
                        { 60000 });
                }
            });
        }
        for (auto& thread : threads)
            thread.join();
        log.stop();
    }
    for (auto _ : state) {
        TextState content;
        ReplicatedLog log(settings, clock, files, nullptr, content);
        log.start();
        log.submit({ CommandKind::Fleet, "probe", "" }, { 5000 });
        state.PauseTiming();
        log.stop();
        state.ResumeTiming();
    }
}
BENCHMARK(restartAfter10000)->UseRealTime()->Unit(benchmark::kMillisecond)->Iterations(20);

/// Measures commands per second through a ReplicatedLog with one voter; range(0) is the number of threads.
void singleVoterSubmits(benchmark::State& state)
{
    auto settings = singleVoter(emptyFolder("submits"));
    SystemClock clock;
    DiskFileSystem files;
    TextState content;
    ReplicatedLog log(settings, clock, files, nullptr, content);
    log.start();
    auto count = static_cast<int>(state.range(0));
    constexpr int perThread = 50;
    std::int64_t round = 0;
    for (auto _ : state) {
        std::vector<std::thread> threads;
        for (int t = 0; t < count; ++t) {
            threads.emplace_back([&log, t, round] {
                for (int i = 0; i < perThread; ++i) {
                    auto id = std::to_string(round) + "-" + std::to_string(t) + "-" + std::to_string(i);
                    log.submit({ CommandKind::Fleet, id, "x" }, { 60000 });
                }
            });
        }
        for (auto& thread : threads)
            thread.join();
        ++round;
    }
    state.SetItemsProcessed(state.iterations() * count * perThread);
}
BENCHMARK(singleVoterSubmits)->Arg(1)->Arg(16)->Arg(128)->UseRealTime()->MinTime(1);

} // namespace
