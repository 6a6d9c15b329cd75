/// @file
/// Client connection to another entry instance.
#pragma once

#include "celeryline/base/SocketOptions.h"
#include "celeryline/rpc/PeerCall.h"
#include "celeryline/rpc/PeerQueue.h"
#include "celeryline/rpc/RpcLoop.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace celeryline::detail {

/// Options of a PeerLink.
struct PeerLinkOptions {
    std::string self; ///< Name of this instance.
    std::string token;
    std::string peer; ///< Name of the peer.
    std::string address; ///< "IP:port".
    Millis sendDeadline; ///< For connecting, and for messages from queueing to acknowledgement.
};

/// A connection to another entry instance. It is opened on demand, retried with exponential backoff, and
/// closed when a call or message misses its deadline. Unless stated otherwise, methods must be called on the
/// event loop's thread.
class PeerLink final : public kj::TaskSet::ErrorHandler {
public:
    /// @param loop executes the calls; must be stopped before the link is destroyed.
    /// @param options the peer and this instance.
    PeerLink(RpcLoop& loop, const PeerLinkOptions& options);
    ~PeerLink();

    /// Queues a message. Thread-safe.
    void push(PeerMessage message);

    /// Starts a call. Thread-safe.
    void start(const std::shared_ptr<PeerCall>& call);

    /// Closes the connection permanently; pending calls fail.
    void close();

    /// @return bytes sent and received so far, including on connections that have been closed.
    ByteCounters bytes() const;

private:
    enum class State { Idle, Connecting, Open, BackingOff, Closed };
    struct Connection;

    void startOnLoop(const std::shared_ptr<PeerCall>& call);
    void connect();
    kj::Promise<void> authenticate(kj::Own<kj::AsyncIoStream>&& stream);
    void onConnected();
    void onConnectFailed(const kj::Exception& exception);
    void scheduleReconnect();
    void send(const std::shared_ptr<PeerCall>& call);
    void sendQueued();
    void sendMessage(QueuedMessage queued);
    void onMessageFailed(const kj::Exception& exception);
    void endCall(const std::shared_ptr<PeerCall>& call, std::optional<Error> error);
    void scheduleDisconnect(const std::string& reason);
    void disconnect(const std::string& reason);
    void taskFailed(kj::Exception&& exception) override;

    RpcLoop& m_loop;
    const PeerLinkOptions m_options;
    PeerQueue m_queue;
    State m_state = State::Idle;
    Millis m_backoff;
    bool m_isFailureLogged = false;
    std::uint64_t m_connectionNumber = 0;
    std::size_t m_inFlight = 0;
    std::size_t m_inFlightBytes = 0;
    std::vector<std::shared_ptr<PeerCall>> m_waitingCalls; ///< Not sent yet.
    std::set<std::shared_ptr<PeerCall>> m_sentCalls;
    ByteCounters m_closedBytes;
    std::unique_ptr<Connection> m_connection;
    kj::Own<kj::TaskSet> m_tasks; ///< Connection attempts and backoff; calls belong to the connection.
};

} // namespace celeryline::detail
