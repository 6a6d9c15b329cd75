/// @file
/// An instance of the fleet.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/labels/LabelSet.h"
#include "celeryline/registry/Announcement.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace celeryline {

/// Lifecycle phase of an instance.
enum class InstancePhase : std::uint8_t {
    Serving, ///< Accepts work.
    Draining, ///< Accepts no new work; work in progress completes.
    Rebooting, ///< Was instructed to reboot; the phase ends when it returns with a new boot epoch.
    Moving, ///< Drains in its current pool before it is transferred to the next one.
    Failed ///< Its lease expired without a permit, or it didn't return after a reboot.
};

/// An instance of the fleet.
struct Instance {
    std::string name;
    UpstreamKind kind = UpstreamKind::Runner;
    std::string dataCentre;
    std::string rack;
    LabelSet labels;
    std::string pool; ///< Pool that owns the instance; empty if no selector matches.
    std::string nextPool; ///< Pool that it joins after its move or return; empty if the pool doesn't change.
    InstancePhase phase = InstancePhase::Serving;
    Millis phaseSince; ///< Log entry time of the last phase change.
    std::uint64_t bootEpoch = 0; ///< Boot epoch of the latest registration or return.
    Resources capacity; ///< Announced capacity; zero for runners.
    bool drained = false; ///< Whether it has no more work in progress while draining or moving.
};

inline bool operator==(const Instance& a, const Instance& b)
{
    return std::tie(a.name, a.kind, a.dataCentre, a.rack, a.labels, a.pool, a.nextPool, a.phase, a.phaseSince,
               a.bootEpoch, a.capacity, a.drained)
        == std::tie(b.name, b.kind, b.dataCentre, b.rack, b.labels, b.pool, b.nextPool, b.phase, b.phaseSince,
            b.bootEpoch, b.capacity, b.drained);
}

} // namespace celeryline
