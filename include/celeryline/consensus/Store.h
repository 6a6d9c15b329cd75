/// @file
/// Changes to the replicated state, as the rest of the process sees them.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"
#include "celeryline/consensus/StoreStatus.h"

namespace celeryline {

/// Takes changes to the replicated state on any instance and forwards them to the leader.
class Store {
public:
    virtual ~Store() = default;

    /// Submits a command and waits until it was applied on this instance.
    /// @param command the change; safe to submit again with the same id.
    /// @param timeout how long to wait.
    /// @return the command's result.
    /// @throws Error of kind Unavailable if it was certainly not committed (no leader reachable), of kind
    /// TimedOut if that isn't known.
    virtual CommandResult submit(const Command& command, Millis timeout) = 0;

    /// @return the state of the replicated log on this instance.
    virtual StoreStatus status() const = 0;
};

} // namespace celeryline
