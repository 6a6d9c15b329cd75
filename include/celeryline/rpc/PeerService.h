/// @file
/// Server implementation of the interfaces in Peer.capnp.
#pragma once

#include "celeryline/base/WorkerPool.h"
#include "celeryline/rpc/PeerHandler.h"

#include <Peer.capnp.h>

#include <functional>
#include <string>

namespace celeryline::detail {

/// Thread pools for the handler's blocking methods. Submitted commands block until they are committed, so the
/// pool must allow many at once. Full copies and hellos have a separate pool so that commands can't block
/// them.
struct PeerWorkers {
    WorkerPool submits { 32, 4096 };
    WorkerPool others { 2, 64 };
};

/// Bootstrap interface, which grants access to the Peer interface to clients that present the peer token.
class GateService final : public rpc::Gate::Server {
public:
    /// @param token the expected token; empty disables the check.
    /// @param handler handles the RPCs.
    /// @param workers execute the blocking RPCs.
    /// @param onAuthenticated called after a client has been granted access.
    GateService(const std::string& token, PeerHandler& handler, PeerWorkers& workers,
        std::function<void()> onAuthenticated);

    kj::Promise<void> open(OpenContext context) override;

private:
    const std::string& m_token;
    PeerHandler& m_handler;
    PeerWorkers& m_workers;
    std::function<void()> m_onAuthenticated;
};

} // namespace celeryline::detail
