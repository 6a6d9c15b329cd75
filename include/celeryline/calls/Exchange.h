/// @file
/// One HTTP exchange with a runner and how it ended.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/calls/ResponseSink.h"
#include "celeryline/calls/RunnerResponse.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// What is to be sent and how long it may take.
struct Exchange {
    std::string address; ///< "IP:port".
    std::string head; ///< Request line and header fields with the empty line that ends them.
    const std::string* body = nullptr; ///< May be null.
    std::string requestId; ///< If the answer carries another one in Celeryline-Request, it isn't ours.
    bool isHead = false; ///< The answer has no body.
    Millis deadline; ///< By the pool's clock; the answer must be whole by then.
    Millis firstByteTimeout; ///< Longest wait for the answer's first byte; 0 waits until the deadline.
    std::uint32_t maxConnections = 64; ///< Bound of open connections to the address.
    ResponseSink* sink = nullptr; ///< Receives an answer above the pool's limit.
};

/// How an exchange ended.
enum class Delivery : std::uint8_t {
    Completed, ///< The whole answer arrived.
    NotSent, ///< No byte of the request left this process.
    Unknown ///< Bytes left, but no whole answer arrived.
};

/// The end of an exchange.
struct ExchangeResult {
    Delivery delivery = Delivery::NotSent;
    RunnerResponse response; ///< If Answered; its body is empty if it was streamed.
    bool wasStreamed = false; ///< The sink has received the beginning of the answer.
    bool timedOut = false; ///< The connection was silent for too long.
    std::string error; ///< Why it was not Answered.
};

} // namespace celeryline
