/// @file
/// The ledger of non-repeatable requests, a replicated state machine.
#pragma once

#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"
#include "celeryline/fleet/LedgerStateMachine.h"
#include "celeryline/settings/Settings.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

namespace celeryline {

/// The state of a claim.
enum class ClaimState : std::uint8_t {
    Begun, ///< Claimed; the request may have been sent, even if the owner has failed since.
    NotRun, ///< The request was not sent and may be claimed again.
    Done, ///< The request was run and answered.
    Unknown ///< The request was sent, but no complete answer was received.
};

/// The recorded claim and outcome of one non-repeatable request.
struct LedgerEntry {
    std::string service;
    std::string key;
    std::string digest; ///< Digest of the request; a claim with the same key and another digest is rejected.
    std::string attempt; ///< Id of the attempt that holds the claim; only this attempt may end it.
    std::string owner; ///< Entry instance that made the claim.
    std::string instance; ///< Instance that ran the request.
    std::string answer; ///< Stored answer, opaque to the ledger; empty if none is stored.
    ClaimState state = ClaimState::Begun;
    std::int32_t status = 0; ///< HTTP status of the answer if the state is Done.
    Millis time; ///< Log entry time of the claim.
    std::uint64_t answerIndex = 0; ///< Index of the log entry that stored the answer; 0 if none is stored.
};

/// Records claims and outcomes of non-repeatable requests, so that each request runs at most once.
/// Deterministic: the same sequence of commands produces the same state. Not thread-safe.
///
/// Command bodies: `{"op":"claim","service","key","digest","attempt","owner"}` and
/// `{"op":"end","service","key","digest","attempt","state":"notRun|done|unknown","status","instance",
/// "answer"}` with a Base64-encoded answer.
class ClaimLedger final : public LedgerStateMachine {
public:
    /// @param settings retention time and size limits.
    explicit ClaimLedger(const LedgerSettings& settings);
    ClaimLedger(ClaimLedger&&) = default;
    ClaimLedger& operator=(ClaimLedger&&) = default;

    /// Applies a command of kind Ledger.
    /// @param index index of the log entry.
    /// @param entryTime wall clock time assigned by the leader; doesn't decrease along the log.
    /// @param command a "claim" or "end" command.
    /// @return for claims `{"granted":bool, "state", "status", "instance", "answer"}`. Rejected with Conflict
    /// if the digest or attempt differs from the recorded one, with LimitExceeded if the ledger is full, and
    /// with NotFound if the claim to end is unknown.
    CommandResult apply(std::uint64_t index, Millis entryTime, const Command& command) override;

    /// Serialises the entire state.
    std::string takeSnapshot() const override;

    /// Replaces the entire state.
    /// @throws Error of kind Corrupt if the bytes are not a valid snapshot; the state is then unchanged.
    void restoreSnapshot(const std::string& bytes) override;

    /// @return the number of entries.
    std::size_t size() const { return m_state.entries.size(); }

    /// @return the estimated memory use of all entries, in bytes.
    std::int64_t bytes() const { return m_state.bytes; }

private:
    using Entries = std::list<LedgerEntry>; ///< Ordered by claim time.

    struct State {
        Entries entries;
        std::unordered_map<std::string, Entries::iterator> byKey;
        std::map<std::uint64_t, Entries::iterator> answers; ///< Entries with a stored answer, by log index.
        std::int64_t bytes = 0;
    };

    CommandResult applyClaim(Millis entryTime, const Poco::JSON::Object& body);
    CommandResult applyEnd(std::uint64_t index, Millis entryTime, const Poco::JSON::Object& body);
    CommandResult recordEarlyRelease(Millis entryTime, const LedgerEntry& claim);
    void storeAnswer(std::uint64_t index, Entries::iterator entry, const std::string& base64);
    void expire(Millis entryTime);
    bool evictAnswersToFit(std::int64_t needed);
    void dropAnswer(Entries::iterator entry);
    static void insert(State& state, LedgerEntry entry);

    LedgerSettings m_settings;
    State m_state;
};

/// @return the name of the state in commands and results.
const char* claimStateName(ClaimState state);

} // namespace celeryline
