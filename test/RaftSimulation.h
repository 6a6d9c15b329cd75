/// @file
/// Several RaftCores with their storage, joined by a message queue, on one thread and a simulated clock.
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

/// How bad the network is; probabilities are in percent.
struct NetworkFaults {
    std::uint64_t dropPercent = 0;
    std::uint64_t duplicatePercent = 0;
    std::uint64_t maxDelay = 2; ///< Milliseconds; different delays reorder messages.
};

/// Several RaftCores with their storage. Checks after every step that a term has one leader, that no name
/// votes for two candidates in a term, that every applied entry is the same everywhere and that only one
/// instance holds a lease.
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

    /// @param seed of all random choices.
    /// @param voters number of voters, named v0, v1 and so on.
    /// @param learners number of instances without a disk, named l0 and so on.
    RaftSimulation(std::uint64_t seed, int voters, int learners = 0);

    /// Starts all nodes; the voters get the first entry as from a formation.
    void start();
    void startNode(const std::string& name);
    /// Kills a node; its disk keeps what was synced and perhaps more.
    void kill(const std::string& name);
    /// Kills a node and replaces its disk by an empty one.
    void loseDisk(const std::string& name);
    /// Cuts messages from one node to another, in this direction only.
    void cut(const std::string& from, const std::string& to) { m_cuts.insert({ from, to }); }
    /// Cuts a node off from all others in both directions.
    void isolate(const std::string& name);
    void heal() { m_cuts.clear(); }

    /// Lets time pass, in steps of a millisecond.
    void run(std::int64_t milliseconds);
    /// Lets time pass until a condition holds.
    /// @return whether it held in time.
    bool runUntil(const std::function<bool()>& condition, std::int64_t limit = 5000);

    /// Proposes one command.
    /// @return its index, 0 if the node did not take it.
    std::uint64_t propose(const std::string& name, const std::string& payload);
    /// @return the node that leads and is connected best: the leader of the highest term; empty if none.
    std::string leader();
    /// @return whether all nodes are up and applied the same entries, of the number given at least.
    bool isConverged(std::uint64_t atLeast = 0);
    /// @return whether the leader's committed configuration has exactly the current storages of all voters.
    bool isFullStrength();

    Node& node(const std::string& name) { return m_nodes.at(name); }
    std::map<std::string, Node>& nodes() { return m_nodes; }
    std::uint64_t committed() const { return m_committed.size(); }
    std::uint64_t below(std::uint64_t limit) { return m_random() % limit; }

    NetworkFaults network;
    std::uint64_t snapshotEntries = 50;
    bool mayTransferAtAnyTime = false;
    std::function<void(const RaftMessage&)> onMessage; ///< Sees each message that is sent.

private:
    struct Travelling {
        std::int64_t at = 0;
        RaftMessage message;
    };

    void step();
    void process(Node& node);
    void apply(Node& node, const RaftOutput& output);
    void sendMessage(const RaftMessage& message);
    void check();
    template <typename Action> void guarded(Node& node, Action action);
    Millis timeOf(const Node& node) const { return { m_now + node.clockOffset }; }

    std::mt19937_64 m_random;
    std::map<std::string, Node> m_nodes;
    std::vector<std::string> m_voterNames;
    std::vector<Travelling> m_travelling;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::int64_t m_now = 1000;
    std::uint64_t m_nextStorageId = 1;
    std::vector<std::uint64_t> m_committed; ///< Hash of each entry that any node applied, by index - 1.
    std::map<std::uint64_t, std::string> m_leaders; ///< By term.
    std::map<std::pair<std::uint64_t, std::string>, std::string> m_votes; ///< By term and voter's name.
};

} // namespace celeryline::test
