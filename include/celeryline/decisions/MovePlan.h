/// @file
/// The decision which pools exchange instances.
#pragma once

#include "celeryline/settings/Settings.h"

#include <string>
#include <vector>

namespace celeryline {

/// How many instances a pool needed at one time.
struct NeedSample {
    Millis at;
    double instances = 0;
};

/// A pool with its recent load.
struct PoolLoad {
    std::string pool;
    int instances = 0; ///< Owned, without those that are moving away, with those that are moving in.
    int stoppable = 0; ///< Instances that the budget permits to stop now (`ServiceAvailability::remaining`).
    bool mayMove = true; ///< False while a wave or an operator works on the pool.
    Millis lastMove { -1 }; ///< Last move from or to it; negative if there was none.
    std::vector<NeedSample> needs; ///< Oldest first.
};

/// Instances that change pools.
struct PoolMove {
    std::string from;
    std::string to;
    int instances = 0;
    std::string reason;
};

/// The moves to start now.
struct MoveDecision {
    std::vector<PoolMove> moves;
    std::vector<std::string> declined; ///< Why a pool that is short of instances gets none.
};

/// A shift must last so long before instances move. A move takes a drain and a reboot, in which the instance
/// serves nobody, and moving it back takes the same again; a shorter shift would cost more than it brings.
/// @param settings timeouts and weights. A higher weight of moves demands a longer shift.
/// @return the time.
Millis moveHysteresis(const MaintenanceSettings& settings);

/// Decides which pools exchange instances. Only shifts that last count: a pool is short by the least that it
/// lacked, and can give the least that it had to spare, during the whole hysteresis. Peaks of seconds
/// are covered by `lendSlots` and never cause a move.
/// @param pools the pools and their loads.
/// @param now the current time.
/// @param settings timeouts and weights.
/// @return the moves.
MoveDecision planMoves(const std::vector<PoolLoad>& pools, Millis now, const MaintenanceSettings& settings);

} // namespace celeryline
