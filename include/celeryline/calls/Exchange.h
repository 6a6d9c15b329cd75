/// @file
/// One HTTP exchange with a runner and its result.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/calls/ResponseSink.h"
#include "celeryline/calls/RunnerResponse.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// A request to send, with its time limits.
struct Exchange {
    std::string address; ///< "IP:port".
    std::string head; ///< Request line and header fields including the final empty line.
    const std::string* body = nullptr; ///< May be null.
    std::string requestId; ///< A response with another id in Celeryline-Request is rejected.
    bool isHead = false; ///< The request method is HEAD, so the response has no body.
    Millis deadline; ///< In the pool's clock; the response must be complete by then.
    Millis firstByteTimeout; ///< Time limit for the first byte of the response; 0: the deadline applies.
    std::uint32_t maxConnections = 64; ///< Maximum number of open connections to the address.
    ResponseSink* sink = nullptr; ///< Receives a response that exceeds the pool's buffer limit.
};

/// How far an exchange got.
enum class Delivery : std::uint8_t {
    Completed, ///< The complete response was received.
    NotSent, ///< No byte of the request left this process.
    Unknown ///< Bytes were sent, but no complete response was received.
};

/// Result of an exchange.
struct ExchangeResult {
    Delivery delivery = Delivery::NotSent;
    RunnerResponse response; ///< Valid if Completed; its body is empty if it was streamed.
    bool wasStreamed = false; ///< The sink has received at least the header of the response.
    bool timedOut = false; ///< A time limit was exceeded.
    std::string error; ///< Why it was not Completed.
};

} // namespace celeryline
