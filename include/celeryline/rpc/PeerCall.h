/// @file
/// A call to another entry instance that a thread waits for.
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

/// A call that one thread waits for and that a loop's thread carries out.
class PeerCall {
public:
    /// Sends the request; runs on the loop's thread.
    using Starter = std::function<kj::Promise<void>(rpc::Peer::Client& peer)>;

    /// @param starter sends the request and stores the result.
    /// @param timeout how long the caller waits.
    PeerCall(Starter starter, Millis timeout);

    /// Notes that the request is about to be sent.
    /// @return false if the caller has given up; the request must not be sent then.
    bool markSent();

    /// Ends the call; only the first end counts.
    /// @param error why it failed; nothing if it succeeded.
    void finish(std::optional<Error> error);

    /// Waits for the end of the call.
    /// @throws Error that it ended with; of kind Unavailable if the request was not sent in time, of kind
    /// TimedOut if it was sent but not answered in time.
    void wait();

    /// @return the request; only for the loop's thread.
    const Starter& starter() const { return m_starter; }

    /// @return the time left until the deadline, at least zero.
    std::chrono::milliseconds remaining() const;

private:
    const Starter m_starter;
    const std::chrono::steady_clock::time_point m_deadline;
    std::mutex m_mutex;
    std::condition_variable m_ended;
    bool m_isSent = false;
    bool m_isAbandoned = false;
    bool m_isFinished = false;
    std::optional<Error> m_error;
};

} // namespace celeryline::detail
