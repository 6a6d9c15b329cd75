#include "celeryline/registry/UpstreamRegistry.h"

#include "celeryline/base/Error.h"

#include <algorithm>
#include <functional>
#include <set>

namespace celeryline {

using detail::effectiveClaim;
using detail::isSameForPeers;
using detail::UpstreamClaim;
using detail::UpstreamClaims;

namespace {

/// Longer than an announcement that was sent before its upstream left can be in transit.
constexpr Millis leftRetention { 60000 };

/// Limits a delta to about 100 KB.
constexpr std::size_t maxChangesPerDelta = 500;

Announcement makeIdentity(const std::string& name, std::uint64_t bootEpoch)
{
    Announcement upstream;
    upstream.name = name;
    upstream.bootEpoch = bootEpoch;
    return upstream;
}

std::uint64_t highestGeneration(const UpstreamClaims& claims)
{
    std::uint64_t highest = 0;
    for (const auto& [manager, claim] : claims.byManager) {
        highest = std::max(highest, claim.generation);
    }
    return highest;
}

} // namespace

UpstreamRegistry::UpstreamRegistry(const RegistryOptions& options, Millis now)
    : m_options(options)
{
    for (const auto& peer : options.peers) {
        recordContact(m_peers[peer], now);
    }
    updateLive(now);
}

UpstreamRegistry::Shard& UpstreamRegistry::shardOf(const std::string& name)
{
    return m_shards[std::hash<std::string> {}(name) % m_shards.size()];
}

void UpstreamRegistry::announce(const Announcement& upstream, Millis now)
{
    auto& shard = shardOf(upstream.name);
    std::lock_guard<std::mutex> lock(shard.mutex);
    auto found = shard.entries.find(upstream.name);
    if (found == shard.entries.end()) {
        if (m_entryCount >= m_options.maxUpstreams) {
            throw Error(ErrorKind::LimitExceeded,
                "upstream \"" + upstream.name + "\" exceeds the limit of "
                    + std::to_string(m_options.maxUpstreams) + " upstreams",
                "remove unused upstreams or let their leases expire");
        }
        found = shard.entries.try_emplace(upstream.name).first;
        ++m_entryCount;
    }
    auto& claims = found->second;
    const auto* effective = effectiveClaim(claims);
    if (upstream.bootEpoch <= claims.leftBootEpoch) {
        throw Error(ErrorKind::Conflict, "upstream \"" + upstream.name + "\" has left with this bootId",
            "restart it and announce it with a greater bootId");
    }
    if (effective && upstream.bootEpoch < effective->upstream.bootEpoch) {
        throw Error(ErrorKind::Conflict,
            "upstream \"" + upstream.name + "\" is live with the newer bootId "
                + std::to_string(effective->upstream.bootEpoch),
            "choose another name, or restart it with a greater bootId");
    }
    auto own = claims.byManager.find(m_options.name);
    if (own != claims.byManager.end() && isSameForPeers(own->second.upstream, upstream)
        && isSameForPeers(effective->upstream, upstream)) {
        own->second.until = now + upstream.lease;
        return;
    }
    auto generation = highestGeneration(claims) + 1;
    claims.wasManagedHere = false;
    claims.byManager[m_options.name] = { upstream, generation, m_options.epoch, now + upstream.lease };
    publish(RegistryChangeKind::Announced, upstream, generation);
    recordEvent(RegistryChangeKind::Announced, upstream);
    incrementVersion();
}

void UpstreamRegistry::leave(const std::string& name, std::uint64_t bootEpoch, Millis now)
{
    auto& shard = shardOf(name);
    std::lock_guard<std::mutex> lock(shard.mutex);
    auto found = shard.entries.find(name);
    const auto* effective = found == shard.entries.end() ? nullptr : effectiveClaim(found->second);
    if (bootEpoch == 0 && !effective) {
        if (found != shard.entries.end() && found->second.leftBootEpoch > 0) {
            return; // A repeated leave.
        }
        throw Error(ErrorKind::NotFound, "upstream \"" + name + "\" is not announced here",
            "send the leave with ?bootId=NUMBER if the upstream was announced to another entry instance");
    }
    auto upstream = effective ? effective->upstream : makeIdentity(name, bootEpoch);
    upstream.bootEpoch = bootEpoch == 0 ? upstream.bootEpoch : bootEpoch;
    if (found == shard.entries.end()) {
        if (m_entryCount >= m_options.maxUpstreams) {
            throw Error(ErrorKind::LimitExceeded,
                "the limit of upstreams is reached, so the leave of \"" + name + "\" can't be recorded",
                "remove unused upstreams or let their leases expire");
        }
        found = shard.entries.try_emplace(name).first;
        ++m_entryCount;
    }
    if (upstream.bootEpoch <= found->second.leftBootEpoch) {
        return;
    }
    markLeft(found->second, name, upstream.bootEpoch, now);
    publish(RegistryChangeKind::Left, makeIdentity(name, upstream.bootEpoch), 0);
    recordEvent(RegistryChangeKind::Left, upstream);
}

void UpstreamRegistry::markLeft(
    UpstreamClaims& claims, const std::string& name, std::uint64_t bootEpoch, Millis now)
{
    if (bootEpoch <= claims.leftBootEpoch) {
        return;
    }
    claims.leftBootEpoch = bootEpoch;
    claims.leftExpiry = now + leftRetention;
    claims.wasManagedHere = false;
    for (auto it = claims.byManager.begin(); it != claims.byManager.end();) {
        if (it->second.upstream.bootEpoch > bootEpoch) {
            ++it;
            continue;
        }
        if (it->first == m_options.name) {
            // Otherwise the claim would become effective again at peers once they discard leftBootEpoch.
            publish(RegistryChangeKind::Expired, makeIdentity(name, it->second.upstream.bootEpoch),
                it->second.generation);
        }
        it = claims.byManager.erase(it);
    }
    incrementVersion();
}

void UpstreamRegistry::tick(Millis now)
{
    std::map<std::string, Peer> peers;
    bool isReporter = false;
    {
        std::lock_guard<std::mutex> lock(m_peersMutex);
        updateLive(now);
        peers = m_peers;
        isReporter = m_live.front() == m_options.name;
    }
    for (auto& shard : m_shards) {
        std::lock_guard<std::mutex> lock(shard.mutex);
        for (auto it = shard.entries.begin(); it != shard.entries.end();) {
            bool isUnused = removeExpiredClaims(it->second, it->first, peers, isReporter, now);
            it = isUnused ? shard.entries.erase(it) : std::next(it);
            m_entryCount -= isUnused ? 1 : 0;
        }
    }
}

bool UpstreamRegistry::removeExpiredClaims(UpstreamClaims& claims, const std::string& name,
    const std::map<std::string, Peer>& peers, bool isReporter, Millis now)
{
    bool wasOwn = false;
    Announcement expired;
    for (auto it = claims.byManager.begin(); it != claims.byManager.end();) {
        bool isOwn = it->first == m_options.name;
        auto& claim = it->second;
        auto peer = peers.find(it->first);
        if (peer != peers.end() && peer->second.epoch == claim.managerEpoch) {
            // The peer held the lease when it was last synchronized, so the lease ends at most one lease time
            // later. The minimum keeps a few late heartbeats from ending a lease shorter than the peer
            // timeout.
            claim.until
                = peer->second.lastSynchronized + std::max(claim.upstream.lease, m_options.peerTimeout);
        }
        if (now < claim.until) {
            ++it;
            continue;
        }
        if (isOwn) {
            publish(
                RegistryChangeKind::Expired, makeIdentity(name, claim.upstream.bootEpoch), claim.generation);
        }
        wasOwn = wasOwn || isOwn;
        expired = claim.upstream;
        incrementVersion();
        it = claims.byManager.erase(it);
    }
    if (!expired.name.empty()) {
        claims.wasManagedHere = claims.wasManagedHere || wasOwn;
        if (!effectiveClaim(claims) && (claims.wasManagedHere || isReporter)) {
            claims.wasManagedHere = false;
            recordEvent(RegistryChangeKind::Expired, expired);
        }
    }
    if (claims.leftBootEpoch > 0 && now >= claims.leftExpiry) {
        claims.leftBootEpoch = 0;
    }
    return claims.byManager.empty() && claims.leftBootEpoch == 0;
}

std::shared_ptr<const UpstreamSnapshot> UpstreamRegistry::upstreams() const
{
    std::lock_guard<std::mutex> lock(m_snapshotMutex);
    std::uint64_t version = m_version;
    if (m_snapshot && m_snapshot->version == version) {
        return m_snapshot;
    }
    auto snapshot = std::make_shared<UpstreamSnapshot>();
    snapshot->version = version;
    {
        std::lock_guard<std::mutex> peersLock(m_peersMutex);
        snapshot->liveInstances = m_live;
    }
    for (const auto& shard : m_shards) {
        std::lock_guard<std::mutex> shardLock(shard.mutex);
        for (const auto& [name, claims] : shard.entries) {
            if (const auto* claim = effectiveClaim(claims)) {
                snapshot->upstreams.push_back(claim->upstream);
            }
        }
    }
    std::sort(snapshot->upstreams.begin(), snapshot->upstreams.end(),
        [](const Announcement& a, const Announcement& b) { return a.name < b.name; });
    m_snapshot = snapshot;
    return snapshot;
}

void UpstreamRegistry::publish(
    RegistryChangeKind kind, const Announcement& upstream, std::uint64_t generation)
{
    if (m_options.peers.empty()) {
        return;
    }
    std::lock_guard<std::mutex> lock(m_outboxMutex);
    m_outbox.push_back({ kind, upstream, generation });
    ++m_sequence;
}

std::optional<RegistryDelta> UpstreamRegistry::takeDelta()
{
    std::lock_guard<std::mutex> lock(m_outboxMutex);
    if (m_outbox.empty()) {
        return std::nullopt;
    }
    RegistryDelta delta;
    delta.manager = m_options.name;
    delta.epoch = m_options.epoch;
    delta.firstSequence = m_sequence - m_outbox.size() + 1;
    auto count = static_cast<std::ptrdiff_t>(std::min(m_outbox.size(), maxChangesPerDelta));
    delta.changes.assign(m_outbox.begin(), m_outbox.begin() + count);
    m_outbox.erase(m_outbox.begin(), m_outbox.begin() + count);
    return delta;
}

void UpstreamRegistry::markSent(const RegistryDelta& delta)
{
    m_sentSequence = delta.firstSequence + delta.changes.size() - 1;
}

RegistryDelta UpstreamRegistry::fullCopy() const
{
    RegistryDelta copy;
    copy.manager = m_options.name;
    copy.epoch = m_options.epoch;
    copy.isFullCopy = true;
    // All shards are locked together, so that the copy is the state after exactly firstSequence changes.
    std::vector<std::unique_lock<std::mutex>> locks;
    locks.reserve(m_shards.size());
    for (const auto& shard : m_shards) {
        locks.emplace_back(shard.mutex);
    }
    for (const auto& shard : m_shards) {
        for (const auto& [name, claims] : shard.entries) {
            if (claims.leftBootEpoch > 0) {
                copy.changes.push_back(
                    { RegistryChangeKind::Left, makeIdentity(name, claims.leftBootEpoch), 0 });
            }
            auto own = claims.byManager.find(m_options.name);
            if (own != claims.byManager.end()) {
                copy.changes.push_back(
                    { RegistryChangeKind::Announced, own->second.upstream, own->second.generation });
            }
        }
    }
    std::lock_guard<std::mutex> lock(m_outboxMutex);
    copy.firstSequence = m_sequence;
    return copy;
}

void UpstreamRegistry::recordEvent(RegistryChangeKind kind, const Announcement& upstream)
{
    std::lock_guard<std::mutex> lock(m_eventsMutex);
    m_events[upstream.name] = { kind, upstream, 0 };
}

std::vector<RegistryChange> UpstreamRegistry::takeEvents()
{
    std::lock_guard<std::mutex> lock(m_eventsMutex);
    std::vector<RegistryChange> events;
    events.reserve(m_events.size());
    for (auto& [name, event] : m_events) {
        events.push_back(std::move(event));
    }
    m_events.clear();
    return events;
}

void UpstreamRegistry::returnEvents(const std::vector<RegistryChange>& events)
{
    std::lock_guard<std::mutex> lock(m_eventsMutex);
    for (const auto& event : events) {
        m_events.emplace(event.upstream.name, event);
    }
}

} // namespace celeryline
