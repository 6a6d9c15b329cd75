#include "JobSimulation.h"

#include "celeryline/base/Invariant.h"
#include "celeryline/consensus/LogFormation.h"

#include <algorithm>
#include <limits>
#include <sstream>
#include <stdexcept>

namespace celeryline::test {
namespace {

constexpr std::int64_t stepMs = 5;
constexpr std::int64_t answerLimitMs = 1000;
constexpr std::int64_t idleReportMs = 1500;
constexpr std::int64_t afterEndMs = 50;
constexpr std::int64_t restartMs = 300;
constexpr std::uint64_t unlimited = std::numeric_limits<std::uint64_t>::max();
/// Of runners' clocks, which measure leases.
constexpr double slowClock = 1.02;

[[noreturn]] void fail(const std::string& what) { throw std::runtime_error(what); }

std::string textOf(const TaskName& task)
{
    return task.job + "." + std::to_string(task.step) + "." + std::to_string(task.index);
}

} // namespace

/// One control process.
class JobSimulation::Replica final : public ReplicatedMachine, public CommandLog {
public:
    Replica(JobSimulation& world, int number)
        : m_world(world)
        , m_name("c" + std::to_string(number))
        , m_files(std::make_unique<MemoryFileSystem>(world.m_random()))
    {
    }

    /// A process whose disk fails at its start ends, and is started again.
    void tryStart()
    {
        try {
            start();
        } catch (const Error& e) {
            if (e.kind() != ErrorKind::Storage)
                throw;
            stop();
            downUntil = m_world.m_now + restartMs;
        }
    }

    void start()
    {
        LogDriverOptions options;
        options.directory = "data";
        options.raft.self.name = m_name;
        options.raft.voterTarget = 3;
        options.raft.voterGoneAfter = { 6000 };
        options.raft.heartbeat = { 100 };
        options.raft.electionTimeout = { 500 };
        options.raft.seed = m_world.m_random();
        options.snapshotEntries = 60;
        options.keptEntries = 10;
        m_store = std::make_unique<JobStore>();
        m_log = std::make_unique<LogDriver>(options, *m_files, *this, now());
        for (const auto& other : m_world.m_replicas)
            m_log->addPeer(other->m_name);
        m_master
            = std::make_unique<JobMaster>(JobMasterOptions {}, *m_store, *this, [this] { return moment(); });
        m_startedTerm = 0;
    }

    void stop()
    {
        // Callers that wait see their connections end.
        m_master.reset();
        m_log.reset();
        m_store.reset();
    }

    bool isUp() const { return m_log != nullptr; }
    bool canAct() const { return isUp() && m_world.m_now >= frozenUntil; }

    void step()
    {
        if (m_world.m_now >= diskFullUntil)
            m_files->setFreeBytes(unlimited);
        if (!isUp() && m_world.m_now >= downUntil)
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
                m_world.sendRaft(index(), message);
            m_log->finish();
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
    std::int64_t cutUntil = 0;
    std::int64_t diskFullUntil = 0;
    std::vector<std::function<void()>> inbox; ///< What reached it while it stood still, and since.

private:
    Millis now() const { return { m_world.m_now }; }
    Moment moment() const { return { now(), { m_world.m_now + 1000000 } }; }
    std::uint64_t term() const override { return m_log->core().term(); }

    void propose(const std::vector<JobCommand>& commands, std::function<void(bool)> done) override
    {
        std::vector<std::string> payloads;
        for (const auto& command : commands)
            payloads.push_back(encodeJobCommand(command));
        if (!m_log->propose(now(), moment().wall, payloads, done))
            done(false);
    }

    void clear() override { *m_store = {}; }
    void apply(const LogEntry& entry) override
    {
        m_store->apply(decodeJobCommand(entry.payload), entry.time);
    }
    std::string takeSnapshot() const override { return m_store->takeSnapshot(); }
    void restoreSnapshot(const std::string& bytes) override { m_store->restoreSnapshot(bytes); }

    JobSimulation& m_world;
    std::string m_name;
    std::unique_ptr<MemoryFileSystem> m_files;
    std::unique_ptr<JobStore> m_store;
    std::unique_ptr<LogDriver> m_log;
    std::unique_ptr<JobMaster> m_master;
    std::uint64_t m_startedTerm = 0;
};

/// One runner.
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
    std::map<TaskName, std::uint32_t> highestOver; ///< Highest run of a task that ended or was stopped here.
    double leaseUntil = 0;
    std::uint64_t lapsedEnds = 0; ///< Ends up to this number came before a lease lapsed; they may not count.
    std::int64_t cutUntil = 0;
    std::int64_t nextReport = 0;
    std::uint64_t reportNumber = 0; ///< Of the report under way.
    bool isReporting = false;
    std::int64_t reportSentAt = 0;
    int target = 0;

    void end(const RunName& run, RunEnd how)
    {
        ended.push_back({ ++lastEnd, run, how, "" });
        auto& highest = highestOver[run.task];
        highest = std::max(highest, run.run);
        work.erase(std::remove_if(work.begin(), work.end(), [&](const Work& w) { return w.run == run; }),
            work.end());
    }
};

/// A request on its way in.
struct JobSimulation::Submission {
    JobCommand command;
    std::string job; ///< Id of a job that is submitted; empty for another request.
    bool isDone = false;
};

JobSimulation::JobSimulation(std::uint64_t seed, int replicas, int runners)
    : m_random(seed)
{
    for (int i = 0; i < replicas; ++i)
        m_replicas.push_back(std::make_unique<Replica>(*this, i));
    VoterConfiguration founders;
    for (auto& replica : m_replicas) {
        replica->start();
        if (founders.voters.size() < 3)
            founders.voters.push_back(replica->log().self());
    }
    auto entry = firstEntry(founders);
    for (auto& replica : m_replicas)
        replica->log().form(entry);
    for (int i = 0; i < runners; ++i) {
        m_runners.push_back(std::make_unique<Runner>());
        m_runners.back()->id = "r" + std::to_string(i);
    }
}

JobSimulation::~JobSimulation() = default;

void JobSimulation::after(std::int64_t delay, std::function<void()> action)
{
    m_events.emplace(m_now + delay, std::move(action));
}

void JobSimulation::run(std::int64_t milliseconds)
{
    for (auto end = m_now + milliseconds; m_now < end; m_now += stepMs) {
        while (!m_events.empty() && m_events.begin()->first <= m_now) {
            auto action = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            action();
        }
        for (auto& replica : m_replicas)
            replica->step();
        for (auto& runner : m_runners)
            stepRunner(*runner);
        check();
    }
}

void JobSimulation::sendRaft(int from, const RaftMessage& message)
{
    auto found = std::find_if(m_replicas.begin(), m_replicas.end(),
        [&](const auto& replica) { return replica->name() == message.to.name; });
    bool isCut = m_replicas[from]->cutUntil > m_now || (*found)->cutUntil > m_now;
    if (isLost() || isCut)
        return;
    after(networkDelay(), [this, target = found->get(), message] {
        if (target->isUp()) {
            target->inbox.push_back([this, target, message] {
                if (target->isUp())
                    target->log().receive({ m_now }, message);
            });
        }
    });
}

void JobSimulation::deliverReport(int replica, const RunnerReport& report, JobMaster::OrdersCallback done)
{
    auto* target = m_replicas[replica].get();
    if (!target->isUp())
        return;
    target->inbox.push_back([target, report, done = std::move(done)] {
        if (target->isUp())
            target->master().report(report, done);
    });
}

void JobSimulation::sendReport(Runner& runner)
{
    RunnerReport report;
    report.life = { runner.id, { runner.born } };
    report.sequence = ++runner.sequence;
    report.service = "pool";
    report.capacity = { 4000, 8000, 0 };
    for (const auto& work : runner.work)
        report.running.push_back({ work.run, "", 50, 0 });
    report.ended = runner.ended;
    runner.isReporting = true;
    runner.reportSentAt = m_now;
    auto number = ++runner.reportNumber;
    auto sentAt = m_now;
    auto done = [this, &runner, number, sentAt](std::optional<RunnerOrders> orders) {
        if (isLost())
            return;
        after(networkDelay(), [this, &runner, number, sentAt, orders = std::move(orders)] {
            bool isCurrent = runner.isReporting && runner.reportNumber == number;
            if (!isCurrent || m_now >= sentAt + answerLimitMs || runner.cutUntil > m_now)
                return;
            runner.isReporting = false;
            if (orders) {
                obey(runner, sentAt, *orders);
            } else {
                runner.target = static_cast<int>(below(m_replicas.size()));
                runner.nextReport = m_now + 20;
            }
        });
    };
    if (below(100) < doubledPercent) {
        auto other = static_cast<int>(below(m_replicas.size()));
        auto late = 500 + static_cast<std::int64_t>(below(4000));
        after(late, [this, other, report] {
            deliverReport(other, report, [](const std::optional<RunnerOrders>&) {});
        });
    }
    if (isLost() || runner.cutUntil > m_now)
        return;
    after(networkDelay(),
        [this, target = runner.target, report, done] { deliverReport(target, report, done); });
}

void JobSimulation::obey(Runner& runner, std::int64_t sentAt, const RunnerOrders& orders)
{
    runner.nextReport = m_now + (orders.nextReport.count > 0 ? orders.nextReport.count : idleReportMs);
    if (orders.hold.count == 0 || orders.fence < runner.fence)
        return;
    runner.fence = orders.fence;
    runner.leaseUntil = std::max(
        runner.leaseUntil, static_cast<double>(sentAt) + slowClock * static_cast<double>(orders.hold.count));
    for (const auto& end : runner.ended) {
        if (end.number <= orders.acknowledgedEnds && end.number > runner.lapsedEnds
            && end.how == RunEnd::Done)
            m_acknowledgedDone.insert(end.run.task);
    }
    auto& ended = runner.ended;
    ended.erase(std::remove_if(ended.begin(), ended.end(),
                    [&](const ReportedEnd& end) { return end.number <= orders.acknowledgedEnds; }),
        ended.end());
    for (const auto& stop : orders.stops) {
        auto holds = std::any_of(
            runner.work.begin(), runner.work.end(), [&](const Runner::Work& w) { return w.run == stop; });
        if (holds) {
            runner.end(stop, RunEnd::Stopped);
        } else {
            auto& highest = runner.highestOver[stop.task];
            highest = std::max(highest, stop.run);
        }
    }
    for (const auto& start : orders.starts) {
        bool isOver = start.run.run <= runner.highestOver[start.run.task];
        bool isHere = std::any_of(runner.work.begin(), runner.work.end(),
            [&](const Runner::Work& w) { return w.run == start.run; });
        if (isOver || isHere)
            continue;
        if (m_acknowledgedDone.count(start.run.task) != 0)
            fail(textOf(start.run.task) + " starts again after its end was acknowledged");
        ++m_startedRuns;
        runner.work.push_back({ start.run, m_now + 100 + static_cast<std::int64_t>(below(900)) });
    }
}

void JobSimulation::stepRunner(Runner& runner)
{
    if (static_cast<double>(m_now) >= runner.leaseUntil) {
        while (!runner.work.empty())
            runner.end(runner.work.front().run, RunEnd::Lapsed);
        runner.lapsedEnds = runner.lastEnd;
    }
    for (std::size_t i = 0; i < runner.work.size();) {
        if (runner.work[i].endsAt <= m_now) {
            runner.end(runner.work[i].run, below(20) == 0 ? RunEnd::Failed : RunEnd::Done);
            runner.nextReport = std::min(runner.nextReport, m_now + afterEndMs);
        } else {
            ++i;
        }
    }
    if (runner.isReporting && m_now >= runner.reportSentAt + answerLimitMs) {
        runner.isReporting = false;
        runner.target = static_cast<int>(below(m_replicas.size()));
        runner.nextReport = m_now;
    }
    if (!runner.isReporting && m_now >= runner.nextReport)
        sendReport(runner);
}

void JobSimulation::submit(const JobSpec& job)
{
    auto submission = std::make_shared<Submission>();
    submission->command = SubmitJob { job, { m_now } };
    submission->job = job.id;
    trySubmission(submission);
}

void JobSimulation::configure(const QueueConfiguration& configuration)
{
    auto submission = std::make_shared<Submission>();
    submission->command = AcceptConfiguration { configuration };
    trySubmission(submission);
}

void JobSimulation::trySubmission(const std::shared_ptr<Submission>& submission)
{
    if (submission->isDone)
        return;
    auto* target = m_replicas[below(m_replicas.size())].get();
    if (target->isUp()) {
        target->inbox.push_back([this, target, submission] {
            if (!target->isUp())
                return;
            target->master().request(submission->command, [this, submission](RequestOutcome outcome) {
                if (outcome != RequestOutcome::Done)
                    return;
                submission->isDone = true;
                if (!submission->job.empty())
                    m_accepted.insert(submission->job);
            });
        });
    }
    after(200, [this, submission] { trySubmission(submission); });
}

void JobSimulation::kill(int replica, std::int64_t downFor)
{
    auto& target = *m_replicas[replica];
    if (!target.isUp())
        return;
    target.stop();
    target.files()->powerLoss();
    target.inbox.clear();
    target.downUntil = m_now + downFor;
}

void JobSimulation::loseDisk(int replica, std::int64_t downFor)
{
    kill(replica, downFor);
    m_replicas[replica]->files() = std::make_unique<MemoryFileSystem>(m_random());
}

void JobSimulation::fillDisk(int replica, std::int64_t forMs)
{
    m_replicas[replica]->files()->setFreeBytes(below(2000));
    m_replicas[replica]->diskFullUntil = m_now + forMs;
}

void JobSimulation::freeze(int replica, std::int64_t forMs)
{
    m_replicas[replica]->frozenUntil = m_now + forMs;
}

void JobSimulation::cut(int replica, std::int64_t forMs) { m_replicas[replica]->cutUntil = m_now + forMs; }

void JobSimulation::cutRunner(int runner, std::int64_t forMs) { m_runners[runner]->cutUntil = m_now + forMs; }

void JobSimulation::restartRunner(int runner)
{
    auto& old = *m_runners[runner];
    Runner fresh;
    fresh.id = old.id;
    fresh.born = m_now;
    fresh.reportNumber = old.reportNumber; // Answers to the old life's reports reach nobody.
    fresh.nextReport = m_now;
    old = fresh;
}

int JobSimulation::leader() const
{
    for (const auto& replica : m_replicas) {
        if (replica->isLeading())
            return replica->index();
    }
    return -1;
}

std::set<std::string> JobSimulation::voters() const
{
    std::set<std::string> names;
    if (leader() < 0)
        return names;
    for (const auto& voter : m_replicas[leader()]->log().core().log().configuration().voters)
        names.insert(voter.name);
    return names;
}

bool JobSimulation::isComplete() const
{
    auto leading = leader();
    if (leading < 0)
        return false;
    const auto& store = m_replicas[leading]->store();
    return std::all_of(m_accepted.begin(), m_accepted.end(), [&](const std::string& id) {
        const auto* job = store.findJob(id);
        return job != nullptr && job->phase != JobPhase::Open;
    });
}

bool JobSimulation::isConverged() const
{
    std::uint64_t commit = 0;
    for (const auto& replica : m_replicas) {
        if (!replica->isUp() || replica->log().leader().empty())
            return false;
        auto index = replica->log().core().commitIndex();
        if (commit != 0 && index != commit)
            return false;
        commit = index;
    }
    return true;
}

std::string JobSimulation::describe() const
{
    std::ostringstream text;
    for (const auto& replica : m_replicas) {
        text << replica->name() << ": ";
        if (!replica->isUp()) {
            text << "down\n";
            continue;
        }
        const auto& core = replica->log().core();
        text << "term " << core.term() << ", commit " << core.commitIndex() << ", last "
             << core.log().lastIndex() << ", leader " << core.leader() << ", leads " << replica->isLeading()
             << ", voters";
        for (const auto& voter : core.log().configuration().voters)
            text << " " << voter.name << "/" << voter.storageId.substr(0, 4);
        text << ", own " << replica->log().self().storageId.substr(0, 4) << "\n";
    }
    if (leader() < 0)
        return text.str();
    const auto& store = m_replicas[leader()]->store();
    for (const auto& id : store.openJobs())
        text << "open: " << id << "\n";
    for (const auto& [life, runs] : store.runs()) {
        for (const auto& run : runs) {
            text << "run: " << textOf(run.task) << " on " << life.runner << " born " << life.born.count
                 << "\n";
        }
    }
    return text.str();
}

void JobSimulation::check() const
{
    checkRuns();
    checkJobs();
}

void JobSimulation::checkRuns() const
{
    std::set<TaskName> atWork;
    for (const auto& runner : m_runners) {
        for (const auto& work : runner->work) {
            if (!atWork.insert(work.run.task).second)
                fail(textOf(work.run.task) + " runs twice at " + std::to_string(m_now));
        }
    }
}

void JobSimulation::checkJobs() const
{
    int leaders = 0;
    for (const auto& replica : m_replicas) {
        if (!replica->isLeading())
            continue;
        ++leaders;
        for (const auto& id : m_accepted) {
            if (replica->store().findJob(id) == nullptr)
                fail("job " + id + " was accepted and is unknown to the leader at " + std::to_string(m_now));
        }
    }
    if (leaders > 1)
        fail("two replicas lead at " + std::to_string(m_now));
}

} // namespace celeryline::test
