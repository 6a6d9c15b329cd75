#include "celeryline/registry/UpstreamClaims.h"

#include <cstdlib>
#include <tuple>

namespace celeryline::detail {

namespace {

bool isWithinTolerance(std::int64_t a, std::int64_t b, std::int64_t capacity)
{
    return capacity == 0 || std::abs(a - b) <= capacity / 8;
}

} // namespace

const UpstreamClaim* effectiveClaim(const UpstreamClaims& claims)
{
    const UpstreamClaim* best = nullptr;
    auto order = [](const UpstreamClaim& claim) {
        return std::make_tuple(claim.upstream.bootEpoch, claim.generation);
    };
    // The map is ordered by manager name, so that all instances choose the same claim among equal
    // generations.
    for (const auto& [manager, claim] : claims.byManager) {
        if (claim.upstream.bootEpoch > claims.leftBootEpoch && (!best || order(claim) > order(*best))) {
            best = &claim;
        }
    }
    return best;
}

bool isSameForPeers(const Announcement& a, const Announcement& b)
{
    Announcement other = b;
    other.usage = a.usage;
    return a == other && isWithinTolerance(a.usage.cpuMilli, b.usage.cpuMilli, a.capacity.cpuMilli)
        && isWithinTolerance(a.usage.memoryMb, b.usage.memoryMb, a.capacity.memoryMb)
        && isWithinTolerance(a.usage.accelerators, b.usage.accelerators, a.capacity.accelerators);
}

} // namespace celeryline::detail
