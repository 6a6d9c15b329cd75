/// @file
/// What a caller is told.
#pragma once

#include "celeryline/calls/RunnerResponse.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// Whether a request was run, as far as this instance knows.
enum class Outcome : std::uint8_t { Done, NotRun, Unknown };

/// @param outcome an outcome.
/// @return its name in the header `Celeryline-Outcome`.
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

/// What a caller is told.
struct CallResponse {
    int status = 503;
    Outcome outcome = Outcome::NotRun;
    std::string instance; ///< The instance that ran it or may have; empty if none was chosen.
    int retryAfterSeconds = 1; ///< Sent unless the outcome is Done.
    HeaderFields fields;
    std::string body;
    bool wasStreamed = false; ///< The sink has received it.
};

/// Receives an answer that is too large to be held.
class CallSink {
public:
    virtual ~CallSink() = default;

    /// Receives status, fields, outcome and instance.
    /// @param head the answer without its body.
    /// @param length length of the body, or -1 if it isn't known yet.
    virtual void begin(const CallResponse& head, std::int64_t length) = 0;

    /// Receives the next bytes of the body.
    virtual void write(const char* data, std::size_t size) = 0;
};

/// @param status status code.
/// @param outcome whether the request was run.
/// @param message what happened and what to do about it.
/// @return an answer with a JSON body `{"error": outcome, "message": text}`.
CallResponse refusal(int status, Outcome outcome, const std::string& message);

} // namespace celeryline
