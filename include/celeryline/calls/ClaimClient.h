/// @file
/// Claims of non-repeatable requests.
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
    Replay, ///< It was run before; the answer is the kept one.
    Refused ///< It must not be sent; the answer says why.
};

/// What claim() gave.
struct Claim {
    ClaimVerdict verdict = ClaimVerdict::Refused;
    std::string service;
    std::string key;
    std::string digest;
    std::string attempt; ///< Identifies this claim in later commands.
    CallResponse response; ///< For the caller, unless Granted.
};

/// Claims non-repeatable requests before they are sent and records how they ended. Thread-safe. Endings that
/// can't be recorded in time are retried in the background.
class ClaimClient {
public:
    /// @param instance this instance, the owner of its claims.
    /// @param bootEpoch differs after each start of this process.
    /// @param maxAnswerBytes longer answers are kept as their status only.
    ClaimClient(std::string instance, std::uint64_t bootEpoch, std::size_t maxAnswerBytes, Store& store,
        const Clock& clock, Metrics& metrics);
    ~ClaimClient();

    /// Claims a request. After a grant that wasn't known by the deadline the claim is released in the
    /// background and the request must not be sent.
    /// @param service the service.
    /// @param key the caller's Idempotency-Key.
    /// @param digest digest of the request; another one with the same key is refused.
    /// @param deadline when the caller stops waiting.
    /// @return whether it may be sent.
    Claim claim(
        const std::string& service, const std::string& key, const std::string& digest, Millis deadline);

    /// Records how a granted request ended. Waits until it is recorded, but not beyond the deadline.
    /// @param claim a granted claim.
    /// @param answer what the caller is told.
    /// @param deadline when the caller stops waiting.
    void finish(const Claim& claim, const CallResponse& response, Millis deadline);

    /// Waits until all endings are recorded. To be called when this instance shuts down.
    /// @param limit how long to wait.
    void flush(Millis limit);

    /// @return the number of endings that are still to be recorded.
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
/// @return a digest in which every part counts.
std::string requestDigest(const std::string& method, const std::string& target, const std::string& body);

} // namespace celeryline
