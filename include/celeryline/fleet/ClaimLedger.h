/// @file
/// The ledger of non-repeatable requests: a deterministic state machine.
#pragma once

#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"
#include "celeryline/fleet/LedgerApply.h"
#include "celeryline/settings/Settings.h"

#include <Poco/JSON/Object.h>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

namespace celeryline {

/// What the ledger knows about a request.
enum class ClaimState : std::uint8_t {
    Begun, ///< It may have been sent; also if the owner has disappeared.
    NotRun, ///< It was not sent; it may be claimed again.
    Done, ///< It was run and answered.
    Unknown ///< It was sent and no whole answer arrived.
};

/// The kept outcome of one non-repeatable request.
struct LedgerEntry {
    std::string service;
    std::string key;
    std::string digest; ///< Of the request; another one with the same key is refused.
    std::string attempt; ///< The claim that may end it.
    std::string owner; ///< The entry instance that made the claim.
    std::string instance; ///< The instance that ran it.
    std::string answer; ///< Opaque to the ledger; empty if none is kept.
    ClaimState state = ClaimState::Begun;
    std::int32_t status = 0; ///< HTTP status if Done.
    Millis time; ///< Log entry time of the claim.
    std::uint64_t answerIndex = 0; ///< Log index that stored the answer; 0 if none is kept.
};

/// Keeps the outcomes of non-repeatable requests, so that each runs at most once. Deterministic: the same
/// commands give the same state. Used from one thread.
///
/// Command bodies: `{"op":"claim","service","key","digest","attempt","owner"}` and
/// `{"op":"end","service","key","digest","attempt","state":"notRun|done|unknown","status","instance",
/// "answer"}`, the answer in Base64.
class ClaimLedger final : public LedgerApply {
public:
    /// @param settings retention and bounds.
    explicit ClaimLedger(const LedgerSettings& settings);
    ClaimLedger(ClaimLedger&&) = default;
    ClaimLedger& operator=(ClaimLedger&&) = default;

    /// Applies a command of kind Ledger.
    /// @param index log index of the entry.
    /// @param entryTime wall time stamped by the leader; never decreases along the log.
    /// @param command a claim or an ending.
    /// @return for claims `{"granted":bool, "state", "status", "instance", "answer"}`. Not accepted are:
    /// Conflict for another digest or attempt, LimitExceeded for a full ledger, NotFound for the ending of an
    /// unknown claim.
    CommandResult apply(std::uint64_t index, Millis entryTime, const Command& command) override;

    /// @return the whole state, serialised.
    std::string takeSnapshot() const override;

    /// Replaces the whole state.
    /// @throws Error of kind Corrupt, leaving the state unchanged, if the bytes are not a whole snapshot.
    void restoreSnapshot(const std::string& bytes) override;

    /// @return the number of kept outcomes.
    std::size_t size() const { return m_state.entries.size(); }

    /// @return the size of kept outcomes.
    std::int64_t bytes() const { return m_state.bytes; }

private:
    using Entries = std::list<LedgerEntry>; ///< In the order of their times.

    struct State {
        Entries entries;
        std::unordered_map<std::string, Entries::iterator> byKey;
        std::map<std::uint64_t, Entries::iterator> answers; ///< Oldest first.
        std::int64_t bytes = 0;
    };

    CommandResult applyClaim(Millis entryTime, const Poco::JSON::Object& body);
    CommandResult applyEnd(std::uint64_t index, Millis entryTime, const Poco::JSON::Object& body);
    CommandResult releaseUnseen(Millis entryTime, const LedgerEntry& claim);
    void keepAnswer(std::uint64_t index, Entries::iterator entry, const std::string& base64);
    void expire(Millis entryTime);
    bool makeRoom(std::int64_t needed);
    void dropAnswer(Entries::iterator entry);
    static void insert(State& state, LedgerEntry entry);

    LedgerSettings m_settings;
    State m_state;
};

/// @param state a state.
/// @return its name in commands and results.
const char* claimStateName(ClaimState state);

} // namespace celeryline
