/// @file
/// Implementation of JobSimulation: replicas, runners and client requests.
#pragma once

#include "JobSimulation.h"

#include <algorithm>
#include <limits>

namespace celeryline::test {
namespace detail {

constexpr std::int64_t answerLimitMs = 1000;
constexpr std::int64_t idleReportMs = 1500;
constexpr std::int64_t reportAfterEndMs = 50;
constexpr std::int64_t restartMs = 300;
constexpr std::uint64_t unlimited = std::numeric_limits<std::uint64_t>::max();
/// Real time per unit of time on a runner's clock, which measures its lease.
constexpr double slowClockFactor = 1.02;

} // namespace detail

/// A control process.
class JobSimulation::Replica final : public ReplicatedStateMachine, public CommandLog {
public:
    Replica(JobSimulation& simulation, int number)
        : m_simulation(simulation)
        , m_name("c" + std::to_string(number))
        , m_files(std::make_unique<MemoryFileSystem>(simulation.m_random()))
    {
    }

    /// Starts the process; a storage error ends it, and it is restarted after restartMs.
    void tryStart()
    {
        try {
            start();
        } catch (const Error& e) {
            if (e.kind() != ErrorKind::Storage)
                throw;
            stop();
            downUntil = m_simulation.m_now + detail::restartMs;
        }
    }

    void start()
    {
        LogDriverOptions options;
        options.directory = "data";
        options.raft.self.name = m_name;
        options.raft.voterTarget = 3;
        options.raft.heartbeat = { 100 };
        options.raft.electionTimeout = { 500 };
        options.raft.seed = m_simulation.m_random();
        options.snapshotEntries = 60;
        options.retainedEntries = 10;
        m_store = std::make_unique<JobStore>();
        m_master
            = std::make_unique<JobMaster>(JobMasterOptions {}, *m_store, *this, [this] { return moment(); });
        m_log = std::make_unique<LogDriver>(options, *m_files, *this, now());
        for (const auto& other : m_simulation.m_replicas)
            m_log->addPeer(other->m_name);
        m_startedTerm = 0;
    }

    void stop()
    {
        // Pending requests end with the JobMaster, like connections of a process that exits.
        m_master.reset();
        m_log.reset();
        m_store.reset();
    }

    bool isUp() const { return m_log != nullptr; }
    bool canAct() const { return isUp() && m_simulation.m_now >= frozenUntil; }

    void step()
    {
        if (m_simulation.m_now >= diskFullUntil)
            m_files->setFreeBytes(detail::unlimited);
        if (!isUp() && m_simulation.m_now >= downUntil)
            tryStart();
        if (!canAct())
            return;
        auto waiting = std::move(inbox);
        inbox.clear();
        for (auto& action : waiting)
            action();
        m_log->tick(now());
        for (int i = 0; i < 4 && m_log->hasWork(); ++i) {
            for (const auto& message : m_log->begin())
                m_simulation.sendRaft(index(), message);
            m_log->applyCommitted();
            m_log->complete(m_log->persist());
            if (m_log->isLeading(now()) && m_startedTerm != m_log->core().term()) {
                m_startedTerm = m_log->core().term();
                m_master->startTerm();
            }
            m_master->tick();
        }
    }

    int index() const { return std::stoi(m_name.substr(1)); }
    bool isLeading() const override
    {
        return canAct() && m_log->isLeading(now()) && m_startedTerm == m_log->core().term();
    }

    std::unique_ptr<MemoryFileSystem>& files() { return m_files; }
    LogDriver& log() { return *m_log; }
    const LogDriver& log() const { return *m_log; }
    JobMaster& master() { return *m_master; }
    const JobStore& store() const { return *m_store; }
    const std::string& name() const { return m_name; }

    std::int64_t downUntil = 0;
    std::int64_t frozenUntil = 0;
    std::int64_t partitionedUntil = 0;
    std::int64_t diskFullUntil = 0;
    std::vector<std::function<void()>> inbox; ///< Messages to process in the next step.

private:
    Millis now() const { return { m_simulation.m_now }; }
    Moment moment() const { return { now(), { m_simulation.m_now + 1000000 } }; }
    std::uint64_t term() const override { return m_log->core().term(); }

    void propose(const std::vector<JobCommand>& commands, std::function<void(bool)> done) override
    {
        std::vector<std::string> payloads;
        for (const auto& command : commands)
            payloads.push_back(encodeJobCommand(command));
        if (!m_log->propose(now(), moment().wall, payloads, done))
            done(false);
    }

    void clear() override
    {
        *m_store = {};
        m_master->onSnapshot();
    }
    void apply(const LogEntry& entry) override
    {
        auto command = decodeJobCommand(entry.payload);
        m_master->onCommitted(command);
        m_store->apply(command, entry.time);
    }
    std::string takeSnapshot() const override { return m_store->takeSnapshot(); }
    void restoreSnapshot(const std::string& bytes) override
    {
        m_store->restoreSnapshot(bytes);
        m_master->onSnapshot();
    }

    JobSimulation& m_simulation;
    std::string m_name;
    std::unique_ptr<MemoryFileSystem> m_files;
    std::unique_ptr<JobStore> m_store;
    std::unique_ptr<LogDriver> m_log;
    std::unique_ptr<JobMaster> m_master;
    std::uint64_t m_startedTerm = 0;
};

/// A simulated runner.
struct JobSimulation::Runner {
    struct Work {
        RunName run;
        std::int64_t endsAt = 0;
    };

    std::string id;
    std::int64_t born = 1;
    std::uint64_t sequence = 0;
    std::uint64_t fence = 0;
    std::uint64_t lastEnd = 0;
    std::vector<Work> work;
    std::vector<ReportedEnd> ended;
    std::map<TaskName, std::uint32_t>
        highestEndedRun; ///< By task; highest run that ended or was stopped here.
    double leaseUntil = 0;
    std::uint64_t lapsedEnds
        = 0; ///< Ends up to this number precede a lapsed lease, so they may be disregarded.
    std::int64_t partitionedUntil = 0;
    std::int64_t nextReport = 0;
    std::uint64_t reportNumber = 0; ///< Number of the pending report.
    bool isReportPending = false;
    std::int64_t reportSentAt = 0;
    int target = 0;

    void end(const RunName& run, RunOutcome outcome)
    {
        ended.push_back({ ++lastEnd, run, outcome, "" });
        auto& highest = highestEndedRun[run.task];
        highest = std::max(highest, run.run);
        work.erase(std::remove_if(work.begin(), work.end(), [&](const Work& w) { return w.run == run; }),
            work.end());
    }
};

/// A client request that is retried until it is accepted.
struct JobSimulation::Submission {
    JobCommand command;
    std::string job; ///< Id of the submitted job; empty for other requests.
    bool isDone = false;
    std::function<void()> onDone {}; ///< Called once when it is confirmed; may be empty.
};

} // namespace celeryline::test
