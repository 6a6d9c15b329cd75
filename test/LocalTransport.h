/// @file
/// Calls between instances in one process.
#pragma once

#include "celeryline/consensus/PeerTransport.h"
#include "celeryline/consensus/ReplicatedLog.h"

#include <map>
#include <set>
#include <shared_mutex>
#include <string>

namespace celeryline::test {

/// Joins the replicated logs of several instances in one process; instances can be cut off.
class LocalNetwork {
public:
    void add(const std::string& name, ReplicatedLog& log)
    {
        std::unique_lock<std::shared_mutex> lock(m_mutex);
        m_logs[name] = &log;
    }
    /// Returns after all calls to this instance have ended.
    void remove(const std::string& name)
    {
        std::unique_lock<std::shared_mutex> lock(m_mutex);
        m_logs.erase(name);
    }
    void cutOff(const std::string& name)
    {
        std::unique_lock<std::shared_mutex> lock(m_mutex);
        m_cutOff.insert(name);
    }
    void reconnect(const std::string& name)
    {
        std::unique_lock<std::shared_mutex> lock(m_mutex);
        m_cutOff.erase(name);
    }

    /// Calls an instance, unless one of the two is cut off.
    template <typename Action> auto call(const std::string& from, const std::string& to, Action action)
    {
        std::shared_lock<std::shared_mutex> lock(m_mutex);
        auto log = m_logs.find(to);
        if (log == m_logs.end() || m_cutOff.count(from) != 0 || m_cutOff.count(to) != 0)
            throw Error(ErrorKind::Unavailable, "\"" + to + "\" can't be reached", "try again");
        return action(*log->second);
    }

private:
    std::shared_mutex m_mutex;
    std::map<std::string, ReplicatedLog*> m_logs;
    std::set<std::string> m_cutOff;
};

/// One instance's calls through a LocalNetwork.
class LocalTransport final : public PeerTransport {
public:
    LocalTransport(LocalNetwork& network, std::string name)
        : m_network(network)
        , m_name(std::move(name))
    {
    }

    void sendRaft(const std::string& peer, RaftMessage message) override
    {
        try {
            m_network.call(m_name, peer, [&](ReplicatedLog& log) { log.onRaft(std::move(message)); });
        } catch (const Error&) {
            return; // Dropped, as documented.
        }
    }
    CommandResult submit(const std::string& peer, const Command& command, Millis) override
    {
        return m_network.call(m_name, peer, [&](ReplicatedLog& log) { return log.onSubmit(command); });
    }
    Hello hello(const std::string& peer, const Hello& hello, Millis) override
    {
        return m_network.call(m_name, peer, [&](ReplicatedLog& log) { return log.onHello(hello); });
    }
    void sendDelta(const std::string&, RegistryDelta) override { }
    void sendHeartbeat(const std::string&, const Heartbeat&) override { }
    RegistryDelta fullCopy(const std::string&, Millis) override { return {}; }
    CreditGrant requestCredits(const std::string&, const CreditRequest&, Millis) override { return {}; }

private:
    LocalNetwork& m_network;
    std::string m_name;
};

} // namespace celeryline::test
