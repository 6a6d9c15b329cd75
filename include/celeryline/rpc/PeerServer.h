/// @file
/// Serves the calls of other entry instances.
#pragma once

#include "celeryline/rpc/PeerHandler.h"

#include <cstdint>
#include <memory>
#include <string>

namespace celeryline {

/// Serves the calls of other entry instances over Cap'n Proto RPC.
///
/// Example: `PeerServer server(settings.peerListen, readToken(settings.security.peerTokenFile), handler);
/// server.start();`
class PeerServer {
public:
    /// @param address "IP:port"; port 0 picks a free one.
    /// @param token what the first call on a connection must present; empty accepts everyone.
    /// @param handler receives the calls; must outlive the server.
    PeerServer(const std::string& address, const std::string& token, PeerHandler& handler);
    ~PeerServer();

    /// Binds the listener and begins to serve.
    /// @throws Error of kind InvalidSettings if the address is in use.
    void start();

    /// Refuses new blocking calls, lets the running ones end and closes all connections.
    void stop();

    /// @return the bound port.
    std::uint16_t port() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace celeryline
