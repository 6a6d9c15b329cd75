/// @file
/// A validated request of a caller.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/calls/RunnerResponse.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// A validated request of a caller with its complete body.
struct CallRequest {
    std::string method;
    std::string service;
    std::string target; ///< Path and query after `/call/SERVICE`; starts with '/'.
    std::string organisation; ///< Empty if not given.
    std::string caller;
    std::string key; ///< Value of Idempotency-Key; the request is non-repeatable unless it is empty.
    bool isMarkedRepeatable = false; ///< `Celeryline-Repeatable: true`.
    int hops = 0; ///< Number of times it was forwarded between data centres.
    Millis deadline; ///< In steady-clock time.
    HeaderFields fields; ///< Header fields that are forwarded.
    std::string body;
};

} // namespace celeryline
