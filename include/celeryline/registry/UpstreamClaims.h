/// @file
/// What the entry instances of a data centre hold about one upstream.
#pragma once

#include "celeryline/registry/Announcement.h"

#include <cstdint>
#include <map>
#include <string>

namespace celeryline::detail {

/// What one entry instance, the manager, holds about an upstream that announced itself there.
struct UpstreamClaim {
    Announcement upstream;
    std::uint64_t generation = 0; ///< Higher than that of every claim the manager knew of.
    std::uint64_t managerEpoch = 0;
    /// End of the lease on claims of this instance and of lost processes. Claims of a live peer are valid
    /// for as long as the peer is.
    Millis until;
};

/// All claims about one upstream. An upstream that renews at several instances has a claim at each, and each
/// lapses by its own lease, so that a takeover needs no agreement.
struct UpstreamClaims {
    std::map<std::string, UpstreamClaim> byManager;
    std::uint64_t leftBootEpoch
        = 0; ///< Newest boot epoch that has left; it and older ones are never offered.
    Millis leftExpiry; ///< When leftBoot may be forgotten.
    bool wasManagedHere = false; ///< A lease of this instance lapsed while another instance held one.
};

/// @param claims claims about one upstream.
/// @return the claim that decides: newest boot epoch, then highest generation; null if the upstream has left
/// or expired.
const UpstreamClaim* effectiveClaim(const UpstreamClaims& claims);

/// @param a an announcement.
/// @param b another one of the same upstream.
/// @return whether peers need not be told of the difference. Usage counts only if it moved by more than an
/// eighth of the announced capacity, because telling every change would exceed the bandwidth limit of a node.
bool isSameForPeers(const Announcement& a, const Announcement& b);

} // namespace celeryline::detail
