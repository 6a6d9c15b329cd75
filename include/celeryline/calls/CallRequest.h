/// @file
/// A caller's request, read and checked.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/calls/RunnerResponse.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// A caller's request, read in full and checked.
struct CallRequest {
    std::string method;
    std::string service;
    std::string target; ///< Path and query behind `/call/SERVICE`; starts with '/'.
    std::string organisation; ///< Empty if the caller named none.
    std::string caller;
    std::string key; ///< Idempotency-Key; not empty marks the request as non-repeatable.
    bool isMarkedRepeatable = false; ///< `Celeryline-Repeatable: true`.
    int hops = 0; ///< How often it was forwarded between data centres.
    Millis deadline; ///< By the steady clock.
    HeaderFields fields; ///< Fields that are passed on.
    std::string body;
};

} // namespace celeryline
