#include "celeryline/rpc/PeerMonitor.h"

#include <algorithm>
#include <tuple>

namespace celeryline {

namespace {

constexpr int farInterval = 4; // Heartbeats to near peers for one to far ones.

/// @return whether far peers should learn of the difference at once.
bool tellsMore(const Heartbeat& a, const Heartbeat& b)
{
    return std::tie(a.appliedRevision, a.leader, a.draining)
        != std::tie(b.appliedRevision, b.leader, b.draining);
}

} // namespace

PeerMonitor::PeerMonitor(const PeerMonitorOptions& options, PeerTransport& transport, const Clock& clock,
    std::function<Heartbeat()> ownHeartbeat)
    : m_options(options)
    , m_transport(transport)
    , m_clock(clock)
    , m_ownHeartbeat(std::move(ownHeartbeat))
{
    for (const auto& name : options.peers) {
        m_peers[name].heartbeat.name = name;
    }
}

PeerMonitor::~PeerMonitor() { stop(); }

void PeerMonitor::start()
{
    m_thread = std::thread([this] { run(); });
}

void PeerMonitor::stop()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void PeerMonitor::run()
{
    for (int round = 0;; ++round) {
        bool isStopping = false;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            isStopping
                = m_wake.wait_for(lock, m_options.interval.toChrono(), [this] { return m_isStopping; });
        }
        send(isStopping || round % farInterval == 0);
        if (isStopping) {
            return;
        }
    }
}

void PeerMonitor::sendNow() { send(true); }

void PeerMonitor::send(bool isToAll)
{
    auto heartbeat = m_ownHeartbeat();
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        isToAll = isToAll || tellsMore(heartbeat, m_lastToAll);
        m_lastToAll = isToAll ? heartbeat : m_lastToAll;
    }
    for (const auto& name : m_options.peers) {
        if (isToAll || !isFar(name)) {
            m_transport.sendHeartbeat(name, heartbeat);
        }
    }
}

bool PeerMonitor::isFar(const std::string& name) const
{
    const auto& far = m_options.farPeers;
    return std::find(far.begin(), far.end(), name) != far.end();
}

void PeerMonitor::note(const Heartbeat& heartbeat)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_peers.find(heartbeat.name);
    if (found != m_peers.end()) {
        found->second = { heartbeat, m_clock.now(), true };
    }
}

PeerStatus PeerMonitor::statusOf(const PeerStatus& stored, Millis now) const
{
    auto status = stored;
    // A single late heartbeat must not count as the loss of a far peer.
    bool isWaitedLonger = isFar(stored.heartbeat.name);
    auto timeout = isWaitedLonger ? m_options.timeout + m_options.timeout : m_options.timeout;
    status.isLive = stored.isLive && now < stored.lastHeard + timeout;
    return status;
}

std::vector<PeerStatus> PeerMonitor::peers() const
{
    std::vector<PeerStatus> result;
    auto now = m_clock.now();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [name, stored] : m_peers) {
        result.push_back(statusOf(stored, now));
    }
    return result;
}

PeerStatus PeerMonitor::peer(const std::string& name) const
{
    auto now = m_clock.now();
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_peers.find(name);
    return found == m_peers.end() ? PeerStatus {} : statusOf(found->second, now);
}

std::uint64_t PeerMonitor::highestRevision() const
{
    std::uint64_t highest = 0;
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [name, stored] : m_peers) {
        highest = std::max(highest, stored.heartbeat.appliedRevision);
    }
    return highest;
}

std::string PeerMonitor::leaderHint() const
{
    std::string leader;
    std::uint64_t revision = 0;
    for (const auto& status : peers()) {
        const auto& heartbeat = status.heartbeat;
        if (status.isLive && !heartbeat.leader.empty()
            && (leader.empty() || heartbeat.appliedRevision > revision)) {
            leader = heartbeat.leader;
            revision = heartbeat.appliedRevision;
        }
    }
    return leader;
}

} // namespace celeryline
