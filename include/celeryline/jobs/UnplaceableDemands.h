/// @file
/// Demands that a plan has found to be unplaceable.
#pragma once

#include "celeryline/jobs/JobSpec.h"

#include <algorithm>
#include <vector>

namespace celeryline {

/// The smallest reservations for which a plan found no runner. Free capacity only shrinks in the course of a
/// plan, so larger reservations can be skipped.
///
/// Example: `if (!unplaceable.excludes(demand) && !place(demand)) { unplaceable.add(demand); }`
class UnplaceableDemands {
public:
    /// @param demand reservation of a task.
    /// @return whether it is known to fit on no runner.
    bool excludes(const Resources& demand) const
    {
        return std::any_of(m_demands.begin(), m_demands.end(),
            [&](const Resources& known) { return isDominated(known, demand); });
    }

    /// Records that a task fits on no runner.
    /// @param demand its reservation.
    void add(const Resources& demand)
    {
        m_demands.erase(std::remove_if(m_demands.begin(), m_demands.end(),
                            [&](const Resources& known) { return isDominated(demand, known); }),
            m_demands.end());
        m_demands.push_back(demand);
    }

private:
    static bool isDominated(const Resources& a, const Resources& b)
    {
        return a.cpuMilli <= b.cpuMilli && a.memoryMb <= b.memoryMb && a.accelerators <= b.accelerators;
    }

    std::vector<Resources> m_demands; ///< No element dominates another one in all resources.
};

} // namespace celeryline
