/// @file
/// Client for other entry instances over Cap'n Proto RPC.
#pragma once

#include "celeryline/consensus/PeerTransport.h"
#include "celeryline/settings/Settings.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace celeryline {

/// Options of an RpcTransport.
struct RpcOptions {
    std::string name; ///< Name of this instance.
    std::string token; ///< Presented to the peers.
    std::vector<PeerSettings> peers;
    /// If a peer does not acknowledge a message within this time, the connection is reopened.
    Millis sendDeadline { 1000 };
};

/// Bytes of TCP payload exchanged with a peer on connections that this instance opened.
struct PeerTraffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Sends messages and calls to other entry instances over Cap'n Proto RPC, with one connection per peer.
/// Thread-safe.
///
/// Example: `RpcTransport transport({ settings.name, readToken(settings.security.peerTokenFile),
/// settings.peers });`
class RpcTransport final : public PeerTransport {
public:
    /// @param options this instance and its peers.
    explicit RpcTransport(const RpcOptions& options);
    ~RpcTransport() override;

    void sendRaft(const std::string& peer, RaftMessage message) override;
    void sendDelta(const std::string& peer, RegistryDelta delta) override;
    void sendHeartbeat(const std::string& peer, const Heartbeat& heartbeat) override;

    CommandResult submit(const std::string& peer, const Command& command, Millis timeout) override;
    RegistryDelta fullCopy(const std::string& peer, Millis timeout) override;
    CreditGrant requestCredits(
        const std::string& peer, const CreditRequest& request, Millis timeout) override;
    Hello hello(const std::string& peer, const Hello& hello, Millis timeout) override;

    /// Closes all connections. Pending and later calls fail; later messages are dropped.
    void stop();

    /// @param peer name of a peer.
    /// @return the traffic with this peer so far; zero after stop().
    PeerTraffic traffic(const std::string& peer);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace celeryline
