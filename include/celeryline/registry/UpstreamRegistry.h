/// @file
/// Registry of the live upstreams and entry instances of this data centre.
#pragma once

#include "celeryline/registry/Announcement.h"
#include "celeryline/registry/Heartbeat.h"
#include "celeryline/registry/RegistryDelta.h"
#include "celeryline/registry/UpstreamClaims.h"
#include "celeryline/registry/UpstreamView.h"

#include <array>
#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryline {

/// Options of the registry.
struct RegistryOptions {
    std::string name; ///< Name of this instance.
    std::uint64_t epoch = 0; ///< Boot epoch of this process; greater after each start.
    std::vector<std::string> peers; ///< The other entry instances of this data centre.
    Millis peerTimeout;
    std::size_t maxUpstreams = 20000; ///< Further names are refused, which bounds the memory.
};

/// Registry of the live upstreams and entry instances of this data centre, kept in memory only. Holds the
/// leases of the upstreams that announce themselves here and copies of the leases at the peers. Has no thread
/// and no clock; tick() must be called about every 50 ms. Thread-safe.
class UpstreamRegistry final : public UpstreamView {
public:
    /// @param options names of this process and its peers, and limits.
    /// @param now the current time. Peers count as live until the peer timeout has passed from now without a
    /// message, so that a restarted instance doesn't assign all slot credits to itself.
    UpstreamRegistry(const RegistryOptions& options, Millis now);

    /// Accepts or renews an announcement.
    /// @param upstream a validated announcement.
    /// @param now the current time; the lease starts here.
    /// @throws Error of kind Conflict if this or a newer boot of the upstream has left or is live; of kind
    /// LimitExceeded if too many upstreams are known.
    void announce(const Announcement& upstream, Millis now);

    /// Deregisters an upstream permanently; only a greater boot epoch can announce it again.
    /// @param name the upstream.
    /// @param bootEpoch its boot epoch; 0 means the known one.
    /// @param now the current time.
    /// @throws Error of kind NotFound if bootEpoch is 0 and the upstream is not known.
    void leave(const std::string& name, std::uint64_t bootEpoch, Millis now);

    std::shared_ptr<const UpstreamSnapshot> upstreams() const override;

    /// Expires leases and detects lost peers.
    /// @param now the current time.
    void tick(Millis now);

    /// @return the next batch of changes for the peers, or nullopt if there are none. The caller sends the
    /// batch to every peer and then calls markSent().
    std::optional<RegistryDelta> takeDelta();

    /// @param delta a batch that was passed to the transport for every peer.
    void markSent(const RegistryDelta& delta);

    /// @return the sequence number of the last change passed to the transport, for heartbeats.
    std::uint64_t sentSequence() const { return m_sentSequence; }

    /// @return all claims of this instance, for a peer that missed changes.
    RegistryDelta fullCopy() const;

    /// Applies changes or a full copy from a peer. After a gap in the sequence the peer is listed by
    /// peersToCopy().
    /// @param delta the changes.
    /// @param now the current time.
    void applyDelta(const RegistryDelta& delta, Millis now);

    /// @param heartbeat heartbeat of an entry instance; those of other data centres are ignored.
    /// @param now the current time.
    void noteHeartbeat(const Heartbeat& heartbeat, Millis now);

    /// @return the live peers whose full copy must be fetched and passed to applyDelta().
    std::vector<std::string> peersToCopy() const;

    /// @return whether the state of every live peer is known; required for readiness.
    bool isComplete() const;

    /// @return the newest event of each upstream since the last call. Announced and Left are reported by the
    /// instance that accepted them, Expired by the instance that held the lease, or by the first live
    /// instance of the data centre if that one was lost.
    std::vector<RegistryChange> takeEvents();

    /// Returns events that could not be processed; they are reported again unless a newer one exists.
    /// @param events events from takeEvents().
    void returnEvents(const std::vector<RegistryChange>& events);

private:
    struct Peer {
        std::uint64_t epoch = 0; ///< 0: nothing received yet.
        std::uint64_t applied = 0; ///< Sequence number of the last applied change.
        std::uint64_t highestKnown = 0; ///< Highest sequence number known to exist.
        Millis lastHeard;
        /// When a message was last received with no change missing here. Heartbeats of a peer whose expiry
        /// notice was lost must not extend the expired lease.
        Millis lastSynchronized;
    };
    struct alignas(64) Shard {
        mutable std::mutex mutex;
        std::unordered_map<std::string, detail::UpstreamClaims> entries;
    };

    using ClaimIterator = std::map<std::string, detail::UpstreamClaim>::iterator;

    Shard& shardOf(const std::string& name);
    bool isLive(const Peer& peer, Millis now) const;
    void recordContact(Peer& peer, Millis now);
    bool updateEpoch(const std::string& name, Peer& peer, std::uint64_t epoch, Millis now);
    void applyChange(const RegistryChange& change, const RegistryDelta& delta, Millis now);
    void applyFullCopy(const RegistryDelta& copy, Millis now);
    void markLeft(
        detail::UpstreamClaims& claims, const std::string& name, std::uint64_t bootEpoch, Millis now);
    void eraseClaim(detail::UpstreamClaims& claims, ClaimIterator claim);
    bool removeExpiredClaims(detail::UpstreamClaims& claims, const std::string& name,
        const std::map<std::string, Peer>& peers, bool isReporter, Millis now);
    void publish(RegistryChangeKind kind, const Announcement& upstream, std::uint64_t generation);
    void recordEvent(RegistryChangeKind kind, const Announcement& upstream);
    void updateLive(Millis now);
    void incrementVersion() { ++m_version; }

    const RegistryOptions m_options;

    // Lock order: m_snapshotMutex, m_peersMutex, a shard, m_outboxMutex or m_eventsMutex.
    std::array<Shard, 16> m_shards;
    std::atomic<std::size_t> m_entryCount { 0 };
    std::atomic<std::uint64_t> m_version { 1 };

    mutable std::mutex m_peersMutex;
    std::map<std::string, Peer> m_peers;
    std::vector<std::string> m_live;

    mutable std::mutex m_outboxMutex;
    std::deque<RegistryChange> m_outbox;
    std::uint64_t m_sequence = 0; ///< Sequence number of the last change in the outbox.
    std::atomic<std::uint64_t> m_sentSequence { 0 };

    std::mutex m_eventsMutex;
    std::map<std::string, RegistryChange> m_events;

    mutable std::mutex m_snapshotMutex;
    mutable std::shared_ptr<const UpstreamSnapshot> m_snapshot;
};

} // namespace celeryline
