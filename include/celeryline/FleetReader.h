/// @file
/// Read access to the newest fleet state.
#pragma once

#include "celeryline/FleetState.h"

#include <memory>

namespace celeryline {

/// Gives the newest fleet state that this instance has applied. Thread-safe.
class FleetReader {
public:
    virtual ~FleetReader() = default;

    /// @return the newest state; its revision never decreases from one call to the next.
    virtual std::shared_ptr<const FleetState> fleet() const = 0;
};

} // namespace celeryline
