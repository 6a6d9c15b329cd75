/// @file
/// The replicated log of one instance.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/consensus/Hello.h"
#include "celeryline/consensus/PeerTransport.h"
#include "celeryline/consensus/RaftCore.h"
#include "celeryline/consensus/RaftStorage.h"
#include "celeryline/consensus/StateMachine.h"
#include "celeryline/consensus/Store.h"
#include "celeryline/consensus/SubmitWaiter.h"
#include "celeryline/settings/Settings.h"
#include "celeryline/storage/FileSystem.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace celeryline {

/// The replicated log of one instance: runs RaftCore and the state machine on a thread of its own.
/// Thread-safe.
///
/// A storage error or a broken invariant stops the instance's part in the log for good: it neither votes
/// nor leads nor applies, and status() tells why.
class ReplicatedLog final : public Store {
public:
    /// @param settings name, peers, voters, data folder and timing.
    /// @param clock source of time.
    /// @param files file system of the data folder; unused if the settings name none.
    /// @param transport calls to the peers; may be null if there are none.
    /// @param state the replicated state; used by the log's thread only.
    ReplicatedLog(const Settings& settings, const Clock& clock, FileSystem& files, PeerTransport* transport,
        StateMachine& state);
    ~ReplicatedLog() override;

    /// Reads the data folder, restores the state from the snapshot and begins to take part.
    /// @throws Error of kind Corrupt or Storage if the folder can't be read.
    void start();

    /// Hands leadership over if this instance leads, then stops. Open submits end with an error.
    void stop();

    CommandResult submit(const Command& command, Millis timeout) override;
    StoreStatus status() const override;

    /// Queues a consensus message of a peer; returns at once.
    void onRaft(RaftMessage message);

    /// Submits a command that a peer forwarded; waits until it was applied here.
    /// @throws Error of kind Unavailable if this instance isn't the leader, of kind TimedOut if the result
    /// isn't known.
    CommandResult onSubmit(const Command& command);

    /// Answers a peer's hello; waits until a formation that it carries is durable.
    Hello onHello(const Hello& hello);

private:
    using WaiterPointer = std::shared_ptr<detail::SubmitWaiter>;
    struct Proposal {
        Command command;
        WaiterPointer waiter;
    };
    struct Inputs {
        std::vector<RaftMessage> messages;
        std::vector<Proposal> proposals;
        std::vector<LogEntry> formations;
        bool mustTransfer = false;
    };

    void run();
    Millis longestWait() const;
    void runOnce(const Inputs& inputs);
    void propose(const std::vector<Proposal>& proposals);
    void processOutputs();
    void apply(const std::vector<LogEntry>& entries);
    void takeSnapshotIfDue();
    void provideSnapshot();
    void publishStatus();
    void fail(const std::string& reason);
    void runFormation();
    Hello ownHello() const;

    WaiterPointer addWaiter(const std::string& id);
    void removeWaiter(const std::string& id, const WaiterPointer& waiter);
    void enqueue(const Command& command, const WaiterPointer& waiter);
    void endWaiters(detail::SubmitState state, bool onlyProposed);
    template <typename Condition> void waitUntil(Millis deadline, Condition condition);
    bool forward(const std::string& leader, const Command& command, Millis deadline, bool& mayBeCommitted);

    const Settings m_settings;
    const Clock& m_clock;
    PeerTransport* m_transport;
    StateMachine& m_state;
    std::unique_ptr<RaftStorage> m_storage; ///< Null on an instance without a data folder.

    // Used by the log's thread only after start().
    std::unique_ptr<RaftCore> m_core;
    ReplicaId m_self;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_appliedTerm = 0;
    Millis m_appliedTime;
    bool m_wasLeader = false;

    mutable std::mutex m_mutex;
    std::condition_variable m_wakeLog; ///< There are inputs or the log must stop.
    mutable std::condition_variable m_changed; ///< A waiter or the status changed.
    Inputs m_inputs;
    std::multimap<std::string, WaiterPointer> m_waiters; ///< By command id.
    StoreStatus m_status;
    Millis m_leaseEnd { -1 };
    Millis m_leaderHeardAt;
    std::optional<LogEntry> m_formation; ///< The first entry, while it is all that the log holds.
    bool m_isRunning = false;
    bool m_isStopping = false;

    std::thread m_thread;
    std::thread m_formationThread;
};

} // namespace celeryline
