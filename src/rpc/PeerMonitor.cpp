#include "celeryline/rpc/PeerMonitor.h"

#include <algorithm>
#include <tuple>

namespace celeryline {

namespace {

constexpr int crossDataCentreInterval = 4; // Heartbeats sent in the same data centre for each one to others.

/// @return whether the heartbeats differ in a way that peers in other data centres must learn of immediately.
bool hasUrgentChange(const Heartbeat& a, const Heartbeat& b)
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
        send(isStopping || round % crossDataCentreInterval == 0);
        if (isStopping) {
            return;
        }
    }
}

void PeerMonitor::sendNow() { send(true); }

void PeerMonitor::send(bool toAllPeers)
{
    auto heartbeat = m_ownHeartbeat();
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        toAllPeers = toAllPeers || hasUrgentChange(heartbeat, m_lastSentToAll);
        m_lastSentToAll = toAllPeers ? heartbeat : m_lastSentToAll;
    }
    for (const auto& name : m_options.peers) {
        if (toAllPeers || !isInOtherDataCentre(name)) {
            m_transport.sendHeartbeat(name, heartbeat);
        }
    }
}

bool PeerMonitor::isInOtherDataCentre(const std::string& name) const
{
    const auto& others = m_options.crossDataCentrePeers;
    return std::find(others.begin(), others.end(), name) != others.end();
}

void PeerMonitor::recordHeartbeat(const Heartbeat& heartbeat)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_peers.find(heartbeat.name);
    if (found != m_peers.end()) {
        found->second = { heartbeat, m_clock.now(), true };
    }
}

PeerStatus PeerMonitor::currentStatus(const PeerStatus& stored, Millis now) const
{
    auto status = stored;
    // Peers in other data centres send less often; a single late heartbeat must not make them count as lost.
    bool isCrossDataCentre = isInOtherDataCentre(stored.heartbeat.name);
    auto timeout = isCrossDataCentre ? m_options.timeout + m_options.timeout : m_options.timeout;
    status.isLive = stored.isLive && now < stored.lastHeard + timeout;
    return status;
}

std::vector<PeerStatus> PeerMonitor::peers() const
{
    std::vector<PeerStatus> result;
    auto now = m_clock.now();
    std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto& [name, stored] : m_peers) {
        result.push_back(currentStatus(stored, now));
    }
    return result;
}

PeerStatus PeerMonitor::peer(const std::string& name) const
{
    auto now = m_clock.now();
    std::lock_guard<std::mutex> lock(m_mutex);
    auto found = m_peers.find(name);
    return found == m_peers.end() ? PeerStatus {} : currentStatus(found->second, now);
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
