/// @file
/// Replicas of a log that replace lost voters, with a simulated clock and an ideal network and disk.
#pragma once

#include "celeryline/consensus/RaftCore.h"
#include "celeryline/consensus/VoterReplacement.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace celeryline::test {

/// RaftCores that exchange messages without delay and persist immediately. For tests of what replicas report
/// about voters and elections; RaftSimulation tests the protocol under faults.
class VoterCluster {
public:
    static constexpr Millis tickInterval { 25 };
    static constexpr Millis electionTimeout { 500 };
    static constexpr Millis replacementTimeout = voterReplacementTimeout(electionTimeout);

    /// Starts the founders and appends the first entry.
    /// @param founders names of the first voters; their number is the number of voters to maintain.
    explicit VoterCluster(const std::vector<std::string>& founders)
        : m_voterTarget(founders.size())
    {
        VoterConfiguration configuration;
        for (const auto& name : founders) {
            start(name);
            configuration.voters.push_back(idOf(name));
        }
        LogEntry first;
        first.index = 1;
        first.term = 1;
        first.kind = LogEntryKind::Configuration;
        first.payload = encodeConfiguration(configuration);
        for (const auto& [name, core] : m_cores)
            core->form(first);
        deliverAll();
    }

    /// Starts a replica with an empty log.
    /// @param storageId its storage id; a default derived from the name if empty.
    void start(const std::string& name, const std::string& storageId = "")
    {
        m_storageIds[name] = storageId.empty() ? "disk-of-" + name : storageId;
        RaftOptions options;
        options.self = idOf(name);
        options.isDurable = isDurableId(options.self.storageId);
        options.voterTarget = m_voterTarget;
        options.heartbeat = { 100 };
        options.electionTimeout = electionTimeout;
        options.seed = std::hash<std::string>()(name);
        m_cores[name] = std::make_unique<RaftCore>(
            options, TermRecord {}, Snapshot {}, std::vector<LogEntry> {}, m_now);
        for (const auto& [other, core] : m_cores) {
            core->addPeer(name);
            m_cores[name]->addPeer(other);
        }
    }

    /// Removes a replica for good.
    void stop(const std::string& name) { m_cores.erase(name); }

    /// Drops all messages to and from a replica.
    void isolate(const std::string& name) { m_isolated.insert(name); }
    void reconnect(const std::string& name) { m_isolated.erase(name); }

    /// Advances the simulated time.
    void run(Millis duration)
    {
        for (auto end = m_now + duration; m_now < end; m_now = m_now + tickInterval) {
            for (const auto& [name, core] : m_cores)
                core->tick(m_now);
            deliverAll();
            if (onTick)
                onTick();
        }
    }

    /// Runs until a replica leads.
    /// @return the name of the leader; empty if there is none after ten seconds.
    std::string runUntilLeader()
    {
        constexpr Millis limit { 10000 };
        for (auto end = m_now + limit; leader().empty() && m_now < end;)
            run(tickInterval);
        return leader();
    }

    /// @return the name of the leader with the highest term among the replicas that aren't isolated.
    std::string leader() const
    {
        std::string leader;
        std::uint64_t term = 0;
        for (const auto& [name, core] : m_cores) {
            if (core->role() != ConsensusRole::Leader || m_isolated.count(name) != 0 || core->term() < term)
                continue;
            leader = name;
            term = core->term();
        }
        return leader;
    }

    /// @return the name of a replica that isn't the leader.
    std::string follower() const
    {
        for (const auto& [name, core] : m_cores) {
            if (name != leader())
                return name;
        }
        return "";
    }

    RaftCore& core(const std::string& name) { return *m_cores.at(name); }
    const std::map<std::string, std::unique_ptr<RaftCore>>& cores() const { return m_cores; }
    ReplicaId idOf(const std::string& name) const { return { name, m_storageIds.at(name) }; }
    Millis now() const { return m_now; }

    std::function<void()> onTick; ///< Called after each tick.

private:
    void deliverAll()
    {
        for (bool isIdle = false; !isIdle;) {
            isIdle = true;
            for (const auto& [name, core] : m_cores)
                isIdle = !process(*core) && isIdle;
        }
    }

    bool process(RaftCore& core)
    {
        auto output = core.takeOutput();
        core.persisted(output.persistId);
        for (const auto& message : output.messages) {
            auto target = m_cores.find(message.to.name);
            bool isLost = m_isolated.count(message.from.name) + m_isolated.count(message.to.name) != 0;
            if (!isLost && target != m_cores.end())
                target->second->receive(m_now, message);
        }
        return output.persistId != 0 || !output.messages.empty();
    }

    std::size_t m_voterTarget;
    Millis m_now { 1000 };
    std::map<std::string, std::unique_ptr<RaftCore>> m_cores;
    std::map<std::string, std::string> m_storageIds;
    std::set<std::string> m_isolated;
};

} // namespace celeryline::test
