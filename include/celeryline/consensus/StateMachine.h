/// @file
/// The interface between the replicated log and the state that it replicates.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"

#include <cstdint>
#include <string>

namespace celeryline {

/// Applies committed commands in log order. All methods are called from one thread.
class StateMachine {
public:
    virtual ~StateMachine() = default;

    /// Applies one committed command. Must be deterministic: same commands, same state.
    /// @param index log index of the entry, strictly increasing.
    /// @param entryTime wall time stamped by the leader; never decreases along the log.
    /// @param command the change.
    /// @return the result that the submitter receives.
    virtual CommandResult apply(std::uint64_t index, Millis entryTime, const Command& command) = 0;

    /// @return the whole state, serialised.
    virtual std::string takeSnapshot() const = 0;

    /// Replaces the whole state.
    /// @param bytes what takeSnapshot() gave.
    /// @throws Error of kind Corrupt, leaving the state unchanged, if the bytes are not a whole snapshot.
    virtual void restoreSnapshot(const std::string& bytes) = 0;

    /// @return the fleet revision of the current state.
    virtual std::uint64_t revision() const = 0;
};

} // namespace celeryline
