// Blocking calls of ReplicatedLog: submission of commands and formation of the log.
#include "celeryline/base/Error.h"
#include "celeryline/consensus/LogFormation.h"
#include "celeryline/consensus/ReplicatedLog.h"
#include "celeryline/settings/Logging.h"

#include <algorithm>

namespace celeryline {
namespace {

using detail::SubmitState;

/// Timeout of onSubmit(); the submitter's own timeout is usually shorter.
constexpr Millis forwardedSubmitTimeout { 30000 };
constexpr Millis helloTimeout { 500 };
constexpr std::chrono::milliseconds formationInterval(100);

} // namespace

ReplicatedLog::WaiterPointer ReplicatedLog::addWaiter(const std::string& id)
{
    auto waiter = std::make_shared<detail::SubmitWaiter>();
    std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_isRunning || m_isStopping || !m_status.failure.empty()) {
        throw Error(ErrorKind::Unavailable,
            "the replicated log of \"" + m_settings.name + "\" is not running"
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
    m_inputsChanged.notify_one();
}

void ReplicatedLog::resolveWaiters(SubmitState state, bool onlyProposed)
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
    // Waits in short steps, because m_clock, which the deadline refers to, may differ from the system clock.
    constexpr std::chrono::milliseconds step(20);
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!condition() && !m_isStopping && m_status.failure.empty() && m_clock.now() < deadline) {
        auto remaining = (deadline - m_clock.now()).toChrono();
        m_changed.wait_for(lock, std::min<std::chrono::milliseconds>(step, remaining));
    }
}

CommandResult ReplicatedLog::submit(const Command& command, Millis timeout)
{
    auto deadline = m_clock.now() + timeout;
    auto waiter = addWaiter(command.id);
    bool mayBeCommitted = false;
    bool isDone = false;
    try {
        while (!isDone) {
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
            // A queued command may still be proposed after this call has returned.
            if (waiter->isProposed || (leader == m_settings.name && waiter->state == SubmitState::Waiting))
                mayBeCommitted = true;
            isDone = waiter->state == SubmitState::Applied || m_isStopping || !m_status.failure.empty()
                || m_clock.now() >= deadline;
            if (!isDone && waiter->state != SubmitState::Unknown)
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
        throw Error(ErrorKind::TimedOut,
            "the result of command \"" + command.id + "\" was not known before the timeout",
            "submit it again with the same id");
    }
    throw Error(ErrorKind::Unavailable, "no leader of the replicated log is reachable",
        "try again when a majority of the voters is connected");
}

bool ReplicatedLog::forward(
    const std::string& leader, const Command& command, Millis deadline, bool& mayBeCommitted)
{
    // One attempt is shorter than the total timeout, so that a new leader is tried if this one doesn't
    // respond.
    auto attemptTimeout = Millis { 3 * m_settings.consensus.electionTimeout.count + 500 };
    auto remaining = deadline - m_clock.now();
    if (remaining <= Millis { 0 })
        return false;
    try {
        m_transport->submit(leader, command, std::min(remaining, attemptTimeout));
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
    waitUntil(m_clock.now() + forwardedSubmitTimeout, [&] { return waiter->state != SubmitState::Waiting; });
    removeWaiter(command.id, waiter);
    std::lock_guard<std::mutex> lock(m_mutex);
    if (waiter->state == SubmitState::Applied)
        return waiter->result;
    if (waiter->state == SubmitState::Refused) {
        throw Error(ErrorKind::Unavailable, "\"" + m_settings.name + "\" is no longer the leader",
            "try again with the new leader");
    }
    throw Error(ErrorKind::TimedOut, "the result of command \"" + command.id + "\" is unknown",
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
                "the replicated log of \"" + m_settings.name + "\" is not running", "try again later");
        }
    }
    if (!hello.formation.empty() && m_storage != nullptr && !ownHello().hasLog) {
        auto entry = decodeFormation(hello.formation);
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            m_inputs.formations.push_back(std::move(entry));
            m_inputsChanged.notify_one();
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
            // Once there is a leader, it replicates the first entry to all others.
            if (m_isStopping || !m_status.failure.empty() || !m_status.leader.empty())
                return;
            formation = m_formation;
            hasLog = m_status.lastIndex != 0;
        }
        if (formation) {
            distributeFormation(ownHello(), *formation, *m_transport, helloTimeout);
        } else if (!hasLog && isFounder) {
            auto entry = collectFormation(ownHello(), m_settings.voters, m_transport, helloTimeout);
            std::lock_guard<std::mutex> lock(m_mutex);
            if (entry) {
                LOG4CXX_INFO(logger("consensus"), "all voters have empty logs; forming a new log");
                m_inputs.formations.push_back(std::move(*entry));
                m_inputsChanged.notify_one();
            }
        }
    }
}

} // namespace celeryline
