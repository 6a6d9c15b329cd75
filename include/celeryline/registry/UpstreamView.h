/// @file
/// Read access to the live upstreams of this data centre.
#pragma once

#include "celeryline/registry/Announcement.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace celeryline {

/// The live upstreams at one moment; immutable.
struct UpstreamSnapshot {
    std::uint64_t version = 0; ///< Increases with each change.
    std::vector<Announcement> upstreams; ///< Sorted by name; those with a live lease, draining ones too.
    std::vector<std::string> liveInstances; ///< Live entry instances including this one, sorted.
};

/// Provides the live upstreams of this data centre. Thread-safe.
class UpstreamView {
public:
    virtual ~UpstreamView() = default;

    /// @return the current snapshot; rebuilt only after a change.
    virtual std::shared_ptr<const UpstreamSnapshot> upstreams() const = 0;
};

} // namespace celeryline
