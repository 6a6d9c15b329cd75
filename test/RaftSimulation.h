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
};

/// A simulated cluster of RaftCores with their storage. Checks after every step that each term has at most
/// one leader, that no name votes for two candidates in a term, that all nodes apply the same entries and
/// that at most one instance holds a lease.
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
    };

    /// @param seed seed of all random choices.
    /// @param voters number of voters, named v0, v1 and so on.
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

    Node& node(const std::string& name) { return m_nodes.at(name); }
    std::map<std::string, Node>& nodes() { return m_nodes; }
    std::uint64_t committed() const { return m_committed.size(); }
    std::uint64_t randomBelow(std::uint64_t limit) { return m_random() % limit; }

    NetworkFaults network;
    std::uint64_t snapshotEntries = 50;
    bool mayTransferAtAnyTime = false;
    std::function<void(const RaftMessage&)> onMessage; ///< Called for each message sent.

private:
    struct InFlightMessage {
        std::int64_t arrivalTime = 0;
        RaftMessage message;
    };

    void step();
    void process(Node& node);
    void apply(Node& node, const RaftOutput& output);
    void sendMessage(const RaftMessage& message);
    void checkInvariants();
    template <typename Action> void runWithFaults(Node& node, Action action);
    Millis timeOf(const Node& node) const { return { m_now + node.clockOffset }; }

    std::mt19937_64 m_random;
    std::map<std::string, Node> m_nodes;
    std::vector<std::string> m_voterNames;
    std::vector<InFlightMessage> m_inFlight;
    std::set<std::pair<std::string, std::string>> m_blockedLinks;
    std::int64_t m_now = 1000;
    std::uint64_t m_nextStorageId = 1;
    std::vector<std::uint64_t> m_committed; ///< Hash of each entry that any node applied, by index - 1.
    std::map<std::uint64_t, std::string> m_leaders; ///< By term.
    std::map<std::pair<std::uint64_t, std::string>, std::string> m_votes; ///< By term and voter's name.
};

} // namespace celeryline::test
