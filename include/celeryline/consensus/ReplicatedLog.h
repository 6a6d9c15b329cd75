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

/// The replicated log of one instance. Runs RaftCore and the state machine on a dedicated thread.
/// Thread-safe.
///
/// After a storage error or an invariant violation the instance stops participating in the log permanently:
/// it neither votes nor leads nor applies entries, and status() reports the reason.
class ReplicatedLog final : public Store {
public:
    /// @param settings name, peers, voters, data directory and timing.
    /// @param files file system of the data directory; unused if the settings name none.
    /// @param transport may be null if there are no peers.
    /// @param state the replicated state machine; used by the log's thread only.
    ReplicatedLog(const Settings& settings, const Clock& clock, FileSystem& files, PeerTransport* transport,
        StateMachine& state);
    ~ReplicatedLog() override;

    /// Reads the data directory, restores the state from the snapshot and starts participating in the log.
    /// @throws Error of kind Corrupt or Storage if the directory can't be read.
    void start();

    /// Transfers leadership if this instance is the leader, then stops. Pending submits fail with an error.
    void stop();

    CommandResult submit(const Command& command, Millis timeout) override;
    StoreStatus status() const override;

    /// Queues a Raft message from a peer; returns immediately.
    void onRaft(RaftMessage message);

    /// Submits a command forwarded by a peer and waits until it is applied on this instance.
    /// @throws Error of kind Unavailable if this instance isn't the leader, of kind TimedOut if the result is
    /// unknown.
    CommandResult onSubmit(const Command& command);

    /// Handles a peer's hello. If it contains a formation, waits until that is durable, up to a timeout.
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
    Millis maxIdleTime() const;
    void processInputs(const Inputs& inputs);
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
    void resolveWaiters(detail::SubmitState state, bool onlyProposed);
    template <typename Condition> void waitUntil(Millis deadline, Condition condition);
    bool forward(const std::string& leader, const Command& command, Millis deadline, bool& mayBeCommitted);

    const Settings m_settings;
    const Clock& m_clock;
    PeerTransport* m_transport;
    StateMachine& m_state;
    std::unique_ptr<RaftStorage> m_storage; ///< Null on an instance without a data directory.

    // After start(), used by the log's thread only.
    std::unique_ptr<RaftCore> m_core;
    ReplicaId m_self;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_appliedTerm = 0;
    Millis m_appliedTime;
    bool m_wasLeader = false;

    mutable std::mutex m_mutex;
    std::condition_variable m_inputsChanged; ///< Signals new inputs or that the log must stop.
    mutable std::condition_variable m_changed; ///< Signals a change of a waiter or of the status.
    Inputs m_inputs;
    std::multimap<std::string, WaiterPointer> m_waiters; ///< By command id.
    StoreStatus m_status;
    Millis m_leaseEnd { -1 };
    Millis m_leaderContactTime;
    std::optional<LogEntry> m_formation; ///< The first entry while it is the only one.
    bool m_isRunning = false;
    bool m_isStopping = false;

    std::thread m_thread;
    std::thread m_formationThread;
};

} // namespace celeryline
