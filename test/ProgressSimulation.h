/// @file
/// Simulation of leaders, machines and runners, to check that tasks start while there is free capacity.
#pragma once

#include "celeryline/jobs/JobMaster.h"
#include "celeryline/machines/MachineMaster.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace celeryline::test {

/// Runs the real JobMaster, MachineMaster and JobStore on two instances, one of which leads at a time, with a
/// log that commits after some milliseconds, a simulated machine provider and simulated runners that follow
/// the protocol. A leader change drops some of the pending proposals. The network is not simulated.
class ProgressSimulation {
public:
    static constexpr std::int64_t stepMs = 10;

    /// How a runner misbehaves for some time.
    enum class Fault : std::uint8_t { FailsTasks, Hangs, Slow, Silent };

    /// A machine and the runner on it.
    struct Machine {
        std::string name;
        std::string pool;
        MachineState state = MachineState::Up;
        std::int64_t upAt = 0; ///< When it is up again; only valid while it is down.
        Resources capacity;
        std::string rack;
        std::uint64_t fence = 0; ///< Fence of the latest accepted order.
        std::string runner; ///< Empty while it is not up.
        std::uint64_t runnersSoFar = 0;
    };

    /// @param seed seed of all random choices.
    explicit ProgressSimulation(std::uint64_t seed);
    ~ProgressSimulation();

    /// Adds a pool with a queue "NAME/work/" and a queue "NAME/late/" of lower priority.
    void addPool(const std::string& name, bool isStandby = false);
    void addMachine(const std::string& pool, const Resources& capacity);
    /// @return the configuration, to be changed before start().
    QueueConfiguration& configuration() { return m_configuration; }
    /// Applies the configuration and begins the first term.
    void start();

    /// Advances the time by stepMs and checks the rules.
    void step();

    /// Submits a job and retries until it is committed.
    void submit(const JobSpec& job);
    /// Submits a job as a caller does, subject to admission. A refused job is submitted again after the time
    /// to come back, up to three times.
    void offer(const JobSpec& job, int attempts = 4);
    void startWave(const StartWave& wave);

    void changeLeader(std::int64_t forMs);
    void restartRunner(std::size_t machine, std::int64_t forMs);
    void injectFault(std::size_t machine, Fault fault, std::int64_t forMs);
    /// Ends all faults; runs that hang continue to hang.
    void clearFaults();

    /// A refused submission.
    struct Refusal {
        std::int64_t at = 0;
        JobSpec job;
        JobAdmission decision;
    };
    const std::vector<Refusal>& refusals() const { return m_refusals; }

    std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }
    std::int64_t now() const { return m_now; }
    /// @return the time at which the last fault ended.
    std::int64_t lastFaultEnd() const { return m_lastFault; }
    const std::vector<Machine>& machines() const { return m_machines; }
    const JobStore& store() const { return m_store; }
    std::uint64_t startedRuns() const { return m_startedRuns; }

    bool sendsToStandby = true; ///< Whether idle machines may go to a standby pool. Set it before start().

    /// @return the first violated rule and the state at that time; empty if none was violated.
    const std::string& violation() const { return m_violation; }
    /// @return accepted jobs that are still open, except long-running ones and those that always fail.
    std::vector<JobId> unfinished() const;
    /// @return the time that all runners together need for the open jobs.
    std::int64_t backlogMs() const;
    /// @return the state of a task and of the runners of its pool.
    std::string describe(const TaskName& task) const;

    std::int64_t durationPercent = 100; ///< Mean duration of finite tasks in percent of the estimate.

private:
    class Instance;
    class Provider;
    struct Runner;
    struct Work;

    Moment moment() const { return { { m_now }, { m_now + 1000000 } }; }
    void after(std::int64_t delay, std::function<void()> action);
    Instance* leading();
    void recordFault(std::int64_t until);

    // Machines.
    Machine& machine(const std::string& name);
    void stepMachines();
    void takeDown(Machine& machine, MachineState state, std::int64_t forMs);
    void bringUp(Machine& machine);

    // Runners.
    Runner* runnerOf(const Machine& machine);
    const Runner* runnerOf(const Machine& machine) const;
    void stepRunner(Runner& runner);
    void stepWork(Runner& runner);
    bool stepGang(Runner& runner, Work& work);
    void end(Runner& runner, std::size_t index, RunOutcome outcome);
    void sendReport(Runner& runner);
    void applyOrders(Runner& runner, std::int64_t sentAt, const RunnerOrders& orders);
    void begin(Runner& runner, const StartOrder& start);

    // Rules.
    void check();
    void checkLostRunners();
    bool isLost(const RunnerIncarnation& incarnation) const;
    void checkJob(const JobId& id, const JobState& job);
    void checkLongRunning(const JobId& id, const JobState& job);
    void fail(const std::string& what, const TaskName& task);
    bool isHealthy(const Runner& runner) const;
    Resources freeOn(const Runner& runner) const;
    std::int64_t countPlaces(const StepSpec& spec, const std::string& pool, const StepState* excluded) const;
    bool isHalfFree(const std::string& pool) const;

    std::mt19937_64 m_random;
    std::int64_t m_now = 1000;
    std::multimap<std::int64_t, std::function<void()>> m_events;
    JobStore m_store;
    QueueConfiguration m_configuration;
    std::unique_ptr<Provider> m_provider;
    std::vector<std::unique_ptr<Instance>> m_instances;
    int m_leading = -1; ///< -1 while there is no leader.
    std::uint64_t m_term = 1;
    std::int64_t m_electionAt = 0;
    std::int64_t m_termStart = 0;
    std::vector<Machine> m_machines;
    std::map<std::string, std::unique_ptr<Runner>> m_runners; ///< By id.
    std::int64_t m_lastFault = 0;
    std::map<TaskName, std::int64_t> m_waitsSince; ///< By task; since when it waits despite free capacity.
                                                   ///< Steps are represented by their first task.
    std::map<RunnerIncarnation, std::int64_t> m_lostSince; ///< Lost runners with committed runs.
    std::string m_violation;
    std::uint64_t m_startedRuns = 0;
    std::vector<JobId> m_accepted;
    std::vector<Refusal> m_refusals;
};

/// @return whether the tasks of a job always fail.
bool isPoison(const JobId& id);

} // namespace celeryline::test
