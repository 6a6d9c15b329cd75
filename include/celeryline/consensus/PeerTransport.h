/// @file
/// Calls to other entry instances.
#pragma once

#include "celeryline/base/Millis.h"
#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"
#include "celeryline/consensus/Hello.h"
#include "celeryline/consensus/RaftMessage.h"
#include "celeryline/registry/CreditRequest.h"
#include "celeryline/registry/Heartbeat.h"
#include "celeryline/registry/RegistryDelta.h"

#include <string>

namespace celeryline {

/// Calls other entry instances by name. The send methods queue a message and return immediately; a message
/// that can't be delivered in time is dropped. The other methods block. They throw Error of kind Unavailable
/// if the call definitely didn't reach the peer, of kind TimedOut if it may have, or the peer's own error.
class PeerTransport {
public:
    virtual ~PeerTransport() = default;

    virtual void sendRaft(const std::string& peer, RaftMessage message) = 0;
    virtual void sendDelta(const std::string& peer, RegistryDelta delta) = 0;
    virtual void sendHeartbeat(const std::string& peer, const Heartbeat& heartbeat) = 0;

    virtual CommandResult submit(const std::string& peer, const Command& command, Millis timeout) = 0;
    virtual RegistryDelta fullCopy(const std::string& peer, Millis timeout) = 0;
    virtual CreditGrant requestCredits(const std::string& peer, const CreditRequest& request, Millis timeout)
        = 0;
    virtual Hello hello(const std::string& peer, const Hello& hello, Millis timeout) = 0;
};

} // namespace celeryline
