/// @file
/// Synchronisation of the upstream registry between entry instances.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/consensus/PeerTransport.h"
#include "celeryline/registry/UpstreamRegistry.h"
#include "celeryline/settings/PeriodicThread.h"

#include <string>
#include <vector>

namespace celeryline {

/// Expires leases, sends registry changes to the peers in the same data centre and fetches full copies from
/// them.
class RegistrySync {
public:
    /// @param registry registry to synchronise.
    /// @param peers the other entry instances in this data centre.
    /// @param transport used for calls to the peers.
    /// @param clock used for the expiry of leases.
    RegistrySync(UpstreamRegistry& registry, std::vector<std::string> peers, PeerTransport& transport,
        const Clock& clock);

    void start();

    /// Stops the threads and sends the changes that are still queued.
    void stop();

private:
    void sendDeltas();
    void fetchFullCopies();

    UpstreamRegistry& m_registry;
    std::vector<std::string> m_peers;
    PeerTransport& m_transport;
    const Clock& m_clock;
    PeriodicThread m_tickThread;
    PeriodicThread m_copyThread; ///< Separate, so that a blocking copy does not delay lease expiry.
};

} // namespace celeryline
