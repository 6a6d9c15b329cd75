/// @file
/// Client connection to a control process, on the caller's event loop.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/RaftMessage.h"
#include "celeryline/membership/Introduction.h"
#include "celeryline/rpc/ForwardedRequest.h"

#include <kj/async-io.h>

#include <memory>
#include <string>
#include <vector>

namespace celeryline {

/// Whether a failed call may have been executed.
enum class CallFailure : std::uint8_t {
    NotSent, ///< The request was not sent.
    Unknown ///< The request was sent, so it may have been executed.
};

/// The outcome of a call to a control process.
template <typename Result> struct CallResult {
    bool hasResult = false;
    Result result {};
    CallFailure failure = CallFailure::NotSent;
};

/// A connection to one control process, opened on demand. A call that times out closes the connection,
/// because an established connection can stop delivering data permanently while a new one would work; one
/// with a short timeout does so only if the connection has been silent for longer. Must be used on a single
/// event loop and must outlive the promises that it returns.
class ControlLink final : private kj::TaskSet::ErrorHandler {
public:
    /// @param timer timer of the event loop.
    /// @param network network of the event loop.
    /// @param address "IP:port" of the control process.
    ControlLink(kj::Timer& timer, kj::Network& network, std::string address);
    ~ControlLink();

    /// Forwards a request.
    /// @param timeout covers connecting and waiting for the response.
    kj::Promise<CallResult<ForwardedResponse>> forward(const ForwardedRequest& request, Millis timeout);

    /// Exchanges introductions with the other process.
    kj::Promise<CallResult<Introduction>> introduce(const Introduction& own, Millis timeout);

    /// Sends a consensus message without waiting for delivery. The message is dropped if the connection can't
    /// be established or too many messages are pending.
    void sendRaft(RaftMessage message);

    const std::string& address() const { return m_address; }

private:
    struct Connection;

    /// On which connection a call was sent, and when.
    struct SentCall {
        std::uint64_t connection; ///< 0 if the call wasn't sent yet.
        kj::TimePoint at;
    };

    void taskFailed(kj::Exception&& exception) override;
    kj::Promise<void> whenConnected();
    void startConnecting();
    void onConnected(kj::Own<kj::AsyncIoStream>&& stream);
    void queueRaft(RaftMessage message);
    void scheduleDisconnect(const std::string& reason);
    void onCallTimeout(const SentCall& sent);
    template <typename Result, typename Call>
    kj::Promise<CallResult<Result>> call(Millis timeout, Call&& sendRequest);

    kj::Timer& m_timer;
    kj::Network& m_network;
    std::string m_address;
    std::unique_ptr<Connection> m_connection;
    std::uint64_t m_connectionNumber = 0;
    kj::Maybe<kj::ForkedPromise<void>> m_connecting;
    bool m_isDisconnectScheduled = false;
    bool m_isFailureLogged = false;
    kj::TimePoint m_retryAt;
    std::size_t m_raftInFlight = 0;
    std::vector<RaftMessage> m_pendingRaft; ///< Sent once the connection is established.
    kj::TaskSet m_tasks;
};

} // namespace celeryline
