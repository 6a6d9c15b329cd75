/// @file
/// Interface of the ledger that is part of the replicated state.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// A state machine that applies commands of kind Ledger. Not thread-safe.
class LedgerStateMachine {
public:
    virtual ~LedgerStateMachine() = default;

    /// Applies one committed command. Must be deterministic.
    /// @param index index of the log entry.
    /// @param entryTime wall clock time assigned by the leader; doesn't decrease along the log.
    /// @param command a command of kind Ledger.
    /// @return the result; the caller sets its revision.
    virtual CommandResult apply(std::uint64_t index, Millis entryTime, const Command& command) = 0;

    /// Serialises the entire ledger.
    virtual std::string takeSnapshot() const = 0;

    /// Replaces the entire ledger.
    /// @param bytes a snapshot returned by takeSnapshot().
    /// @throws Error of kind Corrupt if the bytes are not a valid snapshot; the ledger is then unchanged.
    virtual void restoreSnapshot(const std::string& bytes) = 0;
};

} // namespace celeryline
