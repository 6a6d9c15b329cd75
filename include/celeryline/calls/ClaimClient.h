/// @file
/// Client of the ledger of non-repeatable requests.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/base/Metrics.h"
#include "celeryline/calls/CallResponse.h"
#include "celeryline/consensus/Store.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <thread>

namespace celeryline {

/// Whether a non-repeatable request may be sent.
enum class ClaimVerdict : std::uint8_t {
    Granted, ///< It may be sent, once.
    Replay, ///< It was run before; the response is the stored one.
    Refused ///< It must not be sent; the response gives the reason.
};

/// Result of claim().
struct Claim {
    ClaimVerdict verdict = ClaimVerdict::Refused;
    std::string service;
    std::string key;
    std::string digest;
    std::string attempt; ///< Identifies this claim in later commands.
    CallResponse response; ///< Response to the caller, unless Granted.
};

/// Claims non-repeatable requests in the replicated ledger before they are sent, and records their outcomes.
/// Outcomes that can't be recorded before the deadline are retried in the background. Thread-safe.
class ClaimClient {
public:
    /// @param instance name of this instance, which owns the claims.
    /// @param bootEpoch boot epoch of this process.
    /// @param maxAnswerBytes of larger responses only the status is stored.
    ClaimClient(std::string instance, std::uint64_t bootEpoch, std::size_t maxAnswerBytes, Store& store,
        const Clock& clock, Metrics& metrics);
    ~ClaimClient();

    /// Claims a request. If a grant is not confirmed before the deadline, the claim is released in the
    /// background and the request must not be sent.
    /// @param service the service.
    /// @param key the caller's Idempotency-Key.
    /// @param digest digest of the request; a request with the same key and another digest is refused.
    /// @param deadline deadline of the request.
    /// @return the verdict, with the response for the caller unless Granted.
    Claim claim(
        const std::string& service, const std::string& key, const std::string& digest, Millis deadline);

    /// Records the outcome of a granted request. Waits until it is recorded, but not beyond the deadline.
    /// @param claim a granted claim.
    /// @param response the response to the caller.
    /// @param deadline deadline of the request.
    void finish(const Claim& claim, const CallResponse& response, Millis deadline);

    /// Waits until all outcomes are recorded. Called on shutdown.
    /// @param limit maximum time to wait.
    void flush(Millis limit);

    /// @return the number of outcomes that are not recorded yet.
    std::size_t backlog() const;

private:
    CallResponse toResponse(const CommandResult& result, Claim& claim);
    Command makeEndCommand(const Claim& claim, const CallResponse& response) const;
    bool trySubmit(const Command& command, Millis timeout);
    void retryInBackground(Command command);
    void runRetries();

    std::string m_instance;
    std::uint64_t m_bootEpoch;
    std::size_t m_maxAnswerBytes;
    Store& m_store;
    const Clock& m_clock;
    prometheus::Counter& m_granted;
    prometheus::Counter& m_replayed;
    prometheus::Counter& m_refused;
    std::atomic<std::uint64_t> m_lastAttempt { 0 };
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Command> m_backlog;
    bool m_isStopping = false;
    std::thread m_thread;
};

/// @param method request method.
/// @param target path and query.
/// @param body request body.
/// @return a digest over all three parts.
std::string requestDigest(const std::string& method, const std::string& target, const std::string& body);

} // namespace celeryline
