/// @file
/// A connection to a control process, on the caller's event loop.
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

/// Whether a failed call may have had an effect.
enum class CallFailure : std::uint8_t {
    NotSent, ///< It did not reach the other process.
    Unknown
};

/// The outcome of a call to a control process.
template <typename Result> struct CallResult {
    bool hasResult = false;
    Result result {};
    CallFailure failure = CallFailure::NotSent;
};

/// A connection to one control process, opened when it is needed. A call that gets no answer in time drops
/// the connection, because an open connection can go silent for good while a new one would work. Must be used
/// on one event loop only, and outlive the promises that it gives.
class ControlLink final : private kj::TaskSet::ErrorHandler {
public:
    /// @param timer timer of the loop.
    /// @param network network of the loop.
    /// @param address "IP:port" of the other process.
    ControlLink(kj::Timer& timer, kj::Network& network, std::string address);
    ~ControlLink();

    /// Passes a request on.
    /// @param timeout for connecting and the answer together.
    kj::Promise<CallResult<ForwardedResponse>> forward(const ForwardedRequest& request, Millis timeout);

    /// Exchanges what both processes know.
    kj::Promise<CallResult<Introduction>> introduce(const Introduction& own, Millis timeout);

    /// Sends a consensus message; it is dropped if it can't be sent soon.
    void sendRaft(RaftMessage message);

    const std::string& address() const { return m_address; }

private:
    struct Connection;

    void taskFailed(kj::Exception&& exception) override;
    kj::Promise<void> connected();
    void open();
    void onConnected(kj::Own<kj::AsyncIoStream>&& stream);
    void holdRaft(RaftMessage message);
    void scheduleDrop(const std::string& reason);
    template <typename Result, typename Call>
    kj::Promise<CallResult<Result>> call(Millis timeout, Call&& start);

    kj::Timer& m_timer;
    kj::Network& m_network;
    std::string m_address;
    std::unique_ptr<Connection> m_connection;
    std::uint64_t m_connectionNumber = 0;
    kj::Maybe<kj::ForkedPromise<void>> m_opening;
    bool m_isDropScheduled = false;
    bool m_isFailureLogged = false;
    kj::TimePoint m_retryAt;
    std::size_t m_raftInFlight = 0;
    std::vector<RaftMessage> m_heldRaft; ///< Wait for the connection.
    kj::TaskSet m_tasks;
};

} // namespace celeryline
