/// @file
/// Interface for handling RPCs from other entry instances.
#pragma once

#include "celeryline/consensus/Command.h"
#include "celeryline/consensus/CommandResult.h"
#include "celeryline/consensus/Hello.h"
#include "celeryline/consensus/RaftMessage.h"
#include "celeryline/registry/CreditRequest.h"
#include "celeryline/registry/Heartbeat.h"
#include "celeryline/registry/RegistryDelta.h"

namespace celeryline {

/// Handles RPCs from other entry instances. Methods are called from several threads and may throw Error,
/// which is transmitted to the caller with its kind.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;

    /// Must not block: called on the RPC thread.
    virtual void onRaft(RaftMessage message) = 0;
    /// Must not block: called on the RPC thread.
    virtual void onDelta(RegistryDelta delta) = 0;
    /// Must not block: called on the RPC thread.
    virtual void onHeartbeat(const Heartbeat& heartbeat) = 0;
    /// May block; called on a worker thread. Only the leader accepts commands.
    virtual CommandResult onSubmit(const Command& command) = 0;
    /// May block; called on a worker thread.
    virtual RegistryDelta onFullCopy() = 0;
    /// Must not block: called on the RPC thread.
    virtual CreditGrant onCreditRequest(const CreditRequest& request) = 0;
    /// May block; called on a worker thread.
    virtual Hello onHello(const Hello& hello) = 0;
};

} // namespace celeryline
