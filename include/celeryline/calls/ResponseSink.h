/// @file
/// Receives answers that are too large to be held.
#pragma once

#include "celeryline/calls/RunnerResponse.h"

#include <cstddef>
#include <cstdint>

namespace celeryline {

/// Receives an answer piece by piece when it is larger than the limit for held answers.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    /// Receives the head. Called once, before any piece of the body.
    /// @param answer status and fields; its body is empty.
    /// @param length length of the body, or -1 if it isn't known yet.
    virtual void begin(const RunnerResponse& response, std::int64_t length) = 0;

    /// Receives the next bytes of the body. May throw if the caller has gone.
    virtual void write(const char* data, std::size_t size) = 0;
};

} // namespace celeryline
