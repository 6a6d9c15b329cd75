/// @file
/// A control process: a replica of the job state that can become leader.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/consensus/LogDriver.h"
#include "celeryline/control/ControlTimes.h"
#include "celeryline/control/DiskThread.h"
#include "celeryline/control/ElectionLog.h"
#include "celeryline/control/LeaderClient.h"
#include "celeryline/control/ProcessLag.h"
#include "celeryline/control/VoterLog.h"
#include "celeryline/control/VoterSummary.h"
#include "celeryline/jobs/JobMaster.h"
#include "celeryline/machines/MachineMaster.h"
#include "celeryline/membership/Formation.h"
#include "celeryline/rpc/ControlServer.h"

#include <kj/async-io.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace celeryline {

/// Handles requests on the leader.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;

    /// Handles a request; called only while this process is the leader.
    /// @return the response.
    virtual kj::Promise<ForwardedResponse> handle(const ForwardedRequest& request) = 0;
};

/// Settings of a control process.
struct ControlNodeOptions {
    std::string address; ///< "IP:port" under which other processes reach the RPC listener.
    std::vector<std::string> seeds; ///< RPC addresses of known control processes.
    bool isFirstStart = false; ///< Set on the first start of the whole system, when a log is formed.
    std::size_t voters = 3; ///< Number of voting replicas; 2n + 1 voters tolerate the loss of n disks.
    std::string dataCentre; ///< Empty if unknown.
    std::string directory; ///< Data directory.
    Millis heartbeat { 100 }; ///< Interval of the leader's Raft heartbeats.
    Millis electionTimeout = controlElectionTimeout; ///< Minimum election timeout.
    /// Time from the start of a lost machine's successor until another machine may be lost.
    Millis lossInterval { 4000 };
    ProcessLagLimits maxLag; ///< Lag at which the process stops accepting jobs.
    JobMasterOptions jobs;
};

/// A control process: a replica of the job state that can become leader. Runs on the caller's event loop.
class ControlNode final : private ControlHandler,
                          private CommandLog,
                          private ReplicatedStateMachine,
                          private kj::TaskSet::ErrorHandler {
public:
    /// Reads the data directory and starts serving.
    /// @param clock time source; must outlive this object.
    /// @param files file system of the data directory; must outlive this object.
    /// @throws Error if the directory can't be read or the address is in use.
    ControlNode(ControlNodeOptions options, kj::Timer& timer, kj::Network& network, const Clock& clock,
        FileSystem& files);

    ~ControlNode() noexcept override = default;

    /// Sets the handler of requests on the leader. Must be called once; the handler must outlive this object.
    void setHandler(RequestHandler& handler) { m_handler = &handler; }

    /// Enables machine management.
    /// @param provider provider of the machines; must outlive this object.
    void manageMachines(MachineProvider& provider, const MachineMasterOptions& options);

    /// Handles a request if this process is the leader; otherwise forwards it to the leader.
    /// @param timeout timeout of the forwarded request.
    kj::Promise<ForwardedResponse> request(ForwardedRequest request, Millis timeout);

    /// @param job a job submitted to this leader.
    /// @return false if one of its tasks fits on no machine, so that the job could never complete.
    bool couldHold(const JobSpec& job) const { return !m_machines || m_machines->couldEverFit(job); }

    /// @return the controller of machines; null if this node manages none.
    const MachineMaster* machines() const { return m_machines.get(); }

    /// @return the recent lag of this process, which approximates how long incoming messages wait.
    Millis lag() const { return m_lag.recent(m_clock.now()); }

    /// @return whether the lag is so high that no further jobs should be accepted.
    bool isOverloaded() const { return m_lag.isOverloaded(m_clock.now()); }

    /// Adds RPC addresses of other control processes.
    void addSeeds(const std::vector<std::string>& addresses) { m_client.addAddresses(addresses); }

    /// Transfers leadership, so that this process can stop without an election timeout for its callers.
    void resign();

    JobMaster& master() { return m_master; }
    const JobStore& store() const { return m_store; }
    Millis wallTime() const { return m_clock.wallTime(); }
    bool isLeading() const override;

    /// @return the leader's address; empty if unknown.
    const std::string& leader() const { return m_log.leader(); }

    /// @return a promise that is rejected when this process can't continue, e.g. because its data directory
    /// is corrupt.
    kj::Promise<void> untilFailed() { return kj::mv(m_failure.promise); }

    /// @return whether this process is ready, i.e. knows a leader.
    bool isReady() const { return !leader().empty(); }

    /// @return numbers about the voter set and elections.
    VoterSummary voterSummary() const;

private:
    void onRaft(const RaftMessage& message) override;
    Introduction onIntroduction(const Introduction& other) override;
    kj::Promise<ForwardedResponse> onForwarded(ForwardedRequest request) override;

    std::uint64_t term() const override { return m_log.core().term(); }
    void propose(const std::vector<JobCommand>& commands, std::function<void(bool)> done) override;

    void clear() override;
    void apply(const LogEntry& entry) override;
    std::string takeSnapshot() const override { return m_store.takeSnapshot(); }
    void restoreSnapshot(const std::string& bytes) override;

    void taskFailed(kj::Exception&& exception) override;

    LogDriverOptions logOptions() const;
    void warnIfReplacementIsTooSlow() const;
    Moment moment() const { return { m_clock.now(), m_clock.wallTime() }; }
    void scheduleRound();
    void runRound();
    void finishRound(const std::string& storageError);
    void tickMasters();
    void logStorageChange();
    void logVoters();
    void onStateReplaced();
    void onRoleChange();
    void scheduleTick();
    void recordLag(Millis due);
    void introduceToAll();
    void scheduleIntroductions();
    Introduction ownIntroduction() const;

    ControlNodeOptions m_options;
    kj::Timer& m_timer;
    const Clock& m_clock;
    JobStore m_store;
    JobMaster m_master; ///< Used by callbacks of m_log.
    std::unique_ptr<MachineMaster>
        m_machines; ///< Null if no machines are managed. Used by callbacks of m_log.
    LogDriver m_log;
    Formation m_formation;
    ControlLinks m_links;
    LeaderClient m_client;
    RequestHandler* m_handler = nullptr;
    bool m_isRoundScheduled = false;
    bool m_isRoundRunning = false;
    std::uint64_t m_startedTerm = 0; ///< Term in which the masters were last started.
    std::string m_loggedLeader;
    VoterLog m_voterLog;
    ElectionLog m_electionLog;
    ProcessLag m_lag;
    bool m_isLeaving = false; ///< Set by resign().
    bool m_wasOverloaded = false; ///< Last logged state.
    bool m_wasStorageFailed = false; ///< Last logged state of the storage.
    kj::PromiseFulfillerPair<void> m_failure = kj::newPromiseAndFulfiller<void>();
    DiskThread m_disk; ///< Declared after m_log: its destructor waits for work on the log.
    kj::TaskSet m_tasks;
    ControlServer m_server;
};

} // namespace celeryline
