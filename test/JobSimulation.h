/// @file
/// Single-threaded simulation of control processes, their logs and disks, and runners, on a simulated clock.
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

/// Runs replicas with the real log, job state and JobMaster against simulated runners that follow the
/// protocol: leases are measured by clocks that are 2% slow, one report is pending at a time, and answers are
/// ignored after a second. Messages are lost, delayed and duplicated. Checks these invariants after every
/// step: no task has two concurrent runs; no task starts again after its completion was acknowledged; no
/// accepted job is lost; a leader's configuration is at least as new as any accepted one and matches the
/// document that was sent with its version; what the runners run for a customer stays within the highest
/// limit that any version gave it, and each replica's sum equals what its state lists as running.
class JobSimulation {
public:
    /// @param seed seed of all random choices.
    /// @param replicas number of control processes.
    /// @param runners number of runners.
    JobSimulation(std::uint64_t seed, int replicas, int runners);
    ~JobSimulation();

    /// Advances the simulated time.
    void run(std::int64_t milliseconds);

    /// Submits a job through random replicas until it is accepted.
    void submit(const JobSpec& job);

    /// Cancels a job through random replicas until that is confirmed, and submits it later. A task of it that
    /// starts fails the simulation.
    /// @param delay time from the confirmation to the submission.
    void submitAfterCancellation(const JobSpec& job, std::int64_t delay);

    /// Submits a configuration through random replicas until it is accepted.
    void configure(const QueueConfiguration& configuration);

    /// Kills a replica. Its disk keeps synced data, and possibly some unsynced data.
    void kill(int replica, std::int64_t downFor);
    /// Kills a replica and replaces its disk with an empty one.
    void loseDisk(int replica, std::int64_t downFor);
    /// Limits the free space of a replica's disk for some time.
    void fillDisk(int replica, std::int64_t forMs, std::uint64_t freeBytes);
    /// Suspends a replica; incoming messages are queued.
    void freeze(int replica, std::int64_t forMs);
    /// Partitions a replica from the other replicas; runners still reach it.
    void partition(int replica, std::int64_t forMs);
    /// Partitions a runner from all replicas.
    void partitionRunner(int runner, std::int64_t forMs);
    /// Restarts a runner under the same id.
    void restartRunner(int runner);

    /// @return index of the leader; -1 if there is none.
    int leader() const;
    /// @return names of the voters in the leader's configuration; empty if there is no leader.
    std::set<std::string> voters() const;
    /// @return whether the leader knows all accepted jobs and none of them is open.
    bool isComplete() const;
    /// @return whether all replicas are up, know a leader and have the same commit index.
    bool isConverged() const;

    /// @return the state of each replica and the open jobs, for diagnosing a run that does not complete.
    std::string describe() const;

    std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }
    std::uint64_t startedRuns() const { return m_startedRuns; }

    std::uint64_t lossPercent = 3; ///< Percentage of all messages.
    std::uint64_t duplicatedPercent
        = 2; ///< Percentage of reports delivered again up to 4.5 s later, to any replica.

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
    void checkLimits() const;
    void checkUses(const JobStore& store) const;

    std::mt19937_64 m_random;
    std::int64_t m_now = 1000;
    std::multimap<std::int64_t, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Replica>> m_replicas;
    std::vector<std::unique_ptr<Runner>> m_runners;
    std::set<std::string> m_accepted; ///< Jobs whose acceptance was confirmed to the client.
    std::set<JobId> m_cancelled; ///< Jobs whose cancellation was confirmed before they were submitted.
    std::map<std::string, std::int64_t> m_highestLimits; ///< In thousandths of a core, by customer.
    std::map<JobId, JobSpec> m_specs; ///< Jobs that were submitted for customers.
    std::uint64_t m_acceptedVersion = 0; ///< Highest configuration version whose acceptance was confirmed.
    std::set<TaskName> m_acknowledgedDone; ///< Tasks whose successful end was acknowledged to the runner.
    std::uint64_t m_startedRuns = 0;
};

} // namespace celeryline::test
