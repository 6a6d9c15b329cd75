/// @file
/// A control process: a replica of the job state that can lead.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/consensus/LogDriver.h"
#include "celeryline/control/ControlTimes.h"
#include "celeryline/control/DiskThread.h"
#include "celeryline/control/LeaderClient.h"
#include "celeryline/control/LoopLag.h"
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

/// Answers requests on the leader.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;

    /// @param request a request; only called while this process leads.
    /// @return the answer.
    virtual kj::Promise<ForwardedResponse> handle(const ForwardedRequest& request) = 0;
};

/// Settings of a control process.
struct ControlNodeOptions {
    std::string address; ///< "IP:port" of the RPC listener, as others reach it.
    std::vector<std::string> seeds; ///< RPC addresses of some control processes.
    bool isFirstStart = false; ///< The whole system starts for the first time.
    std::size_t voters = 3; ///< How many replicas vote; one more than twice the disks that may be lost.
    std::string directory; ///< Data folder.
    Millis heartbeat { 100 }; ///< Of consensus.
    Millis electionTimeout = controlElectionTimeout; ///< Minimum.
    Millis longestLag { 400 }; ///< A process that is later takes no further jobs.
    JobMasterOptions jobs;
};

/// A control process: a replica of the job state that can lead, on the caller's event loop.
class ControlNode final : private ControlHandler,
                          private CommandLog,
                          private ReplicatedMachine,
                          private kj::TaskSet::ErrorHandler {
public:
    /// Reads the data folder and begins to serve.
    /// @param options settings.
    /// @param clock source of time; must outlive this object.
    /// @param files file system of the data folder; must outlive this object.
    /// @throws Error if the folder can't be read or the address is in use.
    ControlNode(ControlNodeOptions options, kj::Timer& timer, kj::Network& network, const Clock& clock,
        FileSystem& files);

    ~ControlNode() noexcept override = default;

    /// Sets who answers requests while this process leads; must be called once, and outlive this object.
    void setHandler(RequestHandler& handler) { m_handler = &handler; }

    /// Manages machines from now on.
    /// @param provider provider of the machines; must outlive this object.
    /// @param options constants.
    void manageMachines(MachineProvider& provider, const MachineMasterOptions& options);

    /// Answers a request here if this process leads; otherwise passes it on.
    /// @param timeout for passing it on.
    kj::Promise<ForwardedResponse> request(ForwardedRequest request, Millis timeout);

    /// @param job a job that was submitted to this leader.
    /// @return false if no machine is large enough for one of its tasks, so that it could never be done.
    bool couldHold(const JobSpec& job) const { return !m_machines || m_machines->couldEverFit(job); }

    /// @return how long what came lately has waited in this process.
    Millis lag() const { return m_lag.recent(m_clock.now()); }

    /// @return whether this process is so late that it should take no further jobs.
    bool isOverloaded() const { return lag() >= m_options.longestLag; }

    /// Makes further control processes known.
    /// @param addresses their RPC addresses.
    void addSeeds(const std::vector<std::string>& addresses) { m_client.addAddresses(addresses); }

    /// Hands leadership over, so that this process can end without a pause for others.
    void resign();

    JobMaster& master() { return m_master; }
    const JobStore& store() const { return m_store; }
    Millis wallTime() const { return m_clock.wallTime(); }
    bool isLeading() const override;

    /// @return address of the leader; empty if unknown.
    const std::string& leader() const { return m_log.leader(); }

    /// @return a promise that is broken when this process can't go on, as after damage to its data folder.
    kj::Promise<void> untilFailed() { return kj::mv(m_failure.promise); }

    /// @return whether a leader is known.
    bool isReady() const { return !leader().empty(); }

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
    Moment moment() const { return { m_clock.now(), m_clock.wallTime() }; }
    void schedulePump();
    void pump();
    void finishPump(const std::string& storageError);
    void tickMasters();
    void noteStorage();
    void noteRole();
    void scheduleTick();
    void noteLag(Millis due);
    void scheduleIntroductions();
    Introduction ownIntroduction() const;

    ControlNodeOptions m_options;
    kj::Timer& m_timer;
    const Clock& m_clock;
    JobStore m_store;
    std::unique_ptr<MachineMaster> m_machines; ///< Null if no machines are managed; the log looks at it.
    LogDriver m_log;
    JobMaster m_master;
    Formation m_formation;
    ControlLinks m_links;
    LeaderClient m_client;
    RequestHandler* m_handler = nullptr;
    bool m_isPumpScheduled = false;
    bool m_isStoring = false;
    std::uint64_t m_startedTerm = 0; ///< Term for which the JobMaster was started.
    std::string m_loggedLeader;
    LoopLag m_lag;
    bool m_isOverloadLogged = false;
    bool m_isStorageFailed = false; ///< It is in the log that the storage failed.
    kj::PromiseFulfillerPair<void> m_failure = kj::newPromiseAndFulfiller<void>();
    DiskThread m_disk; ///< After the log, since its destructor waits for work on the log.
    kj::TaskSet m_tasks;
    ControlServer m_server;
};

} // namespace celeryline
