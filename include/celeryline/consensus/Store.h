/// @file
/// Interface for changes to the replicated state.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"
#include "celeryline/consensus/StoreStatus.h"

namespace celeryline {

/// Accepts changes to the replicated state on any instance and forwards them to the leader.
class Store {
public:
    virtual ~Store() = default;

    /// Submits a command and waits until it is applied on this instance.
    /// @param command the change; safe to resubmit with the same id.
    /// @return the command's result.
    /// @throws Error of kind Unavailable if it was definitely not committed (no leader reachable), of kind
    /// TimedOut if it may have been.
    virtual CommandResult submit(const Command& command, Millis timeout) = 0;

    /// @return the state of the replicated log on this instance.
    virtual StoreStatus status() const = 0;
};

} // namespace celeryline
