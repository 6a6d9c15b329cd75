/// @file
/// The server side of the RPC schema.
#pragma once

#include "celeryline/base/WorkerPool.h"
#include "celeryline/rpc/PeerHandler.h"

#include <Peer.capnp.h>

#include <functional>
#include <string>

namespace celeryline::detail {

/// Threads for the handler's blocking methods. Submitted commands wait for a commit, so many must be able to
/// wait at once, and they must not keep full copies and hellos from being served.
struct PeerWorkers {
    WorkerPool submits { 32, 4096 };
    WorkerPool others { 2, 64 };
};

/// Gives access to the calls against the peer token.
class GateService final : public rpc::Gate::Server {
public:
    /// @param token the expected token; empty accepts everyone.
    /// @param handler receives the calls.
    /// @param workers run the blocking ones.
    /// @param onOpened called when the right token was presented.
    GateService(
        const std::string& token, PeerHandler& handler, PeerWorkers& workers, std::function<void()> onOpened);

    kj::Promise<void> open(OpenContext context) override;

private:
    const std::string& m_token;
    PeerHandler& m_handler;
    PeerWorkers& m_workers;
    std::function<void()> m_onOpened;
};

} // namespace celeryline::detail
