/// @file
/// A request that one process passes on to another.
#pragma once

#include "celeryline/base/Millis.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// Where a request came in.
enum class RequestOrigin : std::uint8_t {
    Caller, ///< On the listener for callers.
    Operations ///< On the listener for operators and runners.
};

/// A caller's, operator's or runner's request as it arrived.
struct ForwardedRequest {
    RequestOrigin origin = RequestOrigin::Caller;
    std::string method;
    std::string host;
    std::string target; ///< Path with query.
    std::string body;
};

/// What became of a forwarded request.
enum class ForwardOutcome : std::uint8_t {
    Answered,
    NotLeading, ///< Not done, because the receiver doesn't lead.
    Unknown ///< The receiver lost its leadership, or the connection, on the way.
};

/// The answer to a forwarded request.
struct ForwardedResponse {
    ForwardOutcome outcome = ForwardOutcome::Answered;
    std::uint16_t status = 0;
    std::string body; ///< JSON, or empty.
    Millis retryAfter; ///< When the sender may come back; 0 for no hint.
    std::string leader; ///< Address of the leader as the receiver knows it; empty if unknown.
};

} // namespace celeryline
