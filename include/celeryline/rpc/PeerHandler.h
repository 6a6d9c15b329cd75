/// @file
/// What an entry instance does with calls from other entry instances.
#pragma once

#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"
#include "celeryline/consensus/Hello.h"
#include "celeryline/consensus/RaftMessage.h"
#include "celeryline/registry/CreditRequest.h"
#include "celeryline/registry/Heartbeat.h"
#include "celeryline/registry/RegistryDelta.h"

namespace celeryline {

/// Receives the calls of other entry instances. Methods are called from several threads and may throw Error,
/// which the caller receives with its kind.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;

    /// Must return at once: it is called on the RPC thread.
    virtual void onRaft(RaftMessage message) = 0;
    /// Must return at once: it is called on the RPC thread.
    virtual void onDelta(RegistryDelta delta) = 0;
    /// Must return at once: it is called on the RPC thread.
    virtual void onHeartbeat(const Heartbeat& heartbeat) = 0;
    /// May block; called on a worker thread. Only the leader accepts it.
    virtual CommandResult onSubmit(const Command& command) = 0;
    /// May block; called on a worker thread.
    virtual RegistryDelta onFullCopy() = 0;
    /// Must return at once: it is called on the RPC thread.
    virtual CreditGrant onCreditRequest(const CreditRequest& request) = 0;
    /// May block; called on a worker thread.
    virtual Hello onHello(const Hello& hello) = 0;
};

} // namespace celeryline
