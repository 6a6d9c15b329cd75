/// @file
/// Control processes with their logs and disks, and runners, on one thread and a simulated clock.
#pragma once

#include "MemoryFileSystem.h"
#include "celeryline/consensus/LogDriver.h"
#include "celeryline/jobs/JobMaster.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace celeryline::test {

/// Replicas with the real log, job state and JobMaster, and runners that obey the protocol: leases on clocks
/// that are 2% slow, one report under way at a time, answers dropped after a second. Messages are lost,
/// delayed and doubled. Checks after every step that no task runs twice at the same time, that nothing starts
/// again after its end was acknowledged, that accepted jobs are never forgotten, and that a leader's
/// configuration is never older than an accepted one or other than what was sent under its version.
class JobSimulation {
public:
    /// @param seed of all random choices.
    /// @param replicas number of control processes.
    /// @param runners number of runners.
    JobSimulation(std::uint64_t seed, int replicas, int runners);
    ~JobSimulation();

    /// Lets time pass.
    void run(std::int64_t milliseconds);

    /// Submits a job through a random replica; sends it again until it is accepted.
    void submit(const JobSpec& job);

    /// Puts a configuration in force, in the same way.
    void configure(const QueueConfiguration& configuration);

    /// Kills a replica; its disk keeps what was synced and perhaps more.
    void kill(int replica, std::int64_t downFor);
    /// Kills a replica and replaces its disk by an empty one.
    void loseDisk(int replica, std::int64_t downFor);
    /// Lets a replica's disk take no more than some bytes for some time.
    void fillDisk(int replica, std::int64_t forMs, std::uint64_t freeBytes);
    /// Lets a replica stand still; what reaches it waits.
    void freeze(int replica, std::int64_t forMs);
    /// Cuts a replica off from the other ones; runners still reach it.
    void partition(int replica, std::int64_t forMs);
    /// Cuts a runner off from all replicas.
    void partitionRunner(int runner, std::int64_t forMs);
    /// Ends a runner and starts it again with the same id.
    void restartRunner(int runner);

    /// @return a replica that leads; -1 if there is none.
    int leader() const;
    /// @return names of the voters as the leader knows them; empty if there is none.
    std::set<std::string> voters() const;
    /// @return whether all accepted jobs are complete on the leader.
    bool isComplete() const;
    /// @return whether all replicas are up, know a leader and have applied the same entries.
    bool isConverged() const;

    /// @return why a history doesn't come to its end: the state of each replica and the open jobs.
    std::string describe() const;

    std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }
    std::uint64_t startedRuns() const { return m_startedRuns; }

    std::uint64_t lossPercent = 3; ///< Of all messages.
    std::uint64_t duplicatedPercent = 2; ///< Of reports that arrive again, seconds later, at any replica.

private:
    class Replica;
    struct Runner;
    struct Submission;
    struct Event {
        std::int64_t at = 0;
        std::function<void()> action;
    };

    [[noreturn]] static void fail(const std::string& what);
    static std::string textOf(const TaskName& task);
    void after(std::int64_t delay, std::function<void()> action);
    std::int64_t networkDelay() { return 1 + static_cast<std::int64_t>(below(4)); }
    bool isLost() { return below(100) < lossPercent; }
    void sendRaft(int from, const RaftMessage& message);
    void sendReport(Runner& runner);
    void deliverReport(int replica, const RunnerReport& report, JobMaster::OrdersCallback done);
    void applyOrders(Runner& runner, std::int64_t sentAt, const RunnerOrders& orders);
    void stepRunner(Runner& runner);
    void trySubmission(const std::shared_ptr<Submission>& submission);
    void check() const;
    void checkRuns() const;
    void checkJobs() const;
    void checkConfiguration(const JobStore& store) const;

    std::mt19937_64 m_random;
    std::int64_t m_now = 1000;
    std::multimap<std::int64_t, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::set<std::string> m_accepted; ///< Jobs whose acceptance was answered.
    std::uint64_t m_acceptedVersion = 0; ///< Highest configuration whose acceptance was answered.
    std::set<TaskName> m_acknowledgedDone; ///< Tasks whose good end was acknowledged to the runner.
    std::uint64_t m_startedRuns = 0;
};

} // namespace celeryline::test
