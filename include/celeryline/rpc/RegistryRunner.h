/// @file
/// The threads that keep the upstream registry up to date.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/consensus/PeerTransport.h"
#include "celeryline/registry/UpstreamRegistry.h"
#include "celeryline/settings/PeriodicThread.h"

#include <string>
#include <vector>

namespace celeryline {

/// Ends leases, sends changes to the peers of the data centre, and fetches full copies from them.
class RegistryRunner {
public:
    /// @param registry the soft state.
    /// @param peers the other entry instances of this data centre.
    /// @param transport calls to them.
    /// @param clock measures the leases.
    RegistryRunner(UpstreamRegistry& registry, std::vector<std::string> peers, PeerTransport& transport,
        const Clock& clock);

    /// Starts the threads.
    void start();

    /// Stops the threads. Changes that were queued before are sent first.
    void stop();

private:
    void sendDeltas();
    void fetchCopies();

    UpstreamRegistry& m_registry;
    std::vector<std::string> m_peers;
    PeerTransport& m_transport;
    const Clock& m_clock;
    PeriodicThread m_ticks;
    PeriodicThread m_copies; ///< A copy may block, and the leases must end in time all the same.
};

} // namespace celeryline
