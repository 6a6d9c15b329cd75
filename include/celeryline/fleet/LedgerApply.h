/// @file
/// The ledger of non-repeatable requests as the replicated state sees it.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// Applies commands of kind Ledger. All methods are called from one thread.
class LedgerApply {
public:
    virtual ~LedgerApply() = default;

    /// Applies one committed command. Must be deterministic.
    /// @param index log index of the entry.
    /// @param entryTime wall time stamped by the leader; never decreases along the log.
    /// @param command a command of kind Ledger.
    /// @return the result; its revision is filled in by the caller.
    virtual CommandResult apply(std::uint64_t index, Millis entryTime, const Command& command) = 0;

    /// @return the whole ledger, serialised.
    virtual std::string takeSnapshot() const = 0;

    /// Replaces the whole ledger.
    /// @param bytes what takeSnapshot() gave.
    /// @throws Error of kind Corrupt, leaving the ledger unchanged, if the bytes are not a whole snapshot.
    virtual void restoreSnapshot(const std::string& bytes) = 0;
};

} // namespace celeryline
