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

    /// Applies one committed command. Must be deterministic.
    /// @param index log index of the entry, strictly increasing.
    /// @param entryTime the leader's wall time at the append; never decreases along the log.
    /// @return the result for the submitter.
    virtual CommandResult apply(std::uint64_t index, Millis entryTime, const Command& command) = 0;

    /// @return the complete state, serialised.
    virtual std::string takeSnapshot() const = 0;

    /// Replaces the complete state.
    /// @param bytes the output of takeSnapshot().
    /// @throws Error of kind Corrupt if the bytes are not a complete snapshot; the state is then unchanged.
    virtual void restoreSnapshot(const std::string& bytes) = 0;

    /// @return the fleet revision of the current state.
    virtual std::uint64_t revision() const = 0;
};

} // namespace celeryline
