/// @file
/// RPC server of a control process, on the caller's event loop.
#pragma once

#include "celeryline/consensus/RaftMessage.h"
#include "celeryline/membership/Introduction.h"
#include "celeryline/rpc/ForwardedRequest.h"

#include <kj/async-io.h>

#include <string>

namespace celeryline {

/// Handles the RPCs that a control process receives.
class ControlHandler {
public:
    virtual ~ControlHandler() = default;

    virtual void onRaft(const RaftMessage& message) = 0;

    /// @param other introduction of the caller.
    /// @return introduction of this process.
    virtual Introduction onIntroduction(const Introduction& other) = 0;

    /// @param request request to be handled by the leader.
    /// @return the response.
    virtual kj::Promise<ForwardedResponse> onForwarded(ForwardedRequest request) = 0;
};

/// Accepts connections from other processes and dispatches their RPCs to a handler. Must be destroyed before
/// the handler.
///
/// Example: `ControlServer server(timer, network, "10.0.0.4:7060", handler);`
class ControlServer final : private kj::TaskSet::ErrorHandler {
public:
    /// @param timer timer of the event loop.
    /// @param network network of the event loop.
    /// @param address "IP:port" to listen on.
    /// @param handler handles the RPCs.
    /// @throws Error of kind InvalidSettings if the address is in use.
    ControlServer(
        kj::Timer& timer, kj::Network& network, const std::string& address, ControlHandler& handler);

private:
    void accept();
    void serve(kj::Own<kj::AsyncIoStream>&& stream);
    void taskFailed(kj::Exception&& exception) override;

    ControlHandler& m_handler;
    kj::Own<kj::ConnectionReceiver> m_listener;
    kj::TaskSet m_tasks;
};

} // namespace celeryline
