/// @file
/// Responses to callers.
#pragma once

#include "celeryline/calls/RunnerResponse.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// Whether a request was run, as far as this instance can tell.
enum class Outcome : std::uint8_t { Done, NotRun, Unknown };

/// @param outcome an outcome.
/// @return its value in the header `Celeryline-Outcome`.
constexpr const char* outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

/// A response to a caller.
struct CallResponse {
    int status = 503;
    Outcome outcome = Outcome::NotRun;
    std::string instance; ///< Instance that ran or may have run the request; empty if none was selected.
    int retryAfterSeconds = 1; ///< Sent as Retry-After unless the outcome is Done.
    HeaderFields fields;
    std::string body;
    bool wasStreamed = false; ///< The sink has received the response.
};

/// Receives a response that is too large to buffer.
class CallSink {
public:
    virtual ~CallSink() = default;

    /// Receives status, header fields, outcome and instance. Called once, before any part of the body.
    /// @param head the response without its body.
    /// @param length length of the body, or -1 if unknown.
    virtual void begin(const CallResponse& head, std::int64_t length) = 0;

    /// Receives the next bytes of the body.
    virtual void write(const char* data, std::size_t size) = 0;
};

/// @param status status code.
/// @param outcome whether the request was run.
/// @param message the cause and the remedy.
/// @return a response with a JSON body `{"error": outcome, "message": text}`.
CallResponse refusal(int status, Outcome outcome, const std::string& message);

} // namespace celeryline
