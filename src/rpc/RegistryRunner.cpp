#include "celeryline/rpc/RegistryRunner.h"

#include "celeryline/base/Error.h"
#include "celeryline/settings/Logging.h"

namespace celeryline {

namespace {

constexpr Millis tickInterval { 20 };
constexpr Millis copyInterval { 50 };
// With 1000 ms, two copies that were lost in a row let an upstream that had left be offered for over 2 s.
constexpr Millis copyTimeout { 500 };

} // namespace

RegistryRunner::RegistryRunner(
    UpstreamRegistry& registry, std::vector<std::string> peers, PeerTransport& transport, const Clock& clock)
    : m_registry(registry)
    , m_peers(std::move(peers))
    , m_transport(transport)
    , m_clock(clock)
    , m_ticks("registry", tickInterval,
          [this] {
              m_registry.tick(m_clock.now());
              sendDeltas();
          })
    , m_copies("registry", copyInterval, [this] { fetchCopies(); })
{
}

void RegistryRunner::start()
{
    m_ticks.start();
    m_copies.start();
}

void RegistryRunner::stop()
{
    m_ticks.stop();
    m_copies.stop();
    sendDeltas();
}

void RegistryRunner::sendDeltas()
{
    while (auto delta = m_registry.takeDelta()) {
        for (const auto& peer : m_peers) {
            m_transport.sendDelta(peer, *delta);
        }
        m_registry.markSent(*delta);
    }
}

void RegistryRunner::fetchCopies()
{
    for (const auto& peer : m_registry.peersToCopy()) {
        try {
            m_registry.applyDelta(m_transport.fullCopy(peer, copyTimeout), m_clock.now());
        } catch (const Error& e) {
            LOG4CXX_DEBUG(logger("registry"), "full copy from " << peer << ": " << e.what());
        }
    }
}

} // namespace celeryline
