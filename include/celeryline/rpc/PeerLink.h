/// @file
/// The connection to one other entry instance.
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

/// What a PeerLink needs to know.
struct PeerLinkOptions {
    std::string self; ///< Name of this instance.
    std::string token;
    std::string peer; ///< Name of the peer.
    std::string address; ///< "IP:port".
    Millis sendDeadline; ///< Of messages, from queueing to the peer's confirmation, and of connecting.
};

/// The connection to one other entry instance: opened on demand, with a growing pause after failures, and
/// closed when a call misses its deadline. Methods that are not marked otherwise run on the loop's thread.
class PeerLink final : public kj::TaskSet::ErrorHandler {
public:
    /// @param loop carries out the calls; must be stopped before the link is destroyed.
    /// @param options the peer.
    PeerLink(RpcLoop& loop, const PeerLinkOptions& options);
    ~PeerLink();

    /// Queues a message; any thread.
    /// @param message to be sent.
    void push(PeerMessage message);

    /// Starts a call; any thread.
    /// @param call the caller waits for it.
    void start(const std::shared_ptr<PeerCall>& call);

    /// Closes the connection; waiting calls fail.
    void close();

    /// @return bytes sent and received on all connections so far.
    ByteCounters bytes() const;

private:
    enum class State { Idle, Connecting, Open, Pausing, Closed };
    struct Connection;

    void begin(const std::shared_ptr<PeerCall>& call);
    void connect();
    kj::Promise<void> openGate(kj::Own<kj::AsyncIoStream>&& stream);
    void onOpened();
    void onConnectFailed(const kj::Exception& exception);
    void pause();
    void send(const std::shared_ptr<PeerCall>& call);
    void pump();
    void sendMessage(QueuedMessage queued);
    void onMessageFailed(const kj::Exception& exception);
    void endCall(const std::shared_ptr<PeerCall>& call, std::optional<Error> error);
    void scheduleDrop(const std::string& reason);
    void drop(const std::string& reason);
    void taskFailed(kj::Exception&& exception) override;

    RpcLoop& m_loop;
    const PeerLinkOptions m_options;
    PeerQueue m_queue;
    State m_state = State::Idle;
    Millis m_pause;
    bool m_isFailureLogged = false;
    std::uint64_t m_connectionNumber = 0;
    std::size_t m_inFlight = 0;
    std::size_t m_inFlightBytes = 0;
    std::vector<std::shared_ptr<PeerCall>> m_waitingCalls; ///< Not sent yet.
    std::set<std::shared_ptr<PeerCall>> m_sentCalls;
    ByteCounters m_closedBytes;
    std::unique_ptr<Connection> m_connection;
    kj::Own<kj::TaskSet> m_tasks; ///< Connecting and pauses; the calls belong to the connection.
};

} // namespace celeryline::detail
