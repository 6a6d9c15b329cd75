#include "ReplacementSeries.h"

#include <algorithm>

namespace celeryline::test {
namespace {

/// Timing of control processes, in milliseconds.
constexpr std::int64_t heartbeat = 100;
constexpr std::int64_t electionTimeout = 500;
constexpr std::int64_t tickInterval = 25;

constexpr std::int64_t proposalInterval = 20; ///< In milliseconds.

/// A leader commits entries this long after the last disturbance, in milliseconds.
constexpr std::int64_t calmLimit = 5000;

/// The voter set consists of live machines this long after the last machine counts as lost, in milliseconds.
constexpr std::int64_t voterSetLimit = 5000;

/// Time from the start of a successor to the graceful shutdown of its predecessor, and the duration of a
/// shutdown, in milliseconds.
constexpr std::int64_t plannedDelay = 2000;
constexpr std::int64_t shutdownTime = 1500;

/// The state of the simulation is small, so small chunks give snapshots of some thousand entries a real
/// duration.
constexpr std::size_t snapshotChunkBytes = 4000;

} // namespace

ReplacementSeries::ReplacementSeries(std::uint64_t seed, ClusterSize size)
    : simulation(seed, size.machines)
    , m_size(size)
{
    const RaftOptions defaults;
    simulation.raft.voterTarget = size.voters;
    simulation.raft.heartbeat = { heartbeat };
    simulation.raft.electionTimeout = { electionTimeout };
    simulation.raft.maxBatchBytes = defaults.maxBatchBytes;
    simulation.raft.maxInFlightEntries = defaults.maxInFlightEntries;
    simulation.raft.snapshotChunkBytes = snapshotChunkBytes;
    simulation.tickInterval = tickInterval;
    simulation.network.isOrdered = true;
    simulation.snapshotEntries = 1000;
    simulation.start();
    commitsWithin(10000);
}

void ReplacementSeries::step()
{
    while (!m_actions.empty() && m_actions.begin()->first <= simulation.now()) {
        auto action = m_actions.begin()->second;
        m_actions.erase(m_actions.begin());
        action();
    }
    if (simulation.now() % proposalInterval == 0) {
        auto name = simulation.leader();
        if (!name.empty() && !simulation.node(name).isFrozen)
            simulation.propose(name, "c" + std::to_string(m_proposals++));
    }
    simulation.run(1);
}

void ReplacementSeries::fillLog(std::uint64_t entries)
{
    auto end = simulation.committed() + entries;
    while (simulation.committed() < end) {
        for (int i = 0; i < 10; ++i)
            simulation.propose(leader(), "c" + std::to_string(m_proposals++));
        step();
    }
}

void ReplacementSeries::run(std::int64_t milliseconds)
{
    for (std::int64_t i = 0; i < milliseconds; ++i)
        step();
}

bool ReplacementSeries::runUntil(const std::function<bool()>& condition, std::int64_t limit)
{
    for (std::int64_t i = 0; i < limit && !condition(); ++i)
        step();
    return condition();
}

void ReplacementSeries::runUntilNoneLost()
{
    while (lostMachines() != 0)
        step();
}

void ReplacementSeries::markLost(const std::string& name, std::int64_t awayTime)
{
    if (lostMachines() == 0)
        m_hadTooManyLost = false;
    auto& until = m_lostUntil[name];
    until = std::max(until, simulation.now() + awayTime + catchUpTime);
    m_hadTooManyLost = m_hadTooManyLost || lostMachines() > m_size.tolerance();
}

std::size_t ReplacementSeries::lostMachines() const
{
    return static_cast<std::size_t>(std::count_if(m_lostUntil.begin(), m_lostUntil.end(),
        [this](const auto& item) { return item.second > simulation.now(); }));
}

bool ReplacementSeries::mayReplace() const
{
    auto lost = lostMachines();
    return lost == 0 || (!m_hadTooManyLost && lost < m_size.tolerance());
}

std::string ReplacementSeries::replace(const std::string& name, std::int64_t successorDelay)
{
    auto successor = "n" + std::to_string(++m_successors);
    markLost(name, successorDelay);
    simulation.removeNode(name);
    at(simulation.now() + successorDelay, [this, successor] { simulation.addNode(successor); });
    return successor;
}

std::string ReplacementSeries::replacePlanned(const std::string& name)
{
    auto successor = "n" + std::to_string(++m_successors);
    markLost(name, 0);
    simulation.addNode(successor);
    at(simulation.now() + plannedDelay, [this, name] { simulation.shutDown(name); });
    at(simulation.now() + plannedDelay + shutdownTime, [this, name] { simulation.removeNode(name); });
    return successor;
}

void ReplacementSeries::restart(const std::string& name)
{
    if (simulation.hasNode(name) && simulation.node(name).core == nullptr)
        simulation.startNode(name);
}

void ReplacementSeries::wipe(const std::string& name, std::int64_t downTime)
{
    killFor(name, downTime);
    simulation.loseDisk(name);
}

void ReplacementSeries::transferLeadership()
{
    auto name = simulation.leader();
    if (!name.empty() && !simulation.node(name).isFrozen)
        simulation.node(name).core->transferLeadership({ 0 });
}

void ReplacementSeries::killFor(const std::string& name, std::int64_t downTime)
{
    markLost(name, downTime);
    simulation.kill(name);
    at(simulation.now() + downTime, [this, name] { restart(name); });
}

void ReplacementSeries::killAllFor(std::int64_t downTime)
{
    for (const auto& [name, node] : simulation.nodes()) {
        if (node.core != nullptr)
            killFor(name, downTime);
    }
}

void ReplacementSeries::blockIsolated()
{
    simulation.healNetwork();
    for (const auto& [name, until] : m_isolatedUntil) {
        if (until > simulation.now() && simulation.hasNode(name))
            simulation.isolate(name);
    }
}

void ReplacementSeries::isolateFor(const std::string& name, std::int64_t milliseconds)
{
    markLost(name, milliseconds);
    m_isolatedUntil[name] = std::max(m_isolatedUntil[name], simulation.now() + milliseconds);
    blockIsolated();
    at(simulation.now() + milliseconds, [this] { blockIsolated(); });
}

void ReplacementSeries::freezeFor(const std::string& name, std::int64_t milliseconds)
{
    markLost(name, milliseconds);
    simulation.freeze(name);
    at(simulation.now() + milliseconds, [this, name] {
        if (simulation.hasNode(name) && simulation.node(name).isFrozen)
            simulation.thaw(name);
    });
}

bool ReplacementSeries::commitsWithin(std::int64_t limit)
{
    auto before = simulation.committed();
    return runUntil(
        [&] {
            auto name = simulation.leader();
            if (name.empty() || simulation.committed() <= before)
                return false;
            // Entries that an earlier leader left behind don't show that this one can commit.
            const auto& core = *simulation.node(name).core;
            return core.log().termAt(core.commitIndex()) == core.term();
        },
        limit);
}

bool ReplacementSeries::hasTargetVotersWithin(std::int64_t limit)
{
    return runUntil([this] { return simulation.hasTargetVoters(); }, limit);
}

std::string ReplacementSeries::leader()
{
    auto name = simulation.leader();
    return name.empty() ? randomMachine() : name;
}

std::string ReplacementSeries::follower()
{
    auto leader = simulation.leader();
    for (const auto& voter : simulation.committedVoters().voters) {
        if (voter.name != leader && simulation.hasNode(voter.name))
            return voter.name;
    }
    return randomMachine();
}

std::string ReplacementSeries::randomMachine()
{
    std::vector<std::string> names;
    for (const auto& [name, node] : simulation.nodes()) {
        if (node.core != nullptr && !node.isFrozen)
            names.push_back(name);
    }
    return names.empty() ? "" : names[simulation.randomBelow(names.size())];
}

std::string ReplacementSeries::describe()
{
    auto text = "time " + std::to_string(simulation.now()) + ", leader \"" + simulation.leader() + "\"";
    for (const auto& [name, node] : simulation.nodes()) {
        text += "\n" + name;
        if (node.core == nullptr) {
            text += ": down";
            continue;
        }
        text += ": term " + std::to_string(node.core->term()) + ", committed "
            + std::to_string(node.core->commitIndex()) + " of " + std::to_string(node.core->log().lastIndex())
            + ", voters";
        for (const auto& voter : node.core->log().configuration().voters)
            text += " " + voter.name + (simulation.hasNode(voter.name) ? "" : " (removed)");
    }
    return text;
}

std::string findProblem(ReplacementSeries& series)
{
    auto isConverged = [&] { return series.simulation.isConverged(); };
    auto problem = noProblem;
    if (!series.commitsWithin(calmLimit)) {
        problem = "no leader commits entries";
    } else if (!series.hasTargetVotersWithin(voterSetLimit)) {
        problem = "the voter set is incomplete or has a machine that isn't live";
    } else if (!series.simulation.runUntil(isConverged, voterSetLimit)) { // Without further proposals.
        problem = "the replicas don't converge";
    }
    return problem == noProblem ? noProblem : problem + ": " + series.describe();
}

} // namespace celeryline::test
