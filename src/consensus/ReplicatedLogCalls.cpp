// The blocking calls of ReplicatedLog: submitting commands and forming the log.
#include "celeryline/base/Error.h"
#include "celeryline/consensus/LogFormation.h"
#include "celeryline/consensus/ReplicatedLog.h"
#include "celeryline/settings/Logging.h"

#include <algorithm>

namespace celeryline {
namespace {

using detail::SubmitState;

/// Longest that onSubmit() waits; the submitter's own timeout is usually shorter.
constexpr Millis longestForwardedWait { 30000 };
constexpr Millis helloTimeout { 500 };
constexpr std::chrono::milliseconds formationInterval(100);

} // namespace

ReplicatedLog::WaiterPointer ReplicatedLog::addWaiter(const std::string& id)
{
    auto waiter = std::make_shared<detail::SubmitWaiter>();
    std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_isRunning || m_isStopping || !m_status.failure.empty()) {
        throw Error(ErrorKind::Unavailable,
            "the replicated log of \"" + m_settings.name + "\" does not run"
                + (m_status.failure.empty() ? "" : " (" + m_status.failure + ")"),
            "use another instance");
    }
    m_waiters.emplace(id, waiter);
    return waiter;
}

void ReplicatedLog::removeWaiter(const std::string& id, const WaiterPointer& waiter)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    auto range = m_waiters.equal_range(id);
    for (auto entry = range.first; entry != range.second; ++entry) {
        if (entry->second == waiter) {
            m_waiters.erase(entry);
            return;
        }
    }
}

void ReplicatedLog::enqueue(const Command& command, const WaiterPointer& waiter)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (waiter->state == SubmitState::Applied)
        return;
    waiter->state = SubmitState::Waiting;
    waiter->isProposed = false;
    m_inputs.proposals.push_back({ command, waiter });
    m_wakeLog.notify_one();
}

void ReplicatedLog::endWaiters(SubmitState state, bool onlyProposed)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    for (auto& [id, waiter] : m_waiters) {
        if (waiter->state == SubmitState::Waiting && (waiter->isProposed || !onlyProposed))
            waiter->state = state;
    }
    m_changed.notify_all();
}

template <typename Condition> void ReplicatedLog::waitUntil(Millis deadline, Condition condition)
{
    // Short steps, because the deadline is on m_clock, which may not run like the system's.
    constexpr std::chrono::milliseconds step(20);
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!condition() && !m_isStopping && m_status.failure.empty() && m_clock.now() < deadline) {
        auto left = (deadline - m_clock.now()).toChrono();
        m_changed.wait_for(lock, std::min<std::chrono::milliseconds>(step, left));
    }
}

CommandResult ReplicatedLog::submit(const Command& command, Millis timeout)
{
    auto deadline = m_clock.now() + timeout;
    auto waiter = addWaiter(command.id);
    bool mayBeCommitted = false;
    bool isEnding = false;
    try {
        while (!isEnding) {
            std::string leader;
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                leader = m_status.leader;
                if (waiter->state == SubmitState::Applied)
                    break;
            }
            if (leader == m_settings.name) {
                enqueue(command, waiter);
                waitUntil(deadline, [&] { return waiter->state != SubmitState::Waiting; });
            } else if (!leader.empty() && m_transport != nullptr) {
                if (forward(leader, command, deadline, mayBeCommitted)) {
                    {
                        std::lock_guard<std::mutex> lock(m_mutex);
                        if (waiter->state != SubmitState::Applied)
                            waiter->state = SubmitState::Waiting;
                    }
                    waitUntil(deadline, [&] { return waiter->state != SubmitState::Waiting; });
                }
            }
            std::unique_lock<std::mutex> lock(m_mutex);
            // A queued proposal may still be proposed after this call has ended.
            if (waiter->isProposed || (leader == m_settings.name && waiter->state == SubmitState::Waiting))
                mayBeCommitted = true;
            isEnding = waiter->state == SubmitState::Applied || m_isStopping || !m_status.failure.empty()
                || m_clock.now() >= deadline;
            if (!isEnding && waiter->state != SubmitState::Lost)
                m_changed.wait_for(lock, std::chrono::milliseconds(5));
        }
    } catch (...) {
        removeWaiter(command.id, waiter);
        throw;
    }
    removeWaiter(command.id, waiter);
    std::lock_guard<std::mutex> lock(m_mutex);
    if (waiter->state == SubmitState::Applied)
        return waiter->result;
    if (mayBeCommitted) {
        throw Error(ErrorKind::TimedOut, "the result of command \"" + command.id + "\" is not known in time",
            "submit it again with the same id");
    }
    throw Error(ErrorKind::Unavailable, "no leader of the replicated log can be reached",
        "try again when a majority of the voters is connected");
}

bool ReplicatedLog::forward(
    const std::string& leader, const Command& command, Millis deadline, bool& mayBeCommitted)
{
    // One try is shorter than the whole timeout, so that a new leader is asked when this one went silent.
    auto longestTry = Millis { 3 * m_settings.consensus.electionTimeout.count + 500 };
    auto left = deadline - m_clock.now();
    if (left <= Millis { 0 })
        return false;
    try {
        m_transport->submit(leader, command, std::min(left, longestTry));
        mayBeCommitted = true;
        return true;
    } catch (const Error& e) {
        if (e.kind() == ErrorKind::TimedOut) {
            mayBeCommitted = true;
        } else if (e.kind() != ErrorKind::Unavailable) {
            throw;
        }
        return false;
    }
}

CommandResult ReplicatedLog::onSubmit(const Command& command)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_status.role != ConsensusRole::Leader) {
            throw Error(ErrorKind::Unavailable, "\"" + m_settings.name + "\" is not the leader",
                m_status.leader.empty() ? "no leader is known, try again"
                                        : "send it to \"" + m_status.leader + "\"");
        }
    }
    auto waiter = addWaiter(command.id);
    enqueue(command, waiter);
    waitUntil(m_clock.now() + longestForwardedWait, [&] { return waiter->state != SubmitState::Waiting; });
    removeWaiter(command.id, waiter);
    std::lock_guard<std::mutex> lock(m_mutex);
    if (waiter->state == SubmitState::Applied)
        return waiter->result;
    if (waiter->state == SubmitState::Refused) {
        throw Error(ErrorKind::Unavailable, "\"" + m_settings.name + "\" is not the leader any more",
            "try again with the new leader");
    }
    throw Error(ErrorKind::TimedOut, "the result of command \"" + command.id + "\" is not known",
        "submit it again with the same id");
}

Hello ReplicatedLog::ownHello() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    Hello hello;
    hello.name = m_settings.name;
    hello.storageId = m_storage != nullptr ? m_self.storageId : "";
    hello.hasLog = m_status.lastIndex != 0;
    return hello;
}

Hello ReplicatedLog::onHello(const Hello& hello)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_isRunning || m_isStopping || !m_status.failure.empty()) {
            throw Error(ErrorKind::Unavailable,
                "the replicated log of \"" + m_settings.name + "\" does not run", "try again later");
        }
    }
    if (!hello.formation.empty() && m_storage != nullptr && !ownHello().hasLog) {
        auto entry = decodeFormation(hello.formation);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_inputs.formations.push_back(std::move(entry));
            m_wakeLog.notify_one();
        }
        waitUntil(m_clock.now() + helloTimeout, [this] { return m_status.lastIndex != 0; });
    }
    return ownHello();
}

void ReplicatedLog::runFormation()
{
    bool isFounder = m_settings.voters.front() == m_settings.name;
    for (;;) {
        std::optional<LogEntry> formation;
        bool hasLog = false;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_changed.wait_for(lock, formationInterval, [this] { return m_isStopping; });
            // Once a leader is known, it brings every replica up to date.
            if (m_isStopping || !m_status.failure.empty() || !m_status.leader.empty())
                return;
            formation = m_formation;
            hasLog = m_status.lastIndex != 0;
        }
        if (formation) {
            distributeFormation(ownHello(), *formation, *m_transport, helloTimeout);
        } else if (!hasLog && isFounder) {
            auto entry = foundLog(ownHello(), m_settings.voters, m_transport, helloTimeout);
            std::lock_guard<std::mutex> lock(m_mutex);
            if (entry) {
                LOG4CXX_INFO(logger("consensus"), "all voters are empty, a new log is formed");
                m_inputs.formations.push_back(std::move(*entry));
                m_wakeLog.notify_one();
            }
        }
    }
}

} // namespace celeryline
