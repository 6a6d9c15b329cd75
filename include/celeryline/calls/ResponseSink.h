/// @file
/// Receiver for responses that are too large to buffer.
#pragma once

#include "celeryline/calls/RunnerResponse.h"

#include <cstddef>
#include <cstdint>

namespace celeryline {

/// Receives the parts of a response that exceeds the buffer limit.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    /// Receives status and header fields. Called once, before any part of the body.
    /// @param response status and header fields; its body is empty.
    /// @param length length of the body, or -1 if unknown.
    virtual void begin(const RunnerResponse& response, std::int64_t length) = 0;

    /// Receives the next bytes of the body. May throw if the caller has disconnected.
    virtual void write(const char* data, std::size_t size) = 0;
};

} // namespace celeryline
