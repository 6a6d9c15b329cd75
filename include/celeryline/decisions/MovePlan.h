/// @file
/// Planning of instance moves between pools.
#pragma once

#include "celeryline/settings/Settings.h"

#include <string>
#include <vector>

namespace celeryline {

/// Number of instances that a pool needed at one time.
struct NeedSample {
    Millis at;
    double instances = 0;
};

/// Size and recent load of a pool.
struct PoolLoad {
    std::string pool;
    int instances = 0; ///< Includes instances that are moving in, excludes those that are moving out.
    int stoppable = 0; ///< Instances that the budget permits to stop now (`ServiceAvailability::remaining`).
    bool mayMove = true; ///< False during a wave or an operator's work on the pool.
    Millis lastMove { -1 }; ///< Time of the last move from or to it; negative if there was none.
    std::vector<NeedSample> needs; ///< Oldest first.
};

/// A move of instances between two pools.
struct PoolMove {
    std::string from;
    std::string to;
    int instances = 0;
    std::string reason;
};

/// Moves to start now.
struct MoveDecision {
    std::vector<PoolMove> moves;
    std::vector<std::string> declined; ///< Reasons why pools with a shortage get too few instances.
};

/// Minimum duration of a load shift before instances move. A move takes a drain and a reboot, during which
/// the instance serves no requests, and so does moving it back; for a shorter shift this costs more than it
/// gains.
/// @param settings timeouts and weights. A higher weight of moves requires a longer shift.
/// @return the duration.
Millis moveHysteresis(const MaintenanceSettings& settings);

/// Plans moves of instances between pools for sustained load shifts: the shortage and the surplus of a pool
/// are their minimum over the whole hysteresis time. Peaks of several seconds are covered by `lendSlots` and
/// never cause a move.
/// @param pools the pools and their loads.
/// @param now the current time.
/// @param settings timeouts and weights.
/// @return the moves.
MoveDecision planMoves(const std::vector<PoolLoad>& pools, Millis now, const MaintenanceSettings& settings);

} // namespace celeryline
