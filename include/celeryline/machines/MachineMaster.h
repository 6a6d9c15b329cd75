/// @file
/// The leader's controller of machines.
#pragma once

#include "celeryline/jobs/JobMaster.h"
#include "celeryline/machines/ArrivalRate.h"
#include "celeryline/machines/MachineProvider.h"
#include "celeryline/machines/PoolPlan.h"
#include "celeryline/machines/StandbyPlan.h"
#include "celeryline/machines/UpkeepPlan.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace celeryline {

/// Settings of MachineMaster.
struct MachineMasterOptions {
    std::string holder; ///< Lease holder name of this instance in orders for machines.
    /// Minimum time from one holder's order for a machine to another holder's.
    Millis takeoverDelay { 3500 };
    /// Time after which an order of this instance's earlier term can no longer reach the provider.
    Millis orderTimeout { 1500 };
    Millis moveDuration { 1500 }; ///< From the order of a move until the new runner is up.
    Millis upkeepDuration { 2000 }; ///< From the order of an upkeep until the new runner is up.
    Millis firstReportMargin { 300 }; ///< Time for the first report of the new runner.
    Millis listInterval { 1000 };
    /// A list call without an answer is repeated after this time. Longer than a slow provider takes for all
    /// pages of a large fleet.
    Millis listTimeout { 30000 };
    /// The provider counts as unavailable after this time without an answer; machines then keep their tasks.
    Millis providerTimeout { 3000 };
    Millis planInterval { 200 };
    /// Interval of the checks of machines that are being emptied or ordered. Each check adds up what the
    /// machines hold, so its cost grows with their number.
    Millis advanceInterval { 50 };
    Millis minPoolStay { 3000 }; ///< Minimum time that a machine stays in a pool after a move.
    PoolPlanOptions poolPlan;
    StandbyPlanOptions standbyPlan;
};

/// Drains machines and orders their moves and upkeep. Active on the leader only. Single-threaded.
class MachineMaster {
public:
    /// @param options settings.
    /// @param jobs the leader's controller of jobs; must outlive this object.
    /// @param store committed state; must outlive this object.
    /// @param log log to which changes are proposed; must outlive this object.
    /// @param provider provider of the machines; must outlive this object.
    /// @param clock gives the time.
    MachineMaster(MachineMasterOptions options, JobMaster& jobs, const JobStore& store, CommandLog& log,
        MachineProvider& provider, std::function<Moment()> clock);

    /// Resets the state of the previous term and restores operations that an earlier leader began.
    void startTerm();

    /// Records when orders for machines were committed. Call it for each committed command on every replica.
    void onCommitted(const JobCommand& command);

    /// Call it when a snapshot replaces the state. The orders in the snapshot count as given at this time.
    void onSnapshot();

    /// @param job a job.
    /// @return whether each of its tasks fits some machine that was listed in this term; true before the
    /// first list.
    bool couldEverFit(const JobSpec& job) const;

    /// Runs due work. Call it every few tens of milliseconds, on every replica: one that doesn't lead follows
    /// the demand, so that the forecast doesn't begin anew with each leader.
    void tick();

    /// @return the newest plan of machines on standby; empty while this instance isn't the leader.
    const StandbyPlan& standbyPlan() const { return m_standbyPlan; }

    /// @return the number of machines in standby pools.
    std::size_t standbyMachines() const;

private:
    enum class Stage : std::uint8_t { Draining, Committing, Ordered, Down };

    /// A move or an upkeep of a machine.
    struct Operation {
        std::uint64_t wave = 0; ///< 0: a move.
        std::string pool; ///< Target pool of a move.
        Stage stage = Stage::Draining;
        /// Steady time at which the stage began. While a machine is drained for upkeep: when its number of
        /// runs last changed.
        Millis since;
        std::size_t runCount = 0; ///< Runs on its runner at the last check.
    };

    /// The last listed state of a machine.
    struct Machine {
        MachineInfo info;
        Millis inPoolSince;
    };

    void requestList();
    void updateMachines(const std::vector<MachineInfo>& machines);
    void plan();
    void logPoolBalance(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines);
    void planWaves(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines);
    void planWave(const WaveState& wave, const std::map<std::string, std::int64_t>& surplus,
        const std::vector<PoolDemand>& demands);
    void updateDueRunners();
    bool checkAbsence(std::uint64_t wave, const std::string& machine);
    bool hasUpkeepBegun(const std::string& machine, const Operation& operation) const;
    void planMoves(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines);
    /// Tells the JobMaster which capacity can be added to each pool.
    void forecastCapacity(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines);
    std::vector<PoolDemand> poolDemands();
    std::vector<PoolMachine> poolMachines() const;
    bool isAvailable(const MachineInfo& info) const;
    bool isMachineArriving(const std::string& pool) const;
    bool isStandbyPool(const std::string& pool) const;

    bool usesStandbyPool() const;
    std::string standbyPool() const;
    void observeDemand(const std::vector<PoolDemand>& demands);
    void noteNamed(const JobSpec& job);
    void followDemand();
    void planStandby(const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines);
    StandbyHold standbyHold() const;
    std::vector<StandbyCandidate> standbyCandidates(const std::vector<PoolMachine>& machines);
    StandbyCandidate standbyCandidate(const PoolMachine& machine) const;
    bool isNamedKind(const MachineInfo& info) const;
    const RunnerState* runnerStateOf(const std::string& machine) const;
    bool isSilent(const std::string& machine) const;
    void noteSilentMachines(const std::vector<PoolMachine>& machines);
    void noteLostMachines(const std::map<std::string, Machine>& listed);
    bool isDueInWave(const std::string& machine) const;
    /// @return machines of waves that would miss their deadline if they were moved before their upkeep.
    std::set<std::string> machinesNearDeadline() const;
    std::int64_t upkeepMilliCores() const;
    void logStandbyPlan();

    void advanceOperations();
    void advanceOperation(const std::string& machine, Operation& operation);
    void drain(const std::string& machine, Operation& operation);
    /// @return the runners that may be on a listed machine: the listed one, and the one that has reported
    /// from it. The list may be older than a move or an upkeep.
    std::vector<std::string> runnersOn(const std::string& machine) const;
    RunnerUse useOf(const std::string& machine) const;
    /// Recalls the long-running tasks of the machines that are being drained. The step's limit admits only a
    /// few at once, so those of the machine with the fewest runs come first: one machine after the other
    /// becomes empty, instead of all of them at the end.
    void recallLongRunning();
    void proposeOrder(const std::string& machine);
    void restoreEarlierOrders();
    Millis orderAppliedAt(const std::string& machine) const;
    bool isOrderBlocked(const std::string& machine) const;
    bool mayBeDown(const std::string& machine) const;
    void sendOrder(const std::string& machine, Operation& operation);
    void handleOutcome(const std::string& machine, MachineOutcome outcome);
    void updateReservedRunners();
    bool isPinned(const std::string& machine) const;
    bool isProviderUnavailable() const
    {
        return m_clock().steady >= m_lastAnswerAt + m_options.providerTimeout;
    }
    void onProviderAnswer();
    void logProviderLost();
    bool isPaused(const std::string& machine) const;
    bool shouldPause(const std::string& machine, Operation& operation, const RunnerUse& use);
    /// @return whether a machine of the wave would be late if it took tasks for a while. Once the deadline
    /// has passed, pauses make no machine late any more.
    bool isPauseTooLong(std::uint64_t wave) const;
    bool isCapacityNeeded(const std::string& machine, const RunnerUse& use) const;
    void pause(const std::string& machine, Operation& operation);
    void endOrRestart(const std::string& machine, Operation& operation);
    MachineOrder nextOrder() const { return { m_options.holder, m_term, m_clock().steady }; }
    MachineLease lease() const { return { m_options.holder, m_log.term() }; }

    MachineMasterOptions m_options;
    JobMaster& m_jobs;
    const JobStore& m_store;
    CommandLog& m_log;
    MachineProvider& m_provider;
    std::function<Moment()> m_clock;
    std::uint64_t m_term = 0;
    Millis m_snapshotAppliedAt; ///< When a snapshot last replaced the state.
    /// When this replica applied each machine's newest order.
    std::map<std::string, Millis> m_orderAppliedAt;
    /// Machines with an order of an earlier leader: until when this leader may give no other order.
    std::map<std::string, Millis> m_orderBlockedUntil;
    /// Machines with an order of an earlier leader: until when they may be down because of it.
    std::map<std::string, Millis> m_maybeDownUntil;
    Millis m_nextListAt;
    Millis m_nextPlanAt;
    Millis m_nextAdvanceAt;
    Millis m_nextBalanceLogAt;
    bool m_isListing = false;
    Millis m_listRequestedAt;
    std::uint64_t m_listRequests = 0; ///< Number of list calls so far.
    std::uint64_t m_newestList = 0; ///< Number of the newest list call that gave a list.
    std::map<std::string, Machine> m_machines;
    std::set<MachineKind> m_kinds; ///< Kinds of all machines listed in this term.
    std::map<std::string, Operation> m_operations; ///< By machine.
    std::vector<RunnerUse> m_drained; ///< Use of the machines whose long-running tasks are to be recalled.
    std::optional<Millis> m_listedAt; ///< Steady time of the last list of this term.
    /// Machines with an operation or in a wave that the provider doesn't list: time of the first list without
    /// them.
    std::map<std::string, Millis> m_absentSince;
    ArrivalRate m_arrivalRate;
    /// Machines whose move was refused aren't moved until then.
    std::map<std::string, Millis> m_refusedUntil;
    /// Machines that couldn't be drained, were busy, or whose order had no answer: they accept tasks until
    /// then.
    std::map<std::string, Millis> m_pausedUntil;
    Millis m_nextPauseAt; ///< Earliest time to pause the next machine of a wave.
    Millis m_lastAnswerAt; ///< When the provider last answered; at first the start of the term.
    DemandHistory m_demandHistory; ///< Kept across terms, as it follows from the committed state.
    Millis m_nextObservationAt;
    /// Data racks and labels that jobs named, and when last. The empty label stands for accelerators.
    std::map<std::string, Millis> m_namedRacks;
    std::map<std::string, Millis> m_namedLabels;
    Millis m_termStartedAt;
    std::optional<Millis> m_machineLostAt; ///< When a machine of this term was last lost.
    std::optional<Millis> m_returnedAt; ///< When a machine last left a standby pool in this term.
    std::set<std::string> m_silentMachines;
    std::set<MachineKind> m_kindsRefusedStandby; ///< Kinds that the standby pool refused in this term.
    Millis m_nextSendAt;
    Millis m_nextStandbyLogAt;
    StandbyPlan m_standbyPlan;
    bool m_isProviderLost = false; ///< Whether "provider-lost" was logged without "provider-found" since.
};

} // namespace celeryline
