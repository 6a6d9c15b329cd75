#include "celeryline/rpc/RegistrySync.h"

#include "celeryline/base/Error.h"
#include "celeryline/settings/Logging.h"

namespace celeryline {

namespace {

constexpr Millis tickInterval { 20 };
constexpr Millis fullCopyInterval { 50 };
// With 1000 ms, two consecutive lost copies kept an upstream that had left available for more than 2 s.
constexpr Millis fullCopyTimeout { 500 };

} // namespace

RegistrySync::RegistrySync(
    UpstreamRegistry& registry, std::vector<std::string> peers, PeerTransport& transport, const Clock& clock)
    : m_registry(registry)
    , m_peers(std::move(peers))
    , m_transport(transport)
    , m_clock(clock)
    , m_tickThread("registry", tickInterval,
          [this] {
              m_registry.tick(m_clock.now());
              sendDeltas();
          })
    , m_copyThread("registry", fullCopyInterval, [this] { fetchFullCopies(); })
{
}

void RegistrySync::start()
{
    m_tickThread.start();
    m_copyThread.start();
}

void RegistrySync::stop()
{
    m_tickThread.stop();
    m_copyThread.stop();
    sendDeltas();
}

void RegistrySync::sendDeltas()
{
    while (auto delta = m_registry.takeDelta()) {
        for (const auto& peer : m_peers) {
            m_transport.sendDelta(peer, *delta);
        }
        m_registry.markSent(*delta);
    }
}

void RegistrySync::fetchFullCopies()
{
    for (const auto& peer : m_registry.peersToCopy()) {
        try {
            m_registry.applyDelta(m_transport.fullCopy(peer, fullCopyTimeout), m_clock.now());
        } catch (const Error& e) {
            LOG4CXX_DEBUG(logger("registry"), "can't fetch a full copy from " << peer << ": " << e.what());
        }
    }
}

} // namespace celeryline
