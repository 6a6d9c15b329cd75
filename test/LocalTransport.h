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

/// Connects the replicated logs of several instances in one process; instances can be disconnected.
class LocalNetwork {
public:
    void add(const std::string& name, ReplicatedLog& log)
    {
        std::unique_lock<std::shared_mutex> lock(m_mutex);
        m_logs[name] = &log;
    }
    /// Removes an instance after all calls to it have returned.
    void remove(const std::string& name)
    {
        std::unique_lock<std::shared_mutex> lock(m_mutex);
        m_logs.erase(name);
    }
    void disconnect(const std::string& name)
    {
        std::unique_lock<std::shared_mutex> lock(m_mutex);
        m_disconnected.insert(name);
    }
    void reconnect(const std::string& name)
    {
        std::unique_lock<std::shared_mutex> lock(m_mutex);
        m_disconnected.erase(name);
    }

    /// Calls an instance.
    /// @throws Error of kind Unavailable if it isn't there or either instance is disconnected.
    template <typename Action> auto call(const std::string& from, const std::string& to, Action action)
    {
        std::shared_lock<std::shared_mutex> lock(m_mutex);
        auto log = m_logs.find(to);
        if (log == m_logs.end() || m_disconnected.count(from) != 0 || m_disconnected.count(to) != 0)
            throw Error(ErrorKind::Unavailable, "\"" + to + "\" is not reachable", "try again");
        return action(*log->second);
    }

private:
    std::shared_mutex m_mutex;
    std::map<std::string, ReplicatedLog*> m_logs;
    std::set<std::string> m_disconnected;
};

/// The transport of one instance in a LocalNetwork.
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
            return; // sendRaft() drops undeliverable messages.
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
