/// @file
/// A simulated cluster of RaftCores with a simulated clock, network and storage, on one thread.
#pragma once

#include "MemoryFileSystem.h"
#include "celeryline/base/LogInvariant.h"
#include "celeryline/consensus/RaftCore.h"
#include "celeryline/consensus/RaftStorage.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace celeryline::test {

/// Network fault parameters; probabilities are in percent.
struct NetworkFaults {
    std::uint64_t dropPercent = 0;
    std::uint64_t duplicatePercent = 0;
    std::uint64_t maxDelay = 2; ///< In milliseconds; varying delays reorder messages.
    std::uint64_t minDelay = 1; ///< In milliseconds.
    bool isOrdered = false; ///< Messages from one node to another arrive in order, as over one connection.
};

/// A simulated cluster of RaftCores with their storage. Checks after every step that each term has at most
/// one leader, that no name votes for two candidates in a term, that all nodes apply the same entries and
/// that at most one instance holds a lease.
///
/// With `raft.voterTarget`, nodes can be added and removed while it runs. They find each other as control
/// processes do: a node starts with a few seeds and the voters of its log, and introduces itself to every
/// address that it knows. It is then also checked that the voter set never has more than one voter above the
/// target, and never gains a replica whose disk is known to be lost.
class RaftSimulation {
public:
    struct Node {
        std::string name;
        bool hasDisk = true;
        std::unique_ptr<MemoryFileSystem> files;
        std::unique_ptr<RaftStorage> storage;
        std::unique_ptr<RaftCore> core; ///< Null while the node is down.
        std::string storageId;
        std::int64_t clockOffset = 0;
        std::vector<std::uint64_t> applied; ///< Hash of each applied entry, by index - 1.
        std::uint64_t snapshotIndex = 0;
        std::int64_t restartAt = -1;
        std::int64_t startedAt = 0;
        bool isFrozen = false;
        std::vector<RaftMessage> unread; ///< Received while frozen.
        std::set<std::string> addresses; ///< Names of the nodes to which it introduces itself.
        std::int64_t nextIntroduction = 0;
    };

    /// @param seed seed of all random choices.
    /// @param voters number of instances with a disk, named v0, v1 and so on. All are voters, or the first
    /// `raft.voterTarget` of them.
    /// @param learners number of instances without a disk, named l0 and so on.
    RaftSimulation(std::uint64_t seed, int voters, int learners = 0);

    /// Starts all nodes and appends the first entry on the voters, as formation does.
    void start();
    void startNode(const std::string& name);
    /// Kills a node; its disk keeps all synced data and possibly more.
    void kill(const std::string& name);
    /// Kills a node and replaces its disk with an empty one.
    void loseDisk(const std::string& name);
    /// Drops messages from one node to another, in this direction only.
    void blockLink(const std::string& from, const std::string& to) { m_blockedLinks.insert({ from, to }); }
    /// Disconnects a node from all others in both directions.
    void isolate(const std::string& name);
    void healNetwork() { m_blockedLinks.clear(); }

    /// Adds a node with an empty disk and starts it. Only with `raft.voterTarget`.
    /// @param name a name that no node had before.
    void addNode(const std::string& name);
    /// Removes a node and its disk for good. Messages to it are dropped.
    void removeNode(const std::string& name);
    /// Stops a node's execution without killing it. Messages to it wait until thaw().
    void freeze(const std::string& name) { m_nodes.at(name).isFrozen = true; }
    void thaw(const std::string& name);
    /// Announces the shutdown of a node to all others and transfers its leadership; the node goes on.
    void shutDown(const std::string& name);

    /// Advances the simulated time in steps of a millisecond.
    void run(std::int64_t milliseconds);
    /// Advances the simulated time until a condition holds.
    /// @return whether it held within the limit.
    bool runUntil(const std::function<bool()>& condition, std::int64_t limit = 5000);

    /// Proposes one command.
    /// @return its index; 0 if the node didn't accept it.
    std::uint64_t propose(const std::string& name, const std::string& payload);
    /// @return name of the leader with the highest term; empty if there is none.
    std::string leader();
    /// @return whether all nodes are up and have applied the same entries, at least the given number.
    bool isConverged(std::uint64_t atLeast = 0);
    /// @return whether the leader's committed configuration contains exactly the current storage ids of all
    /// voters.
    bool hasAllVoters();
    /// @return the leader's committed configuration; without voters if there is none.
    VoterConfiguration committedVoters();
    /// @return whether the leader's committed configuration consists of `raft.voterTarget` nodes that are up.
    bool hasTargetVoters();

    Node& node(const std::string& name) { return m_nodes.at(name); }
    std::map<std::string, Node>& nodes() { return m_nodes; }
    bool hasNode(const std::string& name) const { return m_nodes.count(name) != 0; }
    std::int64_t now() const { return m_now; }
    std::uint64_t committed() const { return m_committed.size(); }
    /// @return how many committed entries are configurations.
    std::uint64_t committedConfigurations() const { return m_committedConfigurations; }
    std::uint64_t randomBelow(std::uint64_t limit) { return m_random() % limit; }

    RaftOptions raft; ///< Options of all nodes; their names, peers and seeds are set by the simulation.
    std::map<std::string, std::string> dataCentres; ///< By name; empty for nodes without one.
    std::int64_t tickInterval = 5; ///< In milliseconds.
    NetworkFaults network;
    std::uint64_t snapshotEntries = 50;
    std::function<void(const RaftMessage&)> onMessage; ///< Called for each message sent.

private:
    Node& insertNode(const std::string& name, bool hasDisk);
    void step();
    void deliverDueMessages();
    void process(Node& node);
    void apply(Node& node, const RaftOutput& output);
    void sendMessage(const RaftMessage& message);
    void checkInvariants();
    void checkVoterSet(const Node& leader);
    bool isRunning(const std::string& name) const;
    bool isLinkUp(const std::string& from, const std::string& to) const;
    void initializeAddresses(Node& node);
    void introduce(Node& node);
    void meet(Node& node, const Node& other);
    std::string dataCentreOf(const std::string& name) const;
    template <typename Action> void runWithFaults(Node& node, Action action);
    Millis timeOf(const Node& node) const { return { m_now + node.clockOffset }; }

    std::mt19937_64 m_random;
    std::map<std::string, Node> m_nodes;
    std::vector<std::string> m_voterNames;
    std::map<std::string, std::int64_t> m_addedAt; ///< By name, of nodes added while it runs.
    std::map<std::string, std::int64_t> m_removedAt; ///< By name.
    std::map<std::string, std::int64_t> m_diskLostAt; ///< By storage id.
    std::multimap<std::int64_t, RaftMessage> m_inFlight; ///< By arrival time.
    std::map<std::pair<std::string, std::string>, std::int64_t>
        m_lastArrival; ///< By names of sender and receiver.
    std::set<std::pair<std::string, std::string>> m_blockedLinks;
    std::int64_t m_now = 1000;
    std::uint64_t m_nextStorageId = 1;
    std::vector<std::uint64_t> m_committed; ///< Hash of each entry that any node applied, by index - 1.
    std::uint64_t m_committedConfigurations = 0;
    std::set<std::pair<std::uint64_t, std::uint64_t>>
        m_checkedConfigurations; ///< By term and index of the entry.
    std::map<std::uint64_t, std::string> m_leaders; ///< By term.
    std::map<std::pair<std::uint64_t, std::string>, std::string> m_votes; ///< By term and voter's name.
};

} // namespace celeryline::test
