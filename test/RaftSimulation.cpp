#include "RaftSimulation.h"

#include "celeryline/base/ByteCodec.h"

#include <algorithm>

namespace celeryline::test {
namespace {

const char* const directory = "data";

std::uint64_t hashOf(const LogEntry& entry)
{
    return std::hash<std::string> {}(std::to_string(entry.index) + "/" + std::to_string(entry.term) + "/"
        + std::to_string(static_cast<int>(entry.kind)) + "/" + entry.payload);
}

} // namespace

RaftSimulation::RaftSimulation(std::uint64_t seed, int voters, int learners)
    : m_random(seed)
{
    raft.maxBatchBytes = 2000;
    raft.maxInFlightEntries = 40;
    raft.snapshotChunkBytes = 100;
    for (int i = 0; i < voters; ++i) {
        m_voterNames.push_back("v" + std::to_string(i));
        insertNode(m_voterNames.back(), true);
    }
    for (int i = 0; i < learners; ++i)
        insertNode("l" + std::to_string(i), false);
}

RaftSimulation::Node& RaftSimulation::insertNode(const std::string& name, bool hasDisk)
{
    Node node;
    node.name = name;
    node.hasDisk = hasDisk;
    node.files = std::make_unique<MemoryFileSystem>(m_random());
    node.clockOffset = static_cast<std::int64_t>(randomBelow(1000000));
    return m_nodes.emplace(name, std::move(node)).first->second;
}

void RaftSimulation::start()
{
    for (auto& [name, node] : m_nodes)
        startNode(name);
    auto founders = m_voterNames;
    if (raft.voterTarget != 0)
        founders.resize(std::min(founders.size(), raft.voterTarget));
    LogEntry first;
    first.index = 1;
    first.term = 1;
    first.kind = LogEntryKind::Configuration;
    VoterConfiguration configuration;
    for (const auto& name : founders)
        configuration.voters.push_back({ name, m_nodes.at(name).storageId });
    first.payload = encodeConfiguration(configuration);
    for (const auto& name : founders) {
        m_nodes.at(name).core->form(first);
        process(m_nodes.at(name));
    }
}

void RaftSimulation::startNode(const std::string& name)
{
    auto& node = m_nodes.at(name);
    node.restartAt = -1;
    node.startedAt = m_now;
    node.applied.clear();
    runWithFaults(node, [&] {
        RecoveredState state;
        auto newId = "id" + std::to_string(m_nextStorageId++);
        if (node.hasDisk) {
            node.storage = std::make_unique<RaftStorage>(*node.files, directory, newId);
            state = node.storage->open();
        } else {
            state.storageId = memoryIdPrefix + newId;
        }
        node.storageId = state.storageId;
        node.snapshotIndex = state.snapshot.index;
        node.applied.assign(
            m_committed.begin(), m_committed.begin() + static_cast<std::ptrdiff_t>(state.snapshot.index));
        auto options = raft;
        options.self = { name, node.storageId };
        options.isDurable = node.hasDisk;
        if (raft.voterTarget == 0) {
            options.voterNames = m_voterNames;
            for (const auto& [other, unused] : m_nodes) {
                if (other != name)
                    options.peers.push_back(other);
            }
        }
        options.seed = m_random();
        node.core
            = std::make_unique<RaftCore>(options, state.term, state.snapshot, state.entries, timeOf(node));
    });
    if (raft.voterTarget != 0 && node.core != nullptr)
        initializeAddresses(node);
}

void RaftSimulation::kill(const std::string& name)
{
    auto& node = m_nodes.at(name);
    node.core.reset();
    node.storage.reset();
    node.isFrozen = false;
    node.unread.clear();
    node.files->powerLoss();
}

void RaftSimulation::loseDisk(const std::string& name)
{
    kill(name);
    m_diskLostAt[m_nodes.at(name).storageId] = m_now;
    m_nodes.at(name).files->loseDisk();
}

void RaftSimulation::isolate(const std::string& name)
{
    for (const auto& [other, node] : m_nodes) {
        blockLink(name, other);
        blockLink(other, name);
    }
}

template <typename Action> void RaftSimulation::runWithFaults(Node& node, Action action)
{
    try {
        action();
    } catch (const PowerLoss&) {
        kill(node.name);
    } catch (const Error& e) {
        // A full disk stops the node until there is free space again; other errors are bugs.
        requireInvariant(e.kind() == ErrorKind::Storage, e.what());
        kill(node.name);
    }
}

void RaftSimulation::run(std::int64_t milliseconds)
{
    for (auto end = m_now + milliseconds; m_now < end;)
        step();
}

bool RaftSimulation::runUntil(const std::function<bool()>& condition, std::int64_t limit)
{
    for (auto end = m_now + limit; m_now < end && !condition();)
        step();
    return condition();
}

void RaftSimulation::step()
{
    ++m_now;
    deliverDueMessages();
    for (auto& [name, node] : m_nodes) {
        if (node.core == nullptr && node.restartAt >= 0 && m_now >= node.restartAt) {
            startNode(name);
            continue;
        }
        if (!isRunning(name))
            continue;
        if ((m_now - node.startedAt) % tickInterval == 0) {
            node.core->tick(timeOf(node));
            process(node);
        }
        if (raft.voterTarget != 0 && m_now >= node.nextIntroduction && isRunning(name))
            introduce(node);
    }
    checkInvariants();
}

void RaftSimulation::deliverDueMessages()
{
    while (!m_inFlight.empty() && m_inFlight.begin()->first <= m_now) {
        auto message = std::move(m_inFlight.begin()->second);
        m_inFlight.erase(m_inFlight.begin());
        auto found = m_nodes.find(message.to.name);
        if (found == m_nodes.end() || found->second.core == nullptr
            || !isLinkUp(message.from.name, message.to.name))
            continue;
        auto& node = found->second;
        if (node.isFrozen) {
            node.unread.push_back(std::move(message));
            continue;
        }
        node.core->receive(timeOf(node), message);
        process(node);
    }
}

void RaftSimulation::process(Node& node)
{
    runWithFaults(node, [&] {
        for (;;) {
            auto output = node.core->takeOutput();
            for (const auto& message : output.messages)
                sendMessage(message);
            if (output.persistId != 0) {
                if (node.storage != nullptr)
                    node.storage->persist(output);
                node.core->persisted(output.persistId);
            }
            apply(node, output);
            if (output.needsSnapshot) {
                auto bytes = std::make_shared<const std::string>(node.storage->loadSnapshot());
                auto snapshot = decodeSnapshot(*bytes, "snapshot");
                node.core->provideSnapshot(snapshot.index, snapshot.term, bytes);
            }
            if (output.persistId == 0 && output.messages.empty() && output.committed.empty())
                break;
        }
        auto applied = node.applied.size();
        if (applied < node.snapshotIndex + snapshotEntries)
            return;
        if (node.storage != nullptr) {
            Snapshot snapshot;
            snapshot.index = applied;
            snapshot.term = node.core->log().at(applied).term;
            snapshot.time = node.core->log().at(applied).time;
            snapshot.configuration = node.core->log().configurationAt(applied);
            for (auto hash : node.applied)
                detail::appendInteger(snapshot.state, hash);
            node.storage->saveSnapshot(applied, encodeSnapshot(snapshot));
        }
        node.snapshotIndex = applied;
        node.core->compact(applied, snapshotEntries / 2);
    });
}

void RaftSimulation::apply(Node& node, const RaftOutput& output)
{
    if (output.snapshot != nullptr) {
        node.applied.clear();
        detail::ByteReader reader(output.snapshot->snapshot.state, "state");
        while (!reader.atEnd())
            node.applied.push_back(reader.integer<std::uint64_t>());
        node.snapshotIndex = node.applied.size();
        requireInvariant(node.snapshotIndex <= m_committed.size()
                && std::equal(node.applied.begin(), node.applied.end(), m_committed.begin()),
            "a snapshot holds the committed entries");
    }
    for (const auto& entry : output.committed) {
        requireInvariant(entry.index == node.applied.size() + 1, "entries are applied in order");
        node.applied.push_back(hashOf(entry));
        if (entry.index > m_committed.size()) {
            m_committed.push_back(node.applied.back());
            m_committedConfigurations += entry.kind == LogEntryKind::Configuration ? 1 : 0;
        }
        requireInvariant(
            m_committed[entry.index - 1] == node.applied.back(), "all nodes apply the same entries");
    }
}

void RaftSimulation::sendMessage(const RaftMessage& message)
{
    if (onMessage)
        onMessage(message);
    if (message.kind == RaftMessageKind::VoteReply && !message.rejected) {
        auto [vote, isNew]
            = m_votes.emplace(std::make_pair(message.term, message.from.name), message.to.name);
        requireInvariant(vote->second == message.to.name, "a name votes once per term");
    }
    if (message.kind == RaftMessageKind::Vote) {
        auto [vote, isNew]
            = m_votes.emplace(std::make_pair(message.term, message.from.name), message.from.name);
        requireInvariant(vote->second == message.from.name, "a name votes once per term");
    }
    auto copies = randomBelow(100) < network.duplicatePercent ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (randomBelow(100) >= network.dropPercent) {
            auto delay = network.minDelay + randomBelow(network.maxDelay - network.minDelay + 1);
            auto arrivalTime = m_now + static_cast<std::int64_t>(delay);
            auto& lastArrival = m_lastArrival[{ message.from.name, message.to.name }];
            if (network.isOrdered)
                arrivalTime = std::max(arrivalTime, lastArrival);
            lastArrival = arrivalTime;
            m_inFlight.emplace(arrivalTime, message);
        }
    }
}

void RaftSimulation::checkInvariants()
{
    int leases = 0;
    for (auto& [name, node] : m_nodes) {
        if (node.core == nullptr || node.core->role() != ConsensusRole::Leader)
            continue;
        auto id = name + "/" + node.storageId;
        auto [known, isNew] = m_leaders.emplace(node.core->term(), id);
        requireInvariant(known->second == id, "at most one leader per term");
        leases += node.core->leaseEnd() > timeOf(node) ? 1 : 0;
        if (raft.voterTarget != 0)
            checkVoterSet(node);
    }
    requireInvariant(leases <= 1, "at most one lease at a time");
}

std::uint64_t RaftSimulation::propose(const std::string& name, const std::string& payload)
{
    auto& node = m_nodes.at(name);
    if (node.core == nullptr)
        return 0;
    auto index = node.core->propose(timeOf(node), { m_now }, { payload });
    process(node);
    return index;
}

std::string RaftSimulation::leader()
{
    std::string best;
    std::uint64_t term = 0;
    for (auto& [name, node] : m_nodes) {
        if (node.core != nullptr && node.core->role() == ConsensusRole::Leader && node.core->term() > term) {
            best = name;
            term = node.core->term();
        }
    }
    return best;
}

bool RaftSimulation::isConverged(std::uint64_t atLeast)
{
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto& item) {
        return item.second.core != nullptr && item.second.applied == m_committed;
    }) && m_committed.size() >= atLeast;
}

bool RaftSimulation::hasAllVoters()
{
    auto name = leader();
    if (name.empty())
        return false;
    const auto& core = *node(name).core;
    if (core.commitIndex() < core.log().configurationIndex())
        return false;
    const auto& configuration = core.log().configuration();
    return configuration.voters.size() == m_voterNames.size()
        && std::all_of(m_voterNames.begin(), m_voterNames.end(), [&](const std::string& voter) {
               return node(voter).core != nullptr && configuration.contains({ voter, node(voter).storageId });
           });
}

} // namespace celeryline::test
