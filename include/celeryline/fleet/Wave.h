/// @file
/// Maintenance waves and permits.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/labels/Selector.h"

#include <cstdint>
#include <set>
#include <string>
#include <tuple>

namespace celeryline {

/// The state of a maintenance wave.
enum class WaveState : std::uint8_t { Running, Paused, Done };

/// A maintenance wave, which drains, reboots and verifies every selected instance once.
struct Wave {
    std::string name;
    Selector selector;
    WaveState state = WaveState::Running;
    Millis started; ///< Log entry time of the start.
    Millis ended;
    std::set<std::string> pending; ///< Instances that have not completed maintenance.
    std::set<std::string> completed;
    std::set<std::string> abandoned; ///< Instances that didn't return; reported, but no longer waited for.
};

inline bool operator==(const Wave& a, const Wave& b)
{
    return std::tie(a.name, a.selector, a.state, a.started, a.ended, a.pending, a.completed, a.abandoned)
        == std::tie(b.name, b.selector, b.state, b.started, b.ended, b.pending, b.completed, b.abandoned);
}

/// A permit to stop an instance, fenced by the revision that granted it.
struct Permit {
    std::string instance;
    std::string wave; ///< Empty for an operator's drain or a move.
    std::string dataCentre;
    std::uint64_t revision = 0;
    Millis expires; ///< Log entry time at which an unused permit expires; zero for an operator's drain.
};

inline bool operator==(const Permit& a, const Permit& b)
{
    return std::tie(a.instance, a.wave, a.dataCentre, a.revision, a.expires)
        == std::tie(b.instance, b.wave, b.dataCentre, b.revision, b.expires);
}

} // namespace celeryline
