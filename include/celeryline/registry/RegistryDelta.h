/// @file
/// Registry changes that entry instances of a data centre replicate to each other.
#pragma once

#include "celeryline/registry/Announcement.h"

#include <cstdint>
#include <string>
#include <vector>

namespace celeryline {

/// What happened to an upstream.
enum class RegistryChangeKind : std::uint8_t {
    Announced, ///< New or changed.
    Left, ///< Deregistered; never offered again with this boot epoch.
    Expired ///< Its lease at the sending instance has expired.
};

/// One change to the registry.
struct RegistryChange {
    RegistryChangeKind kind = RegistryChangeKind::Announced;
    Announcement upstream; ///< Only name and boot epoch are used unless the kind is Announced.
    std::uint64_t generation = 0; ///< Orders announcements of one boot at different instances.
};

/// An ordered batch of changes from the instance that manages the upstreams.
struct RegistryDelta {
    std::string manager; ///< Name of the sending instance.
    std::uint64_t epoch = 0; ///< Boot epoch of the sending process.
    std::uint64_t firstSequence = 0; ///< Sequence number of changes[0]; the others follow without a gap.
    bool isFullCopy = false; ///< Replaces all earlier changes, including firstSequence.
    std::vector<RegistryChange> changes;
};

} // namespace celeryline
