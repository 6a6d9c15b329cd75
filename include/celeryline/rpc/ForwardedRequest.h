/// @file
/// Requests that one process forwards to another.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// The listener on which a request arrived.
enum class RequestOrigin : std::uint8_t {
    Caller, ///< The listener for callers.
    Operations ///< The listener for operators and runners.
};

/// The request of a caller, operator or runner, unmodified.
struct ForwardedRequest {
    RequestOrigin origin = RequestOrigin::Caller;
    std::string method;
    std::string host;
    std::string target; ///< Path and query.
    std::string body;
    std::string credential; ///< The caller's API key; empty if it sent none. Never logged.
};

/// Outcome of a forwarded request.
enum class ForwardOutcome : std::uint8_t {
    Answered,
    NotLeading, ///< Not executed, because the receiver is not the leader.
    Unknown ///< The receiver lost leadership or the connection while executing the request.
};

/// The response to a forwarded request.
struct ForwardedResponse {
    ForwardOutcome outcome = ForwardOutcome::Answered;
    std::uint16_t status = 0;
    std::string body; ///< JSON, or empty.
    Millis retryAfter; ///< Delay after which the sender may retry; 0 for no hint.
    std::string leader; ///< Address of the leader known to the receiver; empty if unknown.
};

} // namespace celeryline
