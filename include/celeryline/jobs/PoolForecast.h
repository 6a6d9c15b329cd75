/// @file
/// Capacity of a pool over time, and the time that it needs for an amount of work.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/registry/Announcement.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace celeryline {

/// An amount of work: reserved resources times the milliseconds for which they are reserved.
struct ResourceWork {
    double cpu = 0;
    double memory = 0;
    double accelerators = 0;

    ResourceWork& operator+=(const ResourceWork& other)
    {
        cpu += other.cpu;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
};

inline ResourceWork operator+(ResourceWork a, const ResourceWork& b) { return a += b; }
inline ResourceWork operator*(const ResourceWork& work, double factor)
{
    return { work.cpu * factor, work.memory * factor, work.accelerators * factor };
}

/// @param reserved resources.
/// @param milliseconds for how long they are reserved.
/// @return the work.
inline ResourceWork workOf(const Resources& reserved, double milliseconds)
{
    return ResourceWork { static_cast<double>(reserved.cpuMilli), static_cast<double>(reserved.memoryMb),
        static_cast<double>(reserved.accelerators) }
    * milliseconds;
}

/// Capacity that a pool has from some time on.
struct CapacityStep {
    Millis after;
    Resources added;
};

/// Capacity of a pool in ascending order of time; empty if it is unknown.
using PoolForecast = std::vector<CapacityStep>;

/// @param forecast a pool's capacity.
/// @return its capacity after the last step.
Resources finalCapacity(const PoolForecast& forecast);

/// @param work an amount of work.
/// @param forecast a pool's capacity.
/// @return the time in which the pool completes the work, by the scarcest resource; nothing if it never does.
std::optional<Millis> timeToComplete(const ResourceWork& work, const PoolForecast& forecast);

} // namespace celeryline
