/// @file
/// Removal and replacement of a simulated cluster's machines within the tolerance of the platform.
#pragma once

#include "RaftSimulation.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace celeryline::test {

/// Sizes of a cluster.
struct ClusterSize {
    int machines = 3; ///< Machines with a disk.
    std::size_t voters = 3;

    /// @return how many machines may be lost at the same time.
    std::size_t tolerance() const { return (voters - 1) / 2; }
};

/// A cluster of control processes under load, whose machines are removed and replaced in series. Losses that
/// end by themselves are scheduled, and run() carries them out. A machine counts as lost while it is away and
/// for the catch-up time after it, or its successor, is back.
class ReplacementSeries {
public:
    /// The platform's catch-up time in milliseconds: a machine counts as lost until it has run for this long.
    static constexpr std::int64_t catchUpTime = 4000;

    /// Starts the cluster and waits until it commits entries.
    ReplacementSeries(std::uint64_t seed, ClusterSize size);

    /// Commits entries quickly, so that a new machine has more to catch up with.
    void fillLog(std::uint64_t entries);
    /// Advances the time, with one proposal each 20 ms.
    void run(std::int64_t milliseconds);
    /// @return whether the condition held within the limit in milliseconds.
    bool runUntil(const std::function<bool()>& condition, std::int64_t limit);
    /// Runs until the machines that are lost no longer count as such.
    void runUntilNoneLost();

    /// Removes a machine for good and starts its successor after a while.
    /// @return the successor's name.
    std::string replace(const std::string& name, std::int64_t successorDelay);
    /// Starts the successor of a machine at once, and shuts the machine down for good after a while.
    /// @return the successor's name.
    std::string replacePlanned(const std::string& name);
    /// Kills a machine, which loses its disk and restarts at its old address after a while.
    void wipe(const std::string& name, std::int64_t downTime);
    /// Makes the leader, if there is one, hand over to another voter. No machine is lost.
    void transferLeadership();
    void killFor(const std::string& name, std::int64_t downTime);
    void killAllFor(std::int64_t downTime);
    void isolateFor(const std::string& name, std::int64_t milliseconds);
    void freezeFor(const std::string& name, std::int64_t milliseconds);

    /// @return how many machines count as lost.
    std::size_t lostMachines() const;
    /// @return whether the loss of another disk is within the tolerance. Once more machines are lost than it
    /// allows, the voter set can't follow before they are back, so all have to be back first.
    bool mayReplace() const;
    /// @return whether an entry is committed within the limit in milliseconds.
    bool commitsWithin(std::int64_t limit);
    /// @return whether the voter set consists of live machines and has its target size within the limit in
    /// milliseconds.
    bool hasTargetVotersWithin(std::int64_t limit);
    /// @return the leader; a random machine if there is none.
    std::string leader();
    /// @return a voter other than the leader; a random machine if there is no leader.
    std::string follower();
    /// @return a random machine that is up and not frozen; empty if there is none.
    std::string randomMachine();
    /// @return the leader, its voters and all machines, for messages of failed tests.
    std::string describe();

    RaftSimulation simulation;

private:
    void at(std::int64_t time, std::function<void()> action) { m_actions.emplace(time, std::move(action)); }
    void markLost(const std::string& name, std::int64_t awayTime);
    void step();
    void restart(const std::string& name);
    void blockIsolated();

    ClusterSize m_size;
    std::multimap<std::int64_t, std::function<void()>> m_actions; ///< By time.
    std::map<std::string, std::int64_t> m_lostUntil; ///< By name.
    std::map<std::string, std::int64_t> m_isolatedUntil; ///< By name.
    bool m_hadTooManyLost = false; ///< Since the last time at which no machine counted as lost.
    int m_successors = 0;
    int m_proposals = 0;
};

inline const ClusterSize threeMachines { 3, 3 };
inline const ClusterSize fourMachines { 4, 3 };
inline const ClusterSize eightMachines { 8, 5 };

/// A successor usually starts this long after a machine was removed, in milliseconds.
inline constexpr std::int64_t successorDelay = 300;

/// Result of findProblem() if there is none.
inline const std::string noProblem;

/// @return why the cluster doesn't serve writes with a voter set of live machines; noProblem if it does.
std::string findProblem(ReplacementSeries& series);

} // namespace celeryline::test
