#include "celeryline/RegistryRunner.h"

#include "celeryline/Error.h"
#include "celeryline/Logging.h"

#include <chrono>

namespace celeryline {

namespace {

constexpr std::chrono::milliseconds tickInterval { 20 };
constexpr std::chrono::milliseconds callInterval { 50 };
constexpr Millis copyTimeout { 1000 };

} // namespace

RegistryRunner::RegistryRunner(UpstreamRegistry& registry, std::vector<std::string> peers,
    PeerTransport& transport, const Clock& clock, EventSink sink)
    : m_registry(registry)
    , m_peers(std::move(peers))
    , m_transport(transport)
    , m_clock(clock)
    , m_sink(std::move(sink))
{
}

RegistryRunner::~RegistryRunner() { stop(); }

void RegistryRunner::start()
{
    m_ticker = std::thread([this] { runTicks(); });
    m_caller = std::thread([this] { runCalls(); });
}

void RegistryRunner::stop()
{
    m_isStopping = true;
    if (m_ticker.joinable()) {
        m_ticker.join();
        m_caller.join();
    }
}

void RegistryRunner::runTicks()
{
    while (!m_isStopping) {
        m_registry.tick(m_clock.now());
        sendDeltas();
        std::this_thread::sleep_for(tickInterval);
    }
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

void RegistryRunner::runCalls()
{
    while (!m_isStopping) {
        fetchCopies();
        auto events = m_registry.takeEvents();
        if (!events.empty()) {
            m_registry.returnEvents(m_sink(events));
        }
        std::this_thread::sleep_for(callInterval);
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
