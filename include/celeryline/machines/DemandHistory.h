/// @file
/// What the demand of the pools was lately, and how their peaks rotate.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace celeryline {

/// Demand of each pool, in thousandths of a core.
using DemandByPool = std::map<std::string, std::int64_t>;

/// The highest demand of each pool in an interval.
struct DemandSample {
    Millis from;
    DemandByPool highest;
};

/// Learns from observations how high the demand of the pools rises and in what rotation they peak. The pool
/// with the largest demand leads; a rotation is complete when the first pool that led leads again and every
/// pool with demand has led meanwhile. The history covers three rotations.
class DemandHistory {
public:
    /// Adds an observation. Observations without any demand before the first one with demand are ignored.
    /// @param demand demand of each pool.
    /// @param now steady time.
    void add(const DemandByPool& demand, Millis now);

    /// @return whether a complete rotation, or ten minutes without one, have been observed.
    bool isComplete(Millis now) const;

    /// @return the length of the latest rotation; 0 if none was complete.
    Millis rotation() const { return m_rotation; }

    /// @return whether the pool's next lead begins before a time. True for a pool that leads or has never
    /// led, if its lead is overdue, or without a known rotation.
    bool isPeakDue(const std::string& pool, Millis before) const;

    /// @return the samples, oldest first; the last one is still being filled.
    const std::deque<DemandSample>& samples() const { return m_samples; }

private:
    void addSample(const DemandByPool& demand, Millis now);
    void noteLeader(Millis now);
    bool haveAllLed() const;

    std::deque<DemandSample> m_samples;
    Millis m_startedAt; ///< Time of the first observation with demand.
    DemandByPool m_highest; ///< Highest demand of each pool so far; pools without demand have no entry.
    std::map<std::string, Millis> m_ledAt; ///< When each pool last began to lead.
    std::string m_leader;
    std::string m_first; ///< The pool that led first.
    Millis m_firstLedAt; ///< When it began the rotation that is under way.
    std::map<std::string, Millis> m_ledInRotation; ///< Pools that led in the rotation that is under way.
    Millis m_rotation;
};

} // namespace celeryline
