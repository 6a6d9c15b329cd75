// The part of UpstreamRegistry that replicates with the other entry instances of the data centre.
#include "celeryline/registry/UpstreamRegistry.h"

#include <algorithm>
#include <set>

namespace celeryline {

using detail::effectiveClaim;
using detail::UpstreamClaims;

bool UpstreamRegistry::isLive(const Peer& peer, Millis now) const
{
    return now < peer.lastHeard + m_options.peerTimeout;
}

void UpstreamRegistry::updateLive(Millis now)
{
    std::vector<std::string> live { m_options.name };
    for (const auto& [name, peer] : m_peers) {
        if (isLive(peer, now)) {
            live.push_back(name);
        }
    }
    std::sort(live.begin(), live.end());
    if (live != m_live) {
        m_live = live;
        incrementVersion();
    }
}

void UpstreamRegistry::recordContact(Peer& peer, Millis now)
{
    peer.lastHeard = now;
    if (peer.applied == peer.highestKnown) {
        peer.lastSynchronized = now;
    }
}

bool UpstreamRegistry::updateEpoch(const std::string& name, Peer& peer, std::uint64_t epoch, Millis now)
{
    if (epoch == peer.epoch) {
        return true;
    }
    // A delayed message of an earlier process has a smaller epoch. If the peer's wall clock was set back, the
    // newer process has the smaller epoch; it is accepted once the peer has timed out.
    if (epoch < peer.epoch && isLive(peer, now)) {
        return false;
    }
    for (auto& shard : m_shards) {
        std::lock_guard<std::mutex> lock(shard.mutex);
        for (auto& [upstream, claims] : shard.entries) {
            auto claim = claims.byManager.find(name);
            if (claim != claims.byManager.end() && claim->second.managerEpoch == peer.epoch) {
                auto lease = std::max(claim->second.upstream.lease, m_options.peerTimeout);
                claim->second.until = peer.lastSynchronized + lease;
            }
        }
    }
    peer.epoch = epoch;
    peer.applied = 0;
    peer.highestKnown = 0;
    return true;
}

void UpstreamRegistry::noteHeartbeat(const Heartbeat& heartbeat, Millis now)
{
    std::lock_guard<std::mutex> lock(m_peersMutex);
    auto found = m_peers.find(heartbeat.name);
    if (found == m_peers.end() || !updateEpoch(found->first, found->second, heartbeat.bootEpoch, now)) {
        return;
    }
    found->second.highestKnown = std::max(found->second.highestKnown, heartbeat.deltaSequence);
    recordContact(found->second, now);
    updateLive(now);
}

void UpstreamRegistry::applyDelta(const RegistryDelta& delta, Millis now)
{
    std::lock_guard<std::mutex> lock(m_peersMutex);
    auto found = m_peers.find(delta.manager);
    if (found == m_peers.end() || !updateEpoch(found->first, found->second, delta.epoch, now)) {
        return;
    }
    auto& peer = found->second;
    if (delta.isFullCopy) {
        peer.highestKnown = std::max(peer.highestKnown, delta.firstSequence);
        if (delta.firstSequence >= peer.applied) {
            applyFullCopy(delta, now);
            peer.applied = delta.firstSequence;
        }
        recordContact(peer, now);
        return;
    }
    auto next = delta.firstSequence + delta.changes.size();
    peer.highestKnown = std::max(peer.highestKnown, next - 1);
    bool isGap = delta.firstSequence > peer.applied + 1;
    for (auto sequence = peer.applied + 1; !isGap && sequence < next; ++sequence) {
        applyChange(delta.changes[sequence - delta.firstSequence], delta, now);
        peer.applied = sequence;
    }
    recordContact(peer, now);
}

void UpstreamRegistry::applyFullCopy(const RegistryDelta& copy, Millis now)
{
    std::set<std::string> managed;
    for (const auto& change : copy.changes) {
        applyChange(change, copy, now);
        if (change.kind == RegistryChangeKind::Announced) {
            managed.insert(change.upstream.name);
        }
    }
    // Claims of an earlier process of the peer are kept until their leases expire, because their upstreams
    // may not have renewed yet.
    for (auto& shard : m_shards) {
        std::lock_guard<std::mutex> lock(shard.mutex);
        for (auto& [name, claims] : shard.entries) {
            auto claim = claims.byManager.find(copy.manager);
            if (claim != claims.byManager.end() && claim->second.managerEpoch == copy.epoch
                && managed.count(name) == 0) {
                eraseClaim(claims, claim);
            }
        }
    }
}

void UpstreamRegistry::eraseClaim(UpstreamClaims& claims, ClaimIterator claim)
{
    auto upstream = claim->second.upstream;
    claims.byManager.erase(claim);
    incrementVersion();
    // If the leases at two instances expire at the same time, each still sees the other's as valid when its
    // own ends, so the expiry is reported here.
    if (claims.wasManagedHere && !effectiveClaim(claims)) {
        claims.wasManagedHere = false;
        recordEvent(RegistryChangeKind::Expired, upstream);
    }
}

void UpstreamRegistry::applyChange(const RegistryChange& change, const RegistryDelta& delta, Millis now)
{
    const auto& name = change.upstream.name;
    auto& shard = shardOf(name);
    std::lock_guard<std::mutex> lock(shard.mutex);
    auto [entry, isNew] = shard.entries.try_emplace(name);
    m_entryCount += isNew ? 1 : 0;
    auto& claims = entry->second;
    switch (change.kind) {
    case RegistryChangeKind::Announced:
        if (change.upstream.bootEpoch > claims.leftBootEpoch) {
            claims.byManager[delta.manager]
                = { change.upstream, change.generation, delta.epoch, now + change.upstream.lease };
            incrementVersion();
        }
        break;
    case RegistryChangeKind::Left:
        markLeft(claims, name, change.upstream.bootEpoch, now);
        break;
    case RegistryChangeKind::Expired: {
        auto claim = claims.byManager.find(delta.manager);
        if (claim != claims.byManager.end() && claim->second.managerEpoch == delta.epoch) {
            eraseClaim(claims, claim);
        }
        break;
    }
    }
}

std::vector<std::string> UpstreamRegistry::peersToCopy() const
{
    std::lock_guard<std::mutex> lock(m_peersMutex);
    std::vector<std::string> result;
    for (const auto& [name, peer] : m_peers) {
        bool isLivePeer = std::binary_search(m_live.begin(), m_live.end(), name);
        if (isLivePeer && peer.applied < peer.highestKnown) {
            result.push_back(name);
        }
    }
    return result;
}

bool UpstreamRegistry::isComplete() const
{
    std::lock_guard<std::mutex> lock(m_peersMutex);
    return std::all_of(m_peers.begin(), m_peers.end(), [this](const auto& item) {
        bool isLivePeer = std::binary_search(m_live.begin(), m_live.end(), item.first);
        return !isLivePeer || (item.second.epoch > 0 && item.second.applied == item.second.highestKnown);
    });
}

} // namespace celeryline
