/// @file
/// A blocking call to another entry instance.
#pragma once

#include "celeryline/base/Error.h"
#include "celeryline/base/Millis.h"

#include <Peer.capnp.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>

namespace celeryline::detail {

/// A call that one thread waits for while the event loop's thread executes it.
class PeerCall {
public:
    /// Sends the request; runs on the event loop's thread.
    using RequestSender = std::function<kj::Promise<void>(rpc::Peer::Client& peer)>;

    /// @param requestSender sends the request and stores the result.
    /// @param timeout time from now until the deadline.
    PeerCall(RequestSender requestSender, Millis timeout);

    /// Marks the request as sent; must be called before sending it.
    /// @return false if the caller has stopped waiting, in which case the request must not be sent.
    bool markSent();

    /// Completes the call; later completions are ignored.
    /// @param error why the call failed; std::nullopt if it succeeded.
    void finish(std::optional<Error> error);

    /// Waits until the call completes.
    /// @throws Error passed to finish(); of kind Unavailable if the request was not sent before the deadline,
    /// of kind TimedOut if it was sent but not answered before the deadline.
    void wait();

    /// @return the function that sends the request; only for the event loop's thread.
    const RequestSender& requestSender() const { return m_requestSender; }

    /// @return the time until the deadline; zero if it has passed.
    std::chrono::milliseconds remaining() const;

private:
    const RequestSender m_requestSender;
    const std::chrono::steady_clock::time_point m_deadline;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    bool m_isSent = false;
    bool m_isAbandoned = false;
    bool m_isFinished = false;
    std::optional<Error> m_error;
};

} // namespace celeryline::detail
