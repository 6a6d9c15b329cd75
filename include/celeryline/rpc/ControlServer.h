/// @file
/// Serves the calls to a control process, on the caller's event loop.
#pragma once

#include "celeryline/consensus/RaftMessage.h"
#include "celeryline/membership/Introduction.h"
#include "celeryline/rpc/ForwardedRequest.h"

#include <kj/async-io.h>

#include <string>

namespace celeryline {

/// Receives the calls of other processes.
class ControlHandler {
public:
    virtual ~ControlHandler() = default;

    virtual void onRaft(const RaftMessage& message) = 0;

    /// @param other what the caller says of itself.
    /// @return what this process says of itself.
    virtual Introduction onIntroduction(const Introduction& other) = 0;

    /// @param request a request for the leader.
    /// @return its answer.
    virtual kj::Promise<ForwardedResponse> onForwarded(ForwardedRequest request) = 0;
};

/// Serves the calls to a control process. Must be destroyed before its handler.
///
/// Example: `ControlServer server(network, "10.0.0.4:7060", handler);`
class ControlServer final : private kj::TaskSet::ErrorHandler {
public:
    /// @param network network of the loop.
    /// @param address "IP:port" to listen on.
    /// @param handler receives the calls.
    /// @throws Error of kind InvalidSettings if the address is in use.
    ControlServer(kj::Network& network, const std::string& address, ControlHandler& handler);

private:
    void accept();
    void serve(kj::Own<kj::AsyncIoStream>&& stream);
    void taskFailed(kj::Exception&& exception) override;

    ControlHandler& m_handler;
    kj::Own<kj::ConnectionReceiver> m_listener;
    kj::TaskSet m_tasks;
};

} // namespace celeryline
