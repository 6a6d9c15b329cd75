/// @file
/// Records of the entry instances of a data centre about one upstream.
#pragma once

#include "celeryline/registry/Announcement.h"

#include <cstdint>
#include <map>
#include <string>

namespace celeryline::detail {

/// The record of one entry instance, the manager, about an upstream that announced itself there.
struct UpstreamClaim {
    Announcement upstream;
    std::uint64_t generation = 0; ///< Higher than that of every other claim known to the manager.
    std::uint64_t managerEpoch = 0;
    /// End of the lease, for claims of this instance and of lost processes. Claims of a live peer stay valid
    /// as long as the peer is live.
    Millis until;
};

/// All claims about one upstream. An upstream that renews at several instances has a claim at each. Every
/// claim expires independently, so that a change of the manager needs no consensus.
struct UpstreamClaims {
    std::map<std::string, UpstreamClaim> byManager;
    std::uint64_t leftBootEpoch = 0; ///< Newest deregistered boot epoch; it and older ones are not offered.
    Millis leftExpiry; ///< When leftBootEpoch may be discarded.
    bool wasManagedHere = false; ///< A lease of this instance expired while another instance held one.
};

/// @param claims claims about one upstream.
/// @return the effective claim: newest boot epoch, then highest generation; null if the upstream has left or
/// expired.
const UpstreamClaim* effectiveClaim(const UpstreamClaims& claims);

/// @param a an announcement.
/// @param b another one of the same upstream.
/// @return whether the difference need not be sent to peers. A change of usage is sent only if it exceeds an
/// eighth of the announced capacity, because sending every change would exceed the bandwidth limit of a node.
bool isSameForPeers(const Announcement& a, const Announcement& b);

} // namespace celeryline::detail
