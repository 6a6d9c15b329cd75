/// @file
/// Capacity that moves of machines can add to a pool.
#pragma once

#include "celeryline/machines/PoolPlan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace celeryline {

/// Finds out how much of the site's capacity each pool can get beyond its own: what the other pools don't
/// want, or its part by the pools' wants if that is more. Machines that came to a pool recently count, since
/// they can move on soon.
/// @param demands demand of each pool.
/// @param machines all machines that are up and aren't being moved.
/// @param options as for planPoolMoves().
/// @return thousandths of a core by pool.
std::map<std::string, std::int64_t> reachableMilliCores(const std::vector<PoolDemand>& demands,
    const std::vector<PoolMachine>& machines, const PoolPlanOptions& options);

} // namespace celeryline
