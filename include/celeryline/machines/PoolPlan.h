/// @file
/// The decision which machines change their pool.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryline {

/// What the jobs of a pool ask for. Work is in core-milliseconds, use in thousandths of a core.
struct PoolDemand {
    std::string pool;
    std::int64_t backlog = 0; ///< Work that waits, of jobs that can still end in time.
    /// The part of the backlog whose steps wait for other steps; it takes over their cores.
    std::int64_t followingBacklog = 0;
    std::int64_t lateBacklog = 0; ///< Work that waits, of jobs that can't.
    std::int64_t inUse = 0; ///< Thousandths of a core that run tasks with an end, of jobs in time.
    std::int64_t lasting = 0; ///< Thousandths of a core that long-running tasks reserve.
    std::int64_t arrivals = 0; ///< Work that was submitted lately, in thousandths of a core.
    std::uint32_t fewestMachines
        = 0; ///< So many different machines are needed for tasks that are kept apart.
    /// A task waits that no machine of the pool has room for, and none is on its way.
    bool needsMachine = false;
};

/// A machine that could change its pool.
struct PoolMachine {
    std::string machine;
    std::string pool;
    std::int64_t cores = 0; ///< Thousandths.
    bool isStandby = false; ///< Its pool is off.
    bool isPinned = false; ///< Holds tasks that last, or is due for something else.
    bool isFresh = false; ///< It came to its pool so recently that its tasks have hardly begun.
    std::int64_t inUse = 0; ///< Thousandths of a core in use.
};

/// A machine that changes its pool.
struct MachineMove {
    std::string machine;
    std::string pool; ///< The new one.
};

inline bool operator==(const MachineMove& a, const MachineMove& b)
{
    return a.machine == b.machine && a.pool == b.pool;
}

/// Constants of planPoolMoves().
struct PoolPlanOptions {
    Millis horizon { 2000 }; ///< A backlog should be worked off in so much time.
    double usableShare = 0.85; ///< Part of a machine that tasks of mixed sizes fill.
    bool usesStandby = true; ///< Machines that are off may be taken.
};

/// @param demand what a pool's jobs ask for.
/// @param options constants.
/// @return thousandths of a core that the pool should have.
std::int64_t wantedCores(const PoolDemand& demand, const PoolPlanOptions& options);

/// Answers a load in which queues take turns at several times their mean: pools that ask for more than they
/// have get machines from pools that ask for less, idle ones first, and then machines that are off. A pool
/// that lacks more is served first. Pools that lack machines for steps whose turn has come also get those
/// that another pool keeps for later steps only. A pool without room for a task that waits gets one more
/// machine, whatever its demand.
/// @param demands what the pools' jobs ask for; pools without an entry ask for nothing.
/// @param machines all machines that are up.
/// @param options constants.
/// @return the moves.
std::vector<MachineMove> planPoolMoves(const std::vector<PoolDemand>& demands,
    const std::vector<PoolMachine>& machines, const PoolPlanOptions& options);

} // namespace celeryline
