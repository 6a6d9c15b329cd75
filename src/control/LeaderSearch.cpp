#include "celeryline/control/LeaderSearch.h"

#include "celeryline/base/SocketAddress.h"
#include "celeryline/control/ControlTimes.h"
#include "celeryline/settings/EventLog.h"
#include "celeryline/settings/Logging.h"

namespace celeryline {
namespace {

kj::Duration toKj(Millis time) { return time.count * kj::MILLISECONDS; }

} // namespace

LeaderSearch::LeaderSearch(LeaderClient& client, ControlLinks& links, const LeaderSearchOptions& options)
    : m_client(client)
    , m_links(links)
    , m_options(options)
    , m_tasks(*this)
{
    m_client.setRefusalPolicy({ options.refuseAfter, options.retryDelay + controlCallTimeout });
    tick();
}

void LeaderSearch::tick()
{
    m_client.updateResponseTimer();
    queryProcesses();
    logRefusalChange();
    auto delay = m_client.responseTimer().isRunning ? responseTimerInterval : m_options.interval;
    m_tasks.add(m_links.timer().afterDelay(toKj(delay)).then([this] { tick(); }));
}

void LeaderSearch::queryProcesses()
{
    if (hasLeader() && !m_client.leader().empty()) {
        queryIfDue(m_client.leader());
        return;
    }
    for (const auto& address : m_client.addresses())
        queryIfDue(address);
}

void LeaderSearch::queryIfDue(const std::string& address)
{
    auto& query = m_queries[address];
    if (query.isPending || m_links.timer().now() < query.dueAt)
        return;
    query.isPending = true;
    m_client.onQuerySent();
    // An address that can't be parsed is treated like an unresponsive process.
    auto promise = kj::evalNow([&] {
        return m_links.to(address).introduce({}, controlCallTimeout);
    }).catch_([](kj::Exception&&) { return CallResult<Introduction> {}; });
    m_tasks.add(
        promise.then([this, address](CallResult<Introduction>&& call) { onResponse(address, call); }));
}

void LeaderSearch::onResponse(const std::string& address, const CallResult<Introduction>& call)
{
    m_client.updateResponseTimer();
    bool isLeader
        = call.hasResult && !call.result.leader.empty() && call.result.leader == call.result.address;
    auto delay = isLeader ? m_options.interval : m_options.retryDelay;
    m_queries[address] = { false, m_links.timer().now() + toKj(delay) };
    if (call.hasResult)
        m_client.addAddresses(call.result.members);
    if (isLeader) {
        onLeaderFound(address);
    } else {
        onNotLeader(address, call.result.leader);
    }
    logRefusalChange();
}

void LeaderSearch::onLeaderFound(const std::string& address)
{
    m_client.onLeaderResponse(address);
    if (!hasLeader())
        Event("control-found").with("address", address).writeAlways();
    m_confirmedLeader = address;
}

void LeaderSearch::onNotLeader(const std::string& address, const std::string& reportedLeader)
{
    if (m_client.leader() == address)
        m_client.setLeader("");
    if (m_confirmedLeader == address) {
        Event("control-lost").with("address", address).writeAlways();
        m_confirmedLeader.clear();
    }
    if (!reportedLeader.empty()) {
        // That process may have failed or be unreachable from here; only its own response confirms it.
        m_client.addAddresses({ reportedLeader });
        if (m_client.leader().empty() && parseSocketAddress(reportedLeader))
            m_client.setLeader(reportedLeader);
    }
    queryProcesses();
}

void LeaderSearch::logRefusalChange()
{
    if (m_client.isRefusing() == m_wasRefusing)
        return;
    m_wasRefusing = m_client.isRefusing();
    Event(m_wasRefusing ? "refusing" : "not-refusing")
        .with("silentMs", m_client.responseTimer().elapsed)
        .with("leader", m_client.leader())
        .with("asked", static_cast<std::uint64_t>(m_client.addresses().size()))
        .writeAlways();
}

void LeaderSearch::taskFailed(kj::Exception&& exception)
{
    LOG4CXX_ERROR(logger("control"), "leader search task failed: " << exception.getDescription().cStr());
}

} // namespace celeryline
