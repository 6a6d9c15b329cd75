/// @file
/// RPC server for other entry instances.
#pragma once

#include "celeryline/rpc/PeerHandler.h"

#include <cstdint>
#include <memory>
#include <string>

namespace celeryline {

/// Serves RPCs of other entry instances over Cap'n Proto.
///
/// Example: `PeerServer server(settings.peerListen, readToken(settings.security.peerTokenFile), handler);
/// server.start();`
class PeerServer {
public:
    /// @param address "IP:port"; port 0 selects a free port.
    /// @param token peer token that the first call on a connection must present; empty disables the check.
    /// @param handler handles the RPCs; must outlive the server.
    PeerServer(const std::string& address, const std::string& token, PeerHandler& handler);
    ~PeerServer();

    /// Binds the listener and starts serving.
    /// @throws Error of kind InvalidSettings if the address is in use.
    void start();

    /// Rejects new blocking calls, waits for those in progress and closes all connections.
    void stop();

    /// @return the bound port.
    std::uint16_t port() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace celeryline
