/// @file
/// Selection of the machines that begin their upkeep.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryline {

/// A machine whose upkeep is still to be done.
struct DueMachine {
    std::string machine;
    std::string pool;
    std::int64_t milliCores = 0; ///< Capacity in thousandths of a core.
    std::int64_t inUse = 0; ///< Thousandths of a core in use.
    bool isStandby = false;
    bool hasLongRunningTasks = false; ///< They are moved off it one at a time, so draining takes longer.
};

/// Input of planUpkeep() for one wave.
struct UpkeepPlanInput {
    std::uint32_t maxAtOnce = 1;
    std::uint32_t down = 0; ///< Machines of the wave that are being drained or are down for upkeep.
    Millis timeLeft; ///< Time until the deadline of the wave.
    Millis timePerRound { 5000 }; ///< Time to drain a machine and carry out its upkeep.
    std::map<std::string, std::int64_t> spareMilliCores; ///< Surplus by pool, in thousandths of a core.
    /// By pool: machines with long-running tasks that are being drained.
    std::map<std::string, std::uint32_t> drainingLongRunning;
    /// By pool: number of long-running tasks that can be recalled at once.
    std::map<std::string, std::uint32_t> recallsAtOnce;
};

/// Selects machines of pools with a surplus, those that take longest to drain first. When the deadline is
/// near, selects machines of other pools too, those with the least in use first. Of the machines of a pool
/// with long-running tasks, no more are drained together than tasks can be recalled at once, as long as
/// others are due: otherwise they would occupy all places while the upkeep of the others, which takes no
/// recall, waits.
/// @param due machines whose upkeep is still to be done.
/// @param input state of the wave.
/// @return names of the machines to begin with.
std::vector<std::string> planUpkeep(std::vector<DueMachine> due, UpkeepPlanInput input);

} // namespace celeryline
