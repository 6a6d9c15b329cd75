#include "celeryline/consensus/ReplicatedLog.h"

#include "celeryline/base/Error.h"
#include "celeryline/base/LogInvariant.h"
#include "celeryline/consensus/CommandCodec.h"
#include "celeryline/consensus/LogFormation.h"
#include "celeryline/settings/Logging.h"

#include <algorithm>

namespace celeryline {

ReplicatedLog::ReplicatedLog(const Settings& settings, const Clock& clock, FileSystem& files,
    PeerTransport* transport, StateMachine& state)
    : m_settings(settings)
    , m_clock(clock)
    , m_transport(transport)
    , m_state(state)
{
    if (!settings.dataDir.empty())
        m_storage = std::make_unique<RaftStorage>(files, settings.dataDir, randomStorageId());
}

ReplicatedLog::~ReplicatedLog() { stop(); }

void ReplicatedLog::start()
{
    RecoveredState recovered;
    if (m_storage != nullptr) {
        recovered = m_storage->open();
    } else {
        recovered.storageId = memoryIdPrefix + randomStorageId();
    }
    m_self = { m_settings.name, recovered.storageId };
    const auto& snapshot = recovered.snapshot;
    if (snapshot.index != 0)
        m_state.restoreSnapshot(snapshot.state);
    m_snapshotIndex = m_appliedIndex = snapshot.index;
    m_appliedTerm = snapshot.term;
    m_appliedTime = snapshot.time;

    RaftOptions options;
    options.self = m_self;
    options.isDurable = m_storage != nullptr;
    for (const auto& peer : m_settings.peers)
        options.peers.push_back(peer.name);
    options.voterNames = m_settings.voters;
    options.heartbeat = m_settings.consensus.heartbeat;
    options.electionTimeout = m_settings.consensus.electionTimeout;
    options.maxBatchBytes = static_cast<std::size_t>(m_settings.consensus.maxBatchBytes);
    options.seed = std::hash<std::string> {}(m_self.name + m_self.storageId)
        ^ static_cast<std::uint64_t>(m_clock.wallTime().count);
    m_core = std::make_unique<RaftCore>(options, recovered.term, snapshot, recovered.entries, m_clock.now());
    LOG4CXX_INFO(logger("consensus"),
        "opened storage " << m_self.storageId << " with snapshot at index " << snapshot.index
                          << ", last entry " << m_core->log().lastIndex());

    bool isOnlyVoter = m_settings.voters == std::vector<std::string> { m_settings.name };
    publishStatus();
    if (isOnlyVoter && m_core->log().lastIndex() == 0) {
        auto entry = collectFormation(ownHello(), m_settings.voters, nullptr, {});
        m_inputs.formations.push_back(*entry);
    }
    m_isRunning = true;
    m_thread = std::thread([this] { run(); });
    bool isNamedVoter = std::find(m_settings.voters.begin(), m_settings.voters.end(), m_settings.name)
        != m_settings.voters.end();
    if (isNamedVoter && !isOnlyVoter && m_transport != nullptr)
        m_formationThread = std::thread([this] { runFormation(); });
}

void ReplicatedLog::stop()
{
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (!m_isRunning || m_isStopping)
            return;
        if (m_status.role == ConsensusRole::Leader && m_status.voters.size() > 1) {
            m_inputs.mustTransfer = true;
            m_inputsChanged.notify_one();
            // The target can win within two election timeouts; after that, the others elect a leader anyway.
            auto limit = m_settings.consensus.electionTimeout.toChrono() * 2;
            m_changed.wait_for(lock, limit, [this] { return m_status.role != ConsensusRole::Leader; });
        }
        m_isStopping = true;
    }
    m_inputsChanged.notify_all();
    m_changed.notify_all();
    m_thread.join();
    if (m_formationThread.joinable())
        m_formationThread.join();
    std::lock_guard<std::mutex> lock(m_mutex);
    m_isRunning = false;
}

Millis ReplicatedLog::maxIdleTime() const
{
    constexpr Millis minimum { 1 };
    auto maximum = std::max(minimum, Millis { m_settings.consensus.heartbeat.count / 2 });
    auto timer = m_core != nullptr ? m_core->nextTimer() : std::nullopt;
    if (!timer)
        return maximum;
    // Rounding up the timeouts of two candidates to the same step would split the votes.
    return std::clamp(*timer - m_clock.now(), minimum, maximum);
}

void ReplicatedLog::run()
{
    for (;;) {
        Inputs inputs;
        auto wait = maxIdleTime().toChrono();
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_inputsChanged.wait_for(lock, wait, [this] {
                return m_isStopping || !m_inputs.messages.empty() || !m_inputs.proposals.empty()
                    || !m_inputs.formations.empty() || m_inputs.mustTransfer;
            });
            if (m_isStopping)
                break;
            std::swap(inputs, m_inputs);
        }
        try {
            processInputs(inputs);
        } catch (const std::exception& e) {
            fail(e.what());
        }
    }
    resolveWaiters(detail::SubmitState::Unknown, false);
}

void ReplicatedLog::processInputs(const Inputs& inputs)
{
    if (m_core == nullptr) {
        std::lock_guard<std::mutex> lock(m_mutex);
        for (const auto& proposal : inputs.proposals)
            proposal.waiter->state = detail::SubmitState::Refused;
        m_changed.notify_all();
        return;
    }
    m_core->tick(m_clock.now());
    for (const auto& message : inputs.messages)
        m_core->receive(m_clock.now(), message);
    for (const auto& entry : inputs.formations)
        m_core->form(entry);
    if (!inputs.proposals.empty())
        propose(inputs.proposals);
    if (inputs.mustTransfer) {
        m_core->transferLeadership(m_clock.now());
        publishStatus(); // The end of the lease must be visible before the target can be elected.
    }
    processOutputs();
    takeSnapshotIfDue();
    bool isLeader = m_core->role() == ConsensusRole::Leader;
    if (m_wasLeader && !isLeader)
        resolveWaiters(detail::SubmitState::Unknown, true);
    if (m_wasLeader != isLeader) {
        LOG4CXX_INFO(
            logger("consensus"), (isLeader ? "leads" : "no longer leads") << " in term " << m_core->term());
    }
    m_wasLeader = isLeader;
    publishStatus();
}

void ReplicatedLog::propose(const std::vector<Proposal>& proposals)
{
    std::vector<std::string> payloads;
    payloads.reserve(proposals.size());
    for (const auto& proposal : proposals)
        payloads.push_back(encodeCommand(proposal.command));
    bool isProposed = m_core->propose(m_clock.now(), m_clock.wallTime(), payloads) != 0;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& proposal : proposals) {
        if (isProposed) {
            proposal.waiter->isProposed = true;
        } else {
            proposal.waiter->state = detail::SubmitState::Refused;
        }
    }
    if (!isProposed)
        m_changed.notify_all();
}

void ReplicatedLog::processOutputs()
{
    for (;;) {
        auto output = m_core->takeOutput();
        for (auto& message : output.messages) {
            if (m_transport != nullptr) {
                auto peer = message.to.name;
                m_transport->sendRaft(peer, std::move(message));
            }
        }
        if (output.persistId != 0) {
            if (m_storage != nullptr)
                m_storage->persist(output);
            m_core->persisted(output.persistId);
        }
        if (output.snapshot != nullptr) {
            const auto& snapshot = output.snapshot->snapshot;
            m_state.restoreSnapshot(snapshot.state);
            m_snapshotIndex = m_appliedIndex = snapshot.index;
            m_appliedTerm = snapshot.term;
            m_appliedTime = snapshot.time;
            resolveWaiters(detail::SubmitState::Unknown, false);
        }
        apply(output.committed);
        if (output.needsSnapshot)
            provideSnapshot();
        if (output.persistId == 0 && output.committed.empty() && output.messages.empty())
            return;
    }
}

void ReplicatedLog::apply(const std::vector<LogEntry>& entries)
{
    std::vector<std::pair<std::string, CommandResult>> results;
    for (const auto& entry : entries) {
        requireInvariant(entry.index == m_appliedIndex + 1, "entries are applied in order, once each");
        if (entry.kind == LogEntryKind::Command) {
            auto command = decodeCommand(entry.payload);
            auto result = m_state.apply(entry.index, entry.time, command);
            results.emplace_back(std::move(command.id), std::move(result));
        }
        m_appliedIndex = entry.index;
        m_appliedTerm = entry.term;
        m_appliedTime = entry.time;
    }
    if (results.empty())
        return;
    std::lock_guard<std::mutex> lock(m_mutex);
    m_status.appliedIndex = m_appliedIndex;
    m_status.revision = m_state.revision();
    for (const auto& [id, result] : results) {
        auto range = m_waiters.equal_range(id);
        for (auto waiter = range.first; waiter != range.second; ++waiter) {
            waiter->second->state = detail::SubmitState::Applied;
            waiter->second->result = result;
        }
    }
    m_changed.notify_all();
}

void ReplicatedLog::takeSnapshotIfDue()
{
    auto interval = static_cast<std::uint64_t>(m_settings.consensus.snapshotEntries);
    if (m_appliedIndex < m_snapshotIndex + interval)
        return;
    if (m_storage != nullptr) {
        Snapshot snapshot;
        snapshot.index = m_appliedIndex;
        snapshot.term = m_appliedTerm;
        snapshot.time = m_appliedTime;
        snapshot.configuration = m_core->log().configurationAt(m_appliedIndex);
        snapshot.state = m_state.takeSnapshot();
        m_storage->saveSnapshot(snapshot.index, encodeSnapshot(snapshot));
    }
    m_snapshotIndex = m_appliedIndex;
    m_core->compact(m_snapshotIndex, interval / 2);
}

void ReplicatedLog::provideSnapshot()
{
    auto bytes = m_storage->loadSnapshot();
    auto snapshot = decodeSnapshot(bytes, "snapshot in \"" + m_settings.dataDir + "\"");
    m_core->provideSnapshot(
        snapshot.index, snapshot.term, std::make_shared<const std::string>(std::move(bytes)));
}

void ReplicatedLog::publishStatus()
{
    StoreStatus status;
    status.role = m_core->role();
    status.leader = m_core->leader();
    status.term = m_core->term();
    status.lastIndex = m_core->log().lastIndex();
    status.commitIndex = m_core->commitIndex();
    status.appliedIndex = m_appliedIndex;
    status.revision = m_state.revision();
    for (const auto& voter : m_core->log().configuration().voters)
        status.voters.push_back(voter.name);
    status.replicas = m_core->replicas();
    std::optional<LogEntry> formation;
    if (status.lastIndex == 1 && m_core->log().baseIndex() == 0)
        formation = m_core->log().at(1);
    std::lock_guard<std::mutex> lock(m_mutex);
    bool isChanged = status.role != m_status.role || status.leader != m_status.leader
        || status.lastIndex != m_status.lastIndex;
    m_status = std::move(status);
    m_formation = std::move(formation);
    m_leaseEnd = m_core->leaseEnd();
    m_leaderContactTime = m_core->leaderContactTime();
    if (isChanged)
        m_changed.notify_all();
}

void ReplicatedLog::fail(const std::string& reason)
{
    LOG4CXX_ERROR(logger("consensus"), "this instance stops participating in the replicated log: " << reason);
    m_core.reset();
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_status.role = ConsensusRole::Learner;
        m_status.leader.clear();
        m_status.failure = reason;
        m_status.replicas.clear();
        m_leaseEnd = { -1 };
    }
    resolveWaiters(detail::SubmitState::Unknown, false);
}

StoreStatus ReplicatedLog::status() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto status = m_status;
    auto now = m_clock.now();
    // Evaluated on each call, because the log's thread may have been paused since it published the status.
    if (status.role == ConsensusRole::Leader) {
        status.hasQuorum = now < m_leaseEnd;
    } else {
        status.hasQuorum
            = !status.leader.empty() && now < m_leaderContactTime + m_settings.consensus.electionTimeout;
    }
    return status;
}

void ReplicatedLog::onRaft(RaftMessage message)
{
    // Raft retransmits dropped messages; the limit bounds the memory that is used while the disk is slow.
    constexpr std::size_t maxQueuedMessages = 4096;
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_inputs.messages.size() < maxQueuedMessages && m_status.failure.empty())
        m_inputs.messages.push_back(std::move(message));
    m_inputsChanged.notify_one();
}

} // namespace celeryline
