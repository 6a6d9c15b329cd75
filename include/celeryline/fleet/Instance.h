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

/// Where an instance is in its life.
enum class InstancePhase : std::uint8_t {
    Serving, ///< Takes work.
    Draining, ///< Takes no new work; work in progress ends.
    Rebooting, ///< Was told to restart; a new boot epoch ends it.
    Moving, ///< Drains in its old pool before another pool takes it over.
    Failed ///< Its lease lapsed without a permit, or it did not come back.
};

/// An instance of the fleet: a machine with its announced kind and its place.
struct Instance {
    std::string name;
    UpstreamKind kind = UpstreamKind::Runner;
    std::string dataCentre;
    std::string rack;
    LabelSet labels;
    std::string pool; ///< The one pool that owns it; empty if no selector matches.
    std::string nextPool; ///< While moving: the pool that takes it over.
    InstancePhase phase = InstancePhase::Serving;
    Millis phaseSince; ///< Log entry time of the last change of phase.
    std::uint64_t bootEpoch = 0; ///< Of the last registration.
    Resources capacity; ///< As announced; zero for runners.
    bool drained = false; ///< While draining or moving: it has no work in progress any more.
};

inline bool operator==(const Instance& a, const Instance& b)
{
    return std::tie(a.name, a.kind, a.dataCentre, a.rack, a.labels, a.pool, a.nextPool, a.phase, a.phaseSince,
               a.bootEpoch, a.capacity, a.drained)
        == std::tie(b.name, b.kind, b.dataCentre, b.rack, b.labels, b.pool, b.nextPool, b.phase, b.phaseSince,
            b.bootEpoch, b.capacity, b.drained);
}

} // namespace celeryline
