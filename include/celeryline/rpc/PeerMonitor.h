/// @file
/// Exchange of heartbeats with the other entry instances.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/consensus/PeerTransport.h"
#include "celeryline/registry/Heartbeat.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace celeryline {

/// Status of another entry instance.
struct PeerStatus {
    Heartbeat heartbeat; ///< The newest one; only its name is set if none has been received.
    Millis lastHeard; ///< When the heartbeat was received; meaningless if none was.
    bool isLive = false; ///< The heartbeat was received within the timeout.
};

/// Options of a PeerMonitor.
struct PeerMonitorOptions {
    std::vector<std::string> peers; ///< All other entry instances.
    Millis interval; ///< Between heartbeats.
    Millis timeout; ///< A peer without a heartbeat for this time is not live; doubled between data centres.
    /// The peers in other data centres. While nothing changes, they are sent only every fourth heartbeat,
    /// since no leases or credits depend on them. With 7 peers, this reduces heartbeat traffic from 8 to 3
    /// KB/s of a node's 18 KB/s.
    std::vector<std::string> crossDataCentrePeers {};
};

/// Sends heartbeats to all other entry instances and stores the newest heartbeat received from each.
/// Thread-safe.
class PeerMonitor {
public:
    /// @param options peers and timing.
    /// @param transport sends the heartbeats.
    /// @param clock measures the time since the last heartbeat.
    /// @param ownHeartbeat returns the heartbeat to send; called on the monitor's thread and by sendNow(),
    /// must not block.
    PeerMonitor(const PeerMonitorOptions& options, PeerTransport& transport, const Clock& clock,
        std::function<Heartbeat()> ownHeartbeat);
    ~PeerMonitor();

    void start();

    /// Sends a final heartbeat, which tells the peers that this instance is draining, and stops the thread.
    void stop();

    /// Sends a heartbeat to all peers immediately, for example when a graceful shutdown starts.
    void sendNow();

    /// Stores a received heartbeat; heartbeats of unknown instances are ignored.
    void recordHeartbeat(const Heartbeat& heartbeat);

    /// @return the status of all peers, ordered by name.
    std::vector<PeerStatus> peers() const;

    /// @param name name of a peer.
    /// @return its status; not live and with an empty heartbeat if the peer is unknown.
    PeerStatus peer(const std::string& name) const;

    /// @return the highest fleet revision reported by any peer, live or not.
    std::uint64_t highestRevision() const;

    /// @return the leader according to the live peer with the highest revision; empty if no live peer reports
    /// one.
    std::string leaderHint() const;

private:
    void run();
    void send(bool toAllPeers);
    bool isInOtherDataCentre(const std::string& name) const;
    PeerStatus currentStatus(const PeerStatus& stored, Millis now) const;

    const PeerMonitorOptions m_options;
    PeerTransport& m_transport;
    const Clock& m_clock;
    const std::function<Heartbeat()> m_ownHeartbeat;
    mutable std::mutex m_mutex;
    std::map<std::string, PeerStatus> m_peers;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    Heartbeat m_lastSentToAll;
    std::thread m_thread;
};

} // namespace celeryline
