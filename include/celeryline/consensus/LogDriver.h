/// @file
/// Runs a replica of the log on the caller's event loop.
#pragma once

#include "celeryline/consensus/RaftCore.h"
#include "celeryline/consensus/RaftStorage.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace celeryline {

/// The state machine that a LogDriver replicates. All methods are called in log order from one thread.
class ReplicatedStateMachine {
public:
    virtual ~ReplicatedStateMachine() = default;

    /// Resets to the state before the first command.
    virtual void clear() = 0;

    /// Applies a committed command. Must be deterministic.
    /// @param entry an entry of kind Command.
    virtual void apply(const LogEntry& entry) = 0;

    /// @return the complete state, serialised.
    virtual std::string takeSnapshot() const = 0;

    /// Replaces the complete state.
    /// @param bytes the output of takeSnapshot().
    virtual void restoreSnapshot(const std::string& bytes) = 0;
};

/// Options of a LogDriver.
struct LogDriverOptions {
    RaftOptions raft; ///< The storage id of `self` is read from the data directory.
    std::string directory;
    std::uint64_t snapshotBytes = 4 << 20; ///< A snapshot is taken after this many bytes of commands,
    std::uint64_t snapshotEntries = 20000; ///< or after this many entries.
    std::uint64_t retainedEntries = 2000; ///< Entries before a snapshot kept in memory for slow followers.
    Millis reopenInterval { 500 }; ///< Between attempts to reopen the data directory after a storage error.
};

/// Runs RaftCore together with its storage. The caller passes in time, messages and proposals, and runs
/// rounds of begin(), applyCommitted(), persist() and complete(), in this order. The messages of begin() are
/// sent before persist(), so that followers write to their disks in parallel with this replica. persist() may
/// run on another thread while the owner passes in further time, messages and proposals; all other methods
/// must be called from one thread.
///
/// After a storage error, this replica doesn't participate in the log until the data directory can be
/// reopened. The state in memory is then discarded as in a restart, because it isn't known what was made
/// durable.
///
/// Example: `driver.propose(now, wall, payloads, done); for (auto& m : driver.begin()) send(m);
/// driver.applyCommitted(); driver.complete(driver.persist());`
class LogDriver {
public:
    using Callback = std::function<void(bool isCommitted)>;

    /// Reads the data directory and restores the state from its snapshot.
    /// @param files file system of the data directory; must outlive this object.
    /// @param stateMachine the replicated state machine; must outlive this object.
    /// @param now monotonic time.
    /// @throws Error of kind Corrupt or Storage if the directory can't be read.
    LogDriver(LogDriverOptions options, FileSystem& files, ReplicatedStateMachine& stateMachine, Millis now);

    /// Appends commands if this replica is the leader.
    /// @param payloads encoded commands.
    /// @param done called once: with true after the last command was applied, with false when their outcome
    /// is unknown. Not called if this replica isn't the leader.
    /// @return whether this replica is the leader.
    bool propose(Millis now, Millis wall, const std::vector<std::string>& payloads, Callback done);

    /// Begins a round; the other calls of the round must follow.
    /// @return the messages to send.
    std::vector<RaftMessage> begin();

    /// Applies the entries that are already committed, so that they needn't wait for persist().
    /// @throws Error of kind Corrupt if an entry can't be applied.
    void applyCommitted();

    /// @return whether persist() has anything to write in this round.
    bool mustPersist() const { return m_failure.empty() && m_output.persistId != 0; }

    /// Makes the round's changes to the log durable, with at most one sync of the log. May run on another
    /// thread.
    /// @return the storage error; empty on success.
    std::string persist();

    /// Ends the round.
    /// @param error the result of persist().
    /// @throws Error of kind Corrupt if a committed entry can't be applied.
    void complete(const std::string& error);

    /// @return the storage error that keeps this replica from participating in the log; empty if there is
    /// none.
    const std::string& failure() const { return m_failure; }

    /// @return whether a further round is needed.
    bool hasWork() const { return m_hasWork; }

    /// Processes timeouts, and reopens the data directory after a storage error.
    /// @throws Error of kind Corrupt if the reopened data directory is corrupt.
    void tick(Millis now);
    void receive(Millis now, const RaftMessage& message);
    bool form(const LogEntry& entry);
    void addPeer(const std::string& name);
    /// See RaftCore::setDataCentre().
    void setDataCentre(const std::string& name, const std::string& dataCentre);
    /// See RaftCore::setLeaving().
    void setLeaving(Millis now, const ReplicaId& replica, bool isLeaving);
    bool transferLeadership(Millis now);

    /// @param now monotonic time, read just before the call.
    /// @return whether this replica is the leader, holds the lease and has applied all entries of earlier
    /// terms.
    bool isLeading(Millis now) const;

    /// @return name of the leader; empty if unknown or if this replica doesn't participate in the log.
    const std::string& leader() const;

    const RaftCore& core() const { return *m_core; }
    const ReplicaId& self() const { return m_self; }

    /// @return the first entry if it is a configuration and hasn't been compacted; nothing otherwise.
    std::optional<LogEntry> formation() const;

private:
    struct Waiter {
        std::uint64_t index = 0;
        std::uint64_t term = 0;
        Callback done;
    };

    void open(Millis now);
    void tryReopen(Millis now);
    void fail(const std::string& reason);
    void restore(const Snapshot& snapshot);
    void apply(const LogEntry& entry);
    void applyAll(const std::vector<LogEntry>& entries);
    void resolveWaiters(std::uint64_t appliedIndex, std::uint64_t term);
    void failWaiters();
    void takeSnapshotIfDue();
    void provideSnapshot();

    LogDriverOptions m_options;
    FileSystem& m_files;
    ReplicatedStateMachine& m_stateMachine;
    std::unique_ptr<RaftStorage> m_storage;
    ReplicaId m_self;
    std::map<std::string, std::string> m_dataCentres; ///< By name of the replica.
    std::unique_ptr<RaftCore> m_core;
    RaftOutput m_output;
    bool m_hasWork = true;
    std::string m_failure;
    Millis m_lastTick;
    Millis m_reopenAt; ///< When to reopen the data directory after a storage error.
    std::deque<Waiter> m_waiters;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_appliedTerm = 0;
    Millis m_appliedTime;
    std::uint64_t m_snapshotIndex = 0;
    std::uint64_t m_bytesSinceSnapshot = 0;
};

} // namespace celeryline
