/// @file
/// What is known in a plan to find no room.
#pragma once

#include "celeryline/jobs/JobSpec.h"

#include <algorithm>
#include <vector>

namespace celeryline {

/// The smallest reservations that found no room in a plan. Room only shrinks in the course of a plan, so what
/// needs as much finds none either.
///
/// Example: `if (!limits.excludes(demand) && !place(demand)) { limits.add(demand); }`
class RoomLimits {
public:
    /// @param demand what a task reserves.
    /// @return whether it is known to find no room.
    bool excludes(const Resources& demand) const
    {
        return std::any_of(m_limits.begin(), m_limits.end(),
            [&](const Resources& limit) { return isCovered(limit, demand); });
    }

    /// Notes that a task found no room.
    /// @param demand what it reserves.
    void add(const Resources& demand)
    {
        m_limits.erase(std::remove_if(m_limits.begin(), m_limits.end(),
                           [&](const Resources& limit) { return isCovered(demand, limit); }),
            m_limits.end());
        m_limits.push_back(demand);
    }

private:
    static bool isCovered(const Resources& a, const Resources& b)
    {
        return a.cpuMilli <= b.cpuMilli && a.memoryMb <= b.memoryMb && a.accelerators <= b.accelerators;
    }

    std::vector<Resources> m_limits; ///< None of them is as large as another one in all resources.
};

} // namespace celeryline
