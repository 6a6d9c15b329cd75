/// @file
/// Assignment of machines to pools by demand.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryline {

/// Resource demand of the jobs of a pool. Work is in core-milliseconds, use in thousandths of a core.
struct PoolDemand {
    std::string pool;
    std::int64_t backlog = 0; ///< Waiting work of jobs that can still meet their objective.
    /// The part of the backlog whose steps depend on unfinished steps; it reuses their cores.
    std::int64_t dependentBacklog = 0;
    std::int64_t lateBacklog = 0; ///< Waiting work of jobs that can no longer meet it.
    std::int64_t inUse = 0; ///< Thousandths of a core in use by finite tasks of jobs that can meet it.
    std::int64_t longRunning = 0; ///< Thousandths of a core reserved by long-running tasks.
    std::int64_t arrivalRate = 0; ///< Average rate of submitted work, in thousandths of a core.
    /// Minimum number of machines that the limits of tasks per runner require.
    std::uint32_t minMachines = 0;
    /// Number of long-running tasks that the limits of their steps allow to be unavailable at once.
    std::uint32_t recallsAtOnce = 0;
    /// A task waits that fits no machine of the pool, and no machine is arriving.
    bool needsMachine = false;
};

/// A machine that can be moved to another pool.
struct PoolMachine {
    std::string machine;
    std::string pool;
    std::int64_t milliCores = 0; ///< Capacity in thousandths of a core.
    bool isStandby = false; ///< It is in a standby pool, whose machines are off.
    bool isPinned = false; ///< It runs long-running tasks, or has another operation pending.
    bool isNewInPool = false; ///< It arrived so recently that its tasks have hardly begun.
    std::int64_t inUse = 0; ///< Thousandths of a core in use.
    bool isEmpty = true; ///< It runs nothing, not even tasks that reserve no CPU.
};

/// A move of a machine to another pool.
struct MachineMove {
    std::string machine;
    std::string pool; ///< The target pool.
};

inline bool operator==(const MachineMove& a, const MachineMove& b)
{
    return a.machine == b.machine && a.pool == b.pool;
}

/// Settings of planPoolMoves().
struct PoolPlanOptions {
    Millis horizon { 2000 }; ///< Time in which a backlog should be processed.
    double usableFraction = 0.85; ///< Fraction of a machine that tasks of mixed sizes can fill.
    bool usesStandby = true; ///< Whether standby machines may be moved.
    /// Whether standby machines may be moved for steps that depend on unfinished steps. Such steps mostly run
    /// on the cores of those before them, so machines that are switched on for them stay idle.
    bool usesStandbyForDependents = true;
};

/// @param demand demand of the pool's jobs.
/// @param options settings.
/// @return target capacity of the pool in thousandths of a core.
std::int64_t wantedMilliCores(const PoolDemand& demand, const PoolPlanOptions& options);

/// @param demand demand of the pool's jobs.
/// @param options settings.
/// @return wantedMilliCores() without the steps that depend on unfinished steps.
std::int64_t wantedWithoutDependents(PoolDemand demand, const PoolPlanOptions& options);

/// Plans moves for a load in which the queues peak in turn at several times their mean. Pools with a shortage
/// get machines from pools with a surplus, idle machines first, then standby machines. The pool with the
/// largest shortage is served first. A shortage for steps that are ready also takes machines that another
/// pool keeps only for dependent steps. A pool with a waiting task that fits none of its machines gets one
/// machine regardless of its demand.
/// @param demands demand of each pool; pools without an entry have none.
/// @param machines all machines that are up.
/// @param options settings.
/// @return the moves.
std::vector<MachineMove> planPoolMoves(const std::vector<PoolDemand>& demands,
    const std::vector<PoolMachine>& machines, const PoolPlanOptions& options);

} // namespace celeryline
