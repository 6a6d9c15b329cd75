/// @file
/// Read access to the latest applied fleet state.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/fleet/FleetState.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <thread>

namespace celeryline {

/// Provides the latest fleet state that this instance has applied. Thread-safe.
class FleetReader {
public:
    virtual ~FleetReader() = default;

    /// @return the latest state; the revision doesn't decrease between calls.
    virtual std::shared_ptr<const FleetState> fleet() const = 0;

    /// Waits until a revision has been applied. The default implementation polls; implementations that get
    /// notified of changes should override it.
    /// @param revision the revision to wait for.
    /// @param timeout maximum time to wait.
    /// @return whether the revision, or a later one, has been applied.
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
