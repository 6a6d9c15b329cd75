#include "celeryline/consensus/LogDriver.h"

#include "celeryline/base/Error.h"

#include <algorithm>
#include <utility>

namespace celeryline {

LogDriver::LogDriver(
    LogDriverOptions options, FileSystem& files, ReplicatedStateMachine& stateMachine, Millis now)
    : m_options(std::move(options))
    , m_files(files)
    , m_stateMachine(stateMachine)
{
    open(now);
}

void LogDriver::open(Millis now)
{
    m_storage = std::make_unique<RaftStorage>(m_files, m_options.directory, randomStorageId());
    auto recovered = m_storage->open();
    m_self = { m_options.raft.self.name, recovered.storageId };
    m_options.raft.self = m_self;
    m_appliedIndex = recovered.snapshot.index;
    m_appliedTerm = recovered.snapshot.term;
    m_appliedTime = recovered.snapshot.time;
    m_snapshotIndex = m_appliedIndex;
    m_bytesSinceSnapshot = 0;
    if (recovered.snapshot.index != 0)
        m_stateMachine.restoreSnapshot(recovered.snapshot.state);
    m_core = std::make_unique<RaftCore>(
        m_options.raft, recovered.term, recovered.snapshot, recovered.entries, now);
    for (const auto& [name, dataCentre] : m_dataCentres)
        m_core->setDataCentre(name, dataCentre);
    m_failure.clear();
    m_hasWork = true;
}

void LogDriver::fail(const std::string& reason)
{
    m_failure = reason;
    m_reopenAt = m_lastTick + m_options.reopenInterval;
    m_output = {};
    m_hasWork = false;
    m_stateMachine.clear();
    failWaiters();
}

bool LogDriver::propose(Millis now, Millis wall, const std::vector<std::string>& payloads, Callback done)
{
    if (!m_failure.empty())
        return false;
    auto first = m_core->propose(now, wall, payloads);
    if (first == 0)
        return false;
    m_waiters.push_back({ first + payloads.size() - 1, m_core->term(), std::move(done) });
    m_hasWork = true;
    return true;
}

std::vector<RaftMessage> LogDriver::begin()
{
    m_hasWork = false;
    if (!m_failure.empty())
        return {};
    m_output = m_core->takeOutput();
    return std::move(m_output.messages);
}

void LogDriver::applyCommitted()
{
    // Entries that follow a received snapshot are applied after it has been restored.
    if (m_failure.empty() && m_output.snapshot == nullptr)
        applyAll(std::exchange(m_output.committed, {}));
}

std::string LogDriver::persist()
{
    if (!mustPersist())
        return "";
    try {
        m_storage->persist(m_output);
    } catch (const Error& e) {
        if (e.kind() != ErrorKind::Storage)
            throw;
        return e.what();
    }
    return "";
}

void LogDriver::complete(const std::string& error)
{
    if (!m_failure.empty())
        return;
    auto output = std::exchange(m_output, RaftOutput {});
    if (!error.empty()) {
        fail(error);
        return;
    }
    if (output.persistId != 0) {
        m_core->persisted(output.persistId);
        m_hasWork = true; // Deferred messages and commits can proceed.
    }
    if (output.snapshot != nullptr)
        restore(output.snapshot->snapshot);
    applyAll(output.committed);
    try {
        if (output.needsSnapshot)
            provideSnapshot();
        takeSnapshotIfDue();
    } catch (const Error& e) {
        if (e.kind() != ErrorKind::Storage)
            throw;
        fail(e.what());
    }
}

void LogDriver::restore(const Snapshot& snapshot)
{
    m_stateMachine.restoreSnapshot(snapshot.state);
    m_appliedIndex = snapshot.index;
    m_appliedTerm = snapshot.term;
    m_appliedTime = snapshot.time;
    m_snapshotIndex = snapshot.index;
    m_bytesSinceSnapshot = 0;
}

void LogDriver::applyAll(const std::vector<LogEntry>& entries)
{
    for (const auto& entry : entries)
        apply(entry);
    if (m_core->role() != ConsensusRole::Leader)
        failWaiters();
}

void LogDriver::apply(const LogEntry& entry)
{
    if (entry.kind == LogEntryKind::Command)
        m_stateMachine.apply(entry);
    m_appliedIndex = entry.index;
    m_appliedTerm = entry.term;
    m_appliedTime = entry.time;
    m_bytesSinceSnapshot += entry.payload.size();
    resolveWaiters(entry.index, entry.term);
}

void LogDriver::resolveWaiters(std::uint64_t appliedIndex, std::uint64_t term)
{
    while (!m_waiters.empty() && m_waiters.front().index <= appliedIndex) {
        auto waiter = std::move(m_waiters.front());
        m_waiters.pop_front();
        waiter.done(waiter.index == appliedIndex && waiter.term == term);
    }
}

void LogDriver::failWaiters()
{
    auto waiters = std::exchange(m_waiters, {});
    for (auto& waiter : waiters)
        waiter.done(false);
}

void LogDriver::takeSnapshotIfDue()
{
    if (m_bytesSinceSnapshot < m_options.snapshotBytes
        && m_appliedIndex - m_snapshotIndex < m_options.snapshotEntries)
        return;
    Snapshot snapshot;
    snapshot.index = m_appliedIndex;
    snapshot.term = m_appliedTerm;
    snapshot.time = m_appliedTime;
    snapshot.configuration = m_core->log().configurationAt(m_appliedIndex);
    snapshot.state = m_stateMachine.takeSnapshot();
    m_storage->saveSnapshot(m_appliedIndex, encodeSnapshot(snapshot));
    m_core->compact(m_appliedIndex, m_options.retainedEntries);
    m_snapshotIndex = m_appliedIndex;
    m_bytesSinceSnapshot = 0;
}

void LogDriver::provideSnapshot()
{
    auto bytes = m_storage->loadSnapshot();
    if (bytes.empty())
        return;
    auto snapshot = decodeSnapshot(bytes, "own snapshot");
    m_core->provideSnapshot(
        snapshot.index, snapshot.term, std::make_shared<const std::string>(std::move(bytes)));
    m_hasWork = true;
}

void LogDriver::tryReopen(Millis now)
{
    if (now < m_reopenAt)
        return;
    m_reopenAt = now + m_options.reopenInterval;
    try {
        open(now);
    } catch (const Error& e) {
        if (e.kind() != ErrorKind::Storage)
            throw;
        m_failure = e.what();
    }
}

void LogDriver::tick(Millis now)
{
    m_lastTick = now;
    if (!m_failure.empty())
        tryReopen(now);
    if (!m_failure.empty())
        return;
    m_core->tick(now);
    m_hasWork = true;
}

void LogDriver::receive(Millis now, const RaftMessage& message)
{
    if (!m_failure.empty())
        return; // Raft retransmits lost messages.
    m_core->receive(now, message);
    m_hasWork = true;
}

void LogDriver::addPeer(const std::string& name)
{
    // Kept in the options for the RaftCore that is created after a storage error.
    auto& peers = m_options.raft.peers;
    if (name != m_self.name && std::find(peers.begin(), peers.end(), name) == peers.end())
        peers.push_back(name);
    m_core->addPeer(name);
}

void LogDriver::setDataCentre(const std::string& name, const std::string& dataCentre)
{
    // Kept for the RaftCore that is created after a storage error.
    m_dataCentres[name] = dataCentre;
    m_core->setDataCentre(name, dataCentre);
}

void LogDriver::setLeaving(Millis now, const ReplicaId& replica, bool isLeaving)
{
    m_core->setLeaving(now, replica, isLeaving);
}

const std::string& LogDriver::leader() const
{
    static const std::string unknown;
    return m_failure.empty() ? m_core->leader() : unknown;
}

bool LogDriver::form(const LogEntry& entry)
{
    if (!m_failure.empty())
        return false;
    m_hasWork = true;
    return m_core->form(entry);
}

bool LogDriver::transferLeadership(Millis now)
{
    if (!m_failure.empty())
        return false;
    m_hasWork = true;
    return m_core->transferLeadership(now);
}

bool LogDriver::isLeading(Millis now) const
{
    return m_failure.empty() && m_core->role() == ConsensusRole::Leader && m_appliedTerm == m_core->term()
        && now < m_core->leaseEnd();
}

std::optional<LogEntry> LogDriver::formation() const
{
    const auto& log = m_core->log();
    if (log.baseIndex() != 0 || log.lastIndex() == 0 || log.at(1).kind != LogEntryKind::Configuration)
        return std::nullopt;
    return log.at(1);
}

} // namespace celeryline
