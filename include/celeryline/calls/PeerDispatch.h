/// @file
/// Dispatches RPC calls of other entry instances.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/calls/Router.h"
#include "celeryline/consensus/ReplicatedLog.h"
#include "celeryline/registry/UpstreamRegistry.h"
#include "celeryline/rpc/PeerHandler.h"
#include "celeryline/rpc/PeerMonitor.h"

namespace celeryline {

/// Dispatches RPC calls of other entry instances to the modules that handle them.
class PeerDispatch final : public PeerHandler {
public:
    /// All arguments must outlive this object.
    PeerDispatch(ReplicatedLog& log, UpstreamRegistry& registry, PeerMonitor& monitor, Router& router,
        const Clock& clock)
        : m_log(log)
        , m_registry(registry)
        , m_monitor(monitor)
        , m_router(router)
        , m_clock(clock)
    {
    }

    void onRaft(RaftMessage message) override { m_log.onRaft(std::move(message)); }
    void onDelta(RegistryDelta delta) override { m_registry.applyDelta(delta, m_clock.now()); }
    void onHeartbeat(const Heartbeat& heartbeat) override
    {
        m_monitor.recordHeartbeat(heartbeat);
        m_registry.noteHeartbeat(heartbeat, m_clock.now());
    }
    CommandResult onSubmit(const Command& command) override { return m_log.onSubmit(command); }
    RegistryDelta onFullCopy() override { return m_registry.fullCopy(); }
    CreditGrant onCreditRequest(const CreditRequest& request) override
    {
        return m_router.onCreditRequest(request);
    }
    Hello onHello(const Hello& hello) override { return m_log.onHello(hello); }

private:
    ReplicatedLog& m_log;
    UpstreamRegistry& m_registry;
    PeerMonitor& m_monitor;
    Router& m_router;
    const Clock& m_clock;
};

} // namespace celeryline
