/// @file
/// The threads that keep the soft state in step with the other entry instances.
#pragma once

#include "celeryline/Clock.h"
#include "celeryline/PeerTransport.h"
#include "celeryline/UpstreamRegistry.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace celeryline {

/// Ticks a registry, sends its deltas to the peers and fetches full copies where deltas were missed.
class RegistrySync {
public:
    /// @param registry the soft state of this instance.
    /// @param transport calls the peers.
    /// @param clock gives the time to the registry.
    /// @param peers the other entry instances of this data centre; may be empty.
    RegistrySync(UpstreamRegistry& registry, PeerTransport& transport, const Clock& clock,
        std::vector<std::string> peers);
    ~RegistrySync();

    /// Starts the threads.
    void start();

    /// Stops the threads. Changes that have not been sent are sent first.
    void stop();

private:
    void run();
    void runCopies();
    void sendDeltas();
    bool sleep(Millis time);

    UpstreamRegistry& m_registry;
    PeerTransport& m_transport;
    const Clock& m_clock;
    const std::vector<std::string> m_peers;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::thread m_thread;
    std::thread m_copyThread; ///< Apart, because a silent peer blocks it for the length of a timeout.
};

} // namespace celeryline
