/// @file
/// Heartbeats to and from the other entry instances.
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

/// What is known about another entry instance.
struct PeerStatus {
    Heartbeat heartbeat; ///< The newest; only its name is set if none has arrived yet.
    Millis lastHeard; ///< When it arrived; meaningless without one.
    bool isLive = false; ///< It arrived in time.
};

/// What a PeerMonitor needs to know about its process.
struct PeerMonitorOptions {
    std::vector<std::string> peers; ///< All other entry instances.
    Millis interval; ///< Between heartbeats.
    Millis timeout; ///< A peer that is silent for so long is not live; a far one after twice the time.
    /// Those of the peers that are in other data centres. While nothing changes they get every fourth
    /// heartbeat, because no leases or credits depend on them: 3 instead of 8 KB/s of a node's 18 KB/s with 7
    /// peers.
    std::vector<std::string> farPeers {};
};

/// Sends heartbeats to all other entry instances and keeps the newest one of each. Thread-safe.
class PeerMonitor {
public:
    /// @param options the peers.
    /// @param transport sends the heartbeats.
    /// @param clock measures the silence of peers.
    /// @param ownHeartbeat gives what to send; called on the monitor's thread, must return at once.
    PeerMonitor(const PeerMonitorOptions& options, PeerTransport& transport, const Clock& clock,
        std::function<Heartbeat()> ownHeartbeat);
    ~PeerMonitor();

    /// Starts to send.
    void start();

    /// Sends a last heartbeat, so that the peers learn at once that this instance drains, and stops.
    void stop();

    /// Sends a heartbeat now, such as after the beginning of a graceful shutdown.
    void sendNow();

    /// @param heartbeat from a peer; those of unknown instances are ignored.
    void note(const Heartbeat& heartbeat);

    /// @return all peers, ordered by name.
    std::vector<PeerStatus> peers() const;

    /// @param name name of a peer.
    /// @return what is known about it; not live and without a heartbeat if it is not known.
    PeerStatus peer(const std::string& name) const;

    /// @return the highest fleet revision that any peer has reported, live or not.
    std::uint64_t highestRevision() const;

    /// @return the leader that the live peer with the highest revision reports; empty if none does.
    std::string leaderHint() const;

private:
    void run();
    void send(bool isToAll);
    bool isFar(const std::string& name) const;
    PeerStatus statusOf(const PeerStatus& stored, Millis now) const;

    const PeerMonitorOptions m_options;
    PeerTransport& m_transport;
    const Clock& m_clock;
    const std::function<Heartbeat()> m_ownHeartbeat;
    mutable std::mutex m_mutex;
    std::map<std::string, PeerStatus> m_peers;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    Heartbeat m_lastToAll;
    std::thread m_thread;
};

} // namespace celeryline
