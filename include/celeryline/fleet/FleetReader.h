/// @file
/// Read access to the newest fleet state.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/fleet/FleetState.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <thread>

namespace celeryline {

/// Gives the newest fleet state that this instance has applied. Thread-safe.
class FleetReader {
public:
    virtual ~FleetReader() = default;

    /// @return the newest state; its revision never decreases from one call to the next.
    virtual std::shared_ptr<const FleetState> fleet() const = 0;

    /// Waits for a revision. This default polls; implementations that are notified should override it.
    /// @param revision the revision to wait for.
    /// @param timeout how long to wait.
    /// @return whether fleet() now has the revision or a newer one.
    virtual bool waitForRevision(std::uint64_t revision, Millis timeout) const
    {
        auto end = std::chrono::steady_clock::now() + timeout.toChrono();
        while (fleet()->revision < revision) {
            if (std::chrono::steady_clock::now() >= end) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(std::min<std::int64_t>(10, timeout.count)));
        }
        return true;
    }
};

} // namespace celeryline
