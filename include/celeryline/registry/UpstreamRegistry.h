/// @file
/// The soft state: live upstreams and entry instances of this data centre.
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

/// What the registry needs to know about its process.
struct RegistryOptions {
    std::string name; ///< Of this instance.
    std::uint64_t epoch = 0; ///< Boot epoch of this process; greater after each start.
    std::vector<std::string> peers; ///< The other entry instances of this data centre.
    Millis peerTimeout;
    std::size_t maxUpstreams
        = 20000; ///< Further names are refused, so that announcements can't fill the memory.
};

/// The soft state: live upstreams and entry instances of this data centre. Holds the leases of the upstreams
/// that announce themselves here, and what peers tell about theirs. Has no thread and no clock; tick() must
/// be called every 50 ms or so. Thread-safe.
class UpstreamRegistry final : public UpstreamView {
public:
    /// @param options this process and its peers.
    /// @param now the current time. Peers count as live until they have been silent for the peer timeout from
    /// here on, so that a restarted instance doesn't take all slot credits for itself.
    UpstreamRegistry(const RegistryOptions& options, Millis now);

    /// Accepts or renews an announcement.
    /// @param upstream a checked announcement.
    /// @param now the current time; the lease starts here.
    /// @throws Error of kind Conflict if this or a newer boot of the upstream has left or is live; of kind
    /// LimitExceeded if too many upstreams are known.
    void announce(const Announcement& upstream, Millis now);

    /// Removes an upstream for good; only a greater boot epoch can announce it again.
    /// @param name the upstream.
    /// @param bootEpoch its boot epoch; 0 takes the one that is known.
    /// @param now the current time.
    /// @throws Error of kind NotFound if bootEpoch is 0 and the upstream is not known.
    void leave(const std::string& name, std::uint64_t bootEpoch, Millis now);

    std::shared_ptr<const UpstreamSnapshot> upstreams() const override;

    /// Ends leases and notices lost peers.
    /// @param now the current time.
    void tick(Millis now);

    /// @return the next changes for the peers; nothing if there are none. Each batch goes to every peer, and
    /// markSent() follows.
    std::optional<RegistryDelta> takeDelta();

    /// @param delta a batch that was handed to the transport for every peer.
    void markSent(const RegistryDelta& delta);

    /// @return the sequence number of the last change handed to the transport, for heartbeats.
    std::uint64_t sentSequence() const { return m_sentSequence; }

    /// @return everything this instance manages, for a peer that missed changes.
    RegistryDelta fullCopy() const;

    /// Applies changes or a full copy from a peer. A gap is noticed, and the peer is then among
    /// peersToCopy().
    /// @param delta what the peer sent.
    /// @param now the current time.
    void applyDelta(const RegistryDelta& delta, Millis now);

    /// @param heartbeat from any entry instance; those of other data centres are ignored.
    /// @param now the current time.
    void noteHeartbeat(const Heartbeat& heartbeat, Millis now);

    /// @return the live peers whose full copy must be fetched and given to applyDelta().
    std::vector<std::string> peersToCopy() const;

    /// @return whether the state of every live peer is known; readiness depends on it.
    bool isComplete() const;

    /// @return what happened to upstreams since the last call, at most one change for each name: the newest.
    /// Announced and Left are reported by the instance that accepted them, Expired by the one that held the
    /// lease, or by the first live instance of the data centre if that one was lost.
    std::vector<RegistryChange> takeEvents();

    /// Gives events back that could not be processed; they are reported again unless a newer one exists.
    /// @param events what takeEvents() gave.
    void returnEvents(const std::vector<RegistryChange>& events);

private:
    struct Peer {
        std::uint64_t epoch = 0; ///< 0: never heard.
        std::uint64_t applied = 0; ///< Sequence number of the last applied change.
        std::uint64_t highestKnown = 0; ///< Highest sequence number known to exist.
        Millis lastHeard;
        /// When it was last heard with no change missing here. A peer that has ended a lease without this
        /// instance knowing must not extend that lease with its heartbeats.
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
    std::uint64_t m_sequence = 0; ///< Of the last change in the outbox.
    std::atomic<std::uint64_t> m_sentSequence { 0 };

    std::mutex m_eventsMutex;
    std::map<std::string, RegistryChange> m_events;

    mutable std::mutex m_snapshotMutex;
    mutable std::shared_ptr<const UpstreamSnapshot> m_snapshot;
};

} // namespace celeryline
