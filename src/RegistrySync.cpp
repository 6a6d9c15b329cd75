#include "celeryline/RegistrySync.h"

#include "celeryline/Error.h"
#include "celeryline/Logging.h"

namespace celeryline {

namespace {

constexpr Millis tickInterval { 50 };
// With 1000 ms, two copies that were lost in a row let an upstream that had left be offered for over 2 s.
constexpr Millis copyTimeout { 500 };

} // namespace

RegistrySync::RegistrySync(
    UpstreamRegistry& registry, PeerTransport& transport, const Clock& clock, std::vector<std::string> peers)
    : m_registry(registry)
    , m_transport(transport)
    , m_clock(clock)
    , m_peers(std::move(peers))
{
}

RegistrySync::~RegistrySync() { stop(); }

void RegistrySync::start()
{
    m_thread = std::thread([this] { run(); });
    if (!m_peers.empty()) {
        m_copyThread = std::thread([this] { runCopies(); });
    }
}

void RegistrySync::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    if (m_copyThread.joinable()) {
        m_copyThread.join();
    }
}

void RegistrySync::run()
{
    do {
        m_registry.tick(m_clock.now());
        sendDeltas();
    } while (sleep(tickInterval));
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

void RegistrySync::runCopies()
{
    do {
        for (const auto& peer : m_registry.peersToCopy()) {
            try {
                auto copy = m_transport.fullCopy(peer, copyTimeout);
                m_registry.applyDelta(copy, m_clock.now());
            } catch (const Error& e) {
                LOG4CXX_DEBUG(logger("registry"), "no full copy from " << peer << ": " << e.what());
            }
        }
    } while (sleep(tickInterval));
}

bool RegistrySync::sleep(Millis time)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    return !m_wake.wait_for(lock, time.toChrono(), [this] { return m_isStopping; });
}

} // namespace celeryline
