/// @file
/// The leader's control of machines.
#pragma once

#include "celeryline/jobs/JobMaster.h"
#include "celeryline/machines/ArrivalRate.h"
#include "celeryline/machines/MachineProvider.h"
#include "celeryline/machines/PoolPlan.h"
#include "celeryline/machines/UpkeepPlan.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// Constants of MachineMaster.
struct MachineMasterOptions {
    std::string holder; ///< Name of this instance in orders for machines.
    /// From an order for a machine until another holder may give one.
    Millis quietTime { 3500 };
    /// From an order of this instance's earlier term, which may still be on its way, until it may give
    /// another.
    Millis orderTime { 1500 };
    Millis moveTime { 1500 }; ///< From a move's order until the new runner is up.
    Millis upkeepTime { 2000 }; ///< From an upkeep's order until the new runner is up.
    Millis listInterval { 1000 };
    /// Without an answer for so long the provider is away; machines keep their tasks meanwhile.
    Millis providerSilence { 3000 };
    Millis planInterval { 200 };
    Millis freshTime { 3000 }; ///< A machine that has just come to its pool stays at least so long.
    PoolPlanOptions pools;
};

/// The leader's control of machines: empties machines and orders their moves and upkeep. Single-threaded.
class MachineMaster {
public:
    /// @param options constants.
    /// @param jobs control of jobs; must outlive this object.
    /// @param store committed state.
    /// @param log where changes are proposed.
    /// @param provider provider of the machines; must outlive this object.
    /// @param clock gives the time.
    MachineMaster(MachineMasterOptions options, JobMaster& jobs, const JobStore& store, CommandLog& log,
        MachineProvider& provider, std::function<Moment()> clock);

    /// Begins a term of leadership.
    void startTerm();

    /// Takes notice of a committed command, on every replica.
    void noteCommitted(const JobCommand& command);

    /// Takes notice that the state was replaced by a snapshot; its orders for machines were given before.
    void noteSnapshot();

    /// @param job a job.
    /// @return whether a machine that was listed in this term could hold each of its tasks; true while no
    /// list has come.
    bool couldHold(const JobSpec& job) const;

    /// Lets time pass. Call it every few tens of milliseconds.
    void tick();

private:
    enum class Stage : std::uint8_t { Emptying, Recording, Ordered, Away };

    /// Something that is done to a machine.
    struct Task {
        std::uint64_t wave = 0; ///< 0 for a move.
        std::string pool; ///< The new pool of a move.
        Stage stage = Stage::Emptying;
        /// Steady time at which the stage began. For a machine that is emptied for upkeep, when the number of
        /// its runs last changed.
        Millis since;
        std::size_t held = 0; ///< Runs that its runner held when it was last looked at.
    };

    /// What is known of a machine.
    struct Machine {
        MachineInfo info;
        Millis inPoolSince;
    };

    void refreshList();
    void takeList(const std::vector<MachineInfo>& machines);
    void planAll();
    void logBalance(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines);
    void planWaves(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines);
    void planWave(const WaveState& wave, const std::map<std::string, std::int64_t>& spare);
    bool noteAbsent(std::uint64_t wave, const std::string& machine);
    bool isBegun(const std::string& machine, const Task& task) const;
    void planMoves(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines);
    std::vector<PoolDemand> demands();
    std::vector<PoolMachine> poolMachines() const;
    bool isAvailable(const MachineInfo& info) const;
    bool isMachineComing(const std::string& pool) const;
    bool isStandbyPool(const std::string& pool) const;

    void advanceTasks();
    void advance(const std::string& machine, Task& task);
    void empty(const std::string& machine, const std::string& runner, Task& task);
    void recallLasting(const std::string& runner);
    void record(const std::string& machine);
    void noteEarlierOrders();
    Millis appliedAt(const std::string& machine) const;
    bool isQuiet(const std::string& machine) const;
    bool mayBeAway(const std::string& machine) const;
    void order(const std::string& machine, Task& task);
    void finishOrder(const std::string& machine, MachineOutcome outcome);
    void publishReserved();
    bool isPinned(const std::string& machine) const;
    bool isProviderAway() const { return m_clock().steady >= m_answeredAt + m_options.providerSilence; }
    void noteAnswer();
    void noteAway();
    bool isPaused(const std::string& machine) const;
    bool mustGiveUp(const std::string& machine, Task& task, const RunnerUse& use);
    bool isRoomWanted(const std::string& machine, const RunnerUse& use) const;
    void giveUp(const std::string& machine, Task& task);
    void release(const std::string& machine, Task& task);
    MachineOrder nextOrder() const { return { m_options.holder, m_term, m_clock().steady }; }
    MachineLease lease() const { return { m_options.holder, m_log.term() }; }

    MachineMasterOptions m_options;
    JobMaster& m_jobs;
    const JobStore& m_store;
    CommandLog& m_log;
    MachineProvider& m_provider;
    std::function<Moment()> m_clock;
    std::uint64_t m_term = 0;
    Millis m_snapshotAt; ///< When the state was replaced by a snapshot.
    std::map<std::string, Millis> m_appliedAt; ///< When the newest order for each machine was applied here.
    /// Machines that earlier leaders ordered: until when no other order may be given.
    std::map<std::string, Millis> m_quietUntil;
    /// Machines that earlier leaders ordered: until when they may be down because of that.
    std::map<std::string, Millis> m_awayUntil;
    Millis m_nextList;
    Millis m_nextPlan;
    Millis m_nextBalanceLog;
    bool m_isListing = false;
    std::map<std::string, Machine> m_machines;
    std::set<MachineKind> m_kinds; ///< Of all machines that were listed in this term.
    std::map<std::string, Task> m_tasks; ///< By machine.
    std::map<std::string, Millis> m_absentSince; ///< Machines of waves that are not listed.
    ArrivalRate m_arrivals;
    std::map<std::string, Millis> m_refusedUntil; ///< Machines whose move was refused stay until then.
    /// Machines that could not be emptied, or whose order had no answer, take tasks until then.
    std::map<std::string, Millis> m_pausedUntil;
    Millis m_nextPause; ///< The next machine of a wave may be given up then.
    Millis m_answeredAt; ///< When the provider last answered a call of this term.
    bool m_wasAway = false; ///< Whether the log says that the provider doesn't answer.
};

} // namespace celeryline
