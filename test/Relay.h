/// @file
/// A relay between two loopback addresses whose connections can fall silent without being closed.
#pragma once

#include "RawConnection.h"

#include <kj/async-io.h>

#include <memory>
#include <string>
#include <vector>

namespace celeryline::test {

/// Forwards connections from one loopback address to another, on the test's event loop. A silent relay looks
/// like a peer whose power is gone: its connections stay open, nothing arrives and nothing is answered.
class Relay final : private kj::TaskSet::ErrorHandler {
public:
    /// @param network network of the event loop.
    /// @param address "IP:port" to listen on.
    /// @param target "IP:port" to forward to.
    Relay(kj::Network& network, const std::string& address, const std::string& target)
        : m_listener(listenOn(network, address))
        , m_target(networkAddress(network, target))
        , m_tasks(*this)
    {
        accept();
    }

    /// Stops forwarding. Open connections stay open, and new ones are accepted but not forwarded.
    void silence()
    {
        m_isSilent = true;
        for (auto& connection : m_connections)
            connection->pumps = kj::READY_NOW;
    }

    /// Forwards new connections again. Those that fell silent stay silent.
    void forwardNewConnections() { m_isSilent = false; }

    /// Forwards all connections again, with the bytes that have arrived meanwhile.
    void forwardAllConnections()
    {
        m_isSilent = false;
        for (auto& connection : m_connections)
            startPumps(*connection);
    }

    /// @return the number of connections accepted so far.
    int connections() const { return static_cast<int>(m_connections.size()); }

private:
    struct Connection {
        kj::Own<kj::AsyncIoStream> client;
        kj::Own<kj::AsyncIoStream> server; ///< Null until the connection is forwarded.
        kj::Promise<void> pumps = kj::READY_NOW;
    };

    void accept()
    {
        m_tasks.add(m_listener->accept().then([this](kj::Own<kj::AsyncIoStream>&& client) {
            m_connections.push_back(std::make_unique<Connection>());
            m_connections.back()->client = kj::mv(client);
            if (!m_isSilent)
                startPumps(*m_connections.back());
            accept();
        }));
    }

    void startPumps(Connection& connection)
    {
        kj::Promise<void> whenConnected = kj::READY_NOW;
        if (connection.server.get() == nullptr) {
            whenConnected = m_target->connect().then(
                [&connection](kj::Own<kj::AsyncIoStream>&& server) { connection.server = kj::mv(server); });
        }
        connection.pumps = whenConnected
                               .then([&connection] {
                                   auto pumps = kj::heapArrayBuilder<kj::Promise<void>>(2);
                                   pumps.add(pump(*connection.client, *connection.server));
                                   pumps.add(pump(*connection.server, *connection.client));
                                   return kj::joinPromises(pumps.finish());
                               })
                               .eagerlyEvaluate([](kj::Exception&&) {});
    }

    static kj::Promise<void> pump(kj::AsyncIoStream& from, kj::AsyncIoStream& to)
    {
        return from.pumpTo(to).then([&to](std::uint64_t) { to.shutdownWrite(); });
    }

    void taskFailed(kj::Exception&&) override { }

    kj::Own<kj::ConnectionReceiver> m_listener;
    kj::Own<kj::NetworkAddress> m_target;
    bool m_isSilent = false;
    std::vector<std::unique_ptr<Connection>> m_connections;
    kj::TaskSet m_tasks;
};

} // namespace celeryline::test
