/// @file
/// The threads that keep the upstream registry up to date.
#pragma once

#include "celeryline/Clock.h"
#include "celeryline/PeerTransport.h"
#include "celeryline/UpstreamRegistry.h"

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace celeryline {

/// Ends leases, sends changes to the peers of the data centre, fetches full copies, and hands events on.
class RegistryRunner {
public:
    /// Takes what happened to upstreams. May block; gives back the events that could not be processed.
    using EventSink = std::function<std::vector<RegistryChange>(const std::vector<RegistryChange>&)>;

    /// @param registry the soft state.
    /// @param peers the other entry instances of this data centre.
    /// @param transport calls to them.
    /// @param clock measures the leases.
    /// @param sink takes the events.
    RegistryRunner(UpstreamRegistry& registry, std::vector<std::string> peers, PeerTransport& transport,
        const Clock& clock, EventSink sink);
    ~RegistryRunner();

    /// Starts the threads.
    void start();

    /// Stops the threads. Changes that were queued before are sent first.
    void stop();

private:
    void runTicks();
    void runCalls();
    void sendDeltas();
    void fetchCopies();

    UpstreamRegistry& m_registry;
    std::vector<std::string> m_peers;
    PeerTransport& m_transport;
    const Clock& m_clock;
    EventSink m_sink;
    std::atomic<bool> m_isStopping { false };
    std::thread m_ticker;
    std::thread m_caller;
};

} // namespace celeryline
