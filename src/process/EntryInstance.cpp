#include "celeryline/process/EntryInstance.h"

#include "celeryline/base/Clock.h"
#include "celeryline/base/Metrics.h"
#include "celeryline/calls/CallEndpoint.h"
#include "celeryline/calls/CallHandler.h"
#include "celeryline/calls/ClaimClient.h"
#include "celeryline/calls/PeerDispatch.h"
#include "celeryline/calls/Router.h"
#include "celeryline/calls/UpstreamPool.h"
#include "celeryline/consensus/ReplicatedLog.h"
#include "celeryline/decisions/InstructionResponder.h"
#include "celeryline/fleet/ClaimLedger.h"
#include "celeryline/fleet/ReplicatedState.h"
#include "celeryline/http/HttpServer.h"
#include "celeryline/http/ProbeEndpoint.h"
#include "celeryline/http/RoleGuard.h"
#include "celeryline/operators/AnnounceEndpoint.h"
#include "celeryline/operators/MaintenanceController.h"
#include "celeryline/operators/OperatorApi.h"
#include "celeryline/operators/UpstreamObserver.h"
#include "celeryline/process/ProcessGauges.h"
#include "celeryline/registry/UpstreamRegistry.h"
#include "celeryline/rpc/PeerMonitor.h"
#include "celeryline/rpc/PeerServer.h"
#include "celeryline/rpc/RegistrySync.h"
#include "celeryline/rpc/RpcTransport.h"
#include "celeryline/settings/Logging.h"
#include "celeryline/settings/PeriodicThread.h"
#include "celeryline/storage/DiskFileSystem.h"
#include "celeryline/tracing/SpanExporter.h"

#include <atomic>
#include <thread>

namespace celeryline {

namespace {

/// Time between announcing the shutdown and closing the HTTP listener, in which callers and the load balancer
/// switch to other instances.
constexpr Millis drainDelay { 1500 };

constexpr Millis observeInterval { 50 };
constexpr Millis housekeepingInterval { 1000 };

std::vector<std::string> peerNames(const Settings& settings)
{
    std::vector<std::string> names;
    for (const auto& peer : settings.peers) {
        names.push_back(peer.name);
    }
    return names;
}

/// @return the names of the peers in this data centre, or of those in other data centres.
std::vector<std::string> peerNamesByLocality(const Settings& settings, bool inThisDataCentre)
{
    std::vector<std::string> names;
    for (const auto& peer : settings.peers) {
        if ((peer.dataCentre == settings.dataCentre) == inThisDataCentre) {
            names.push_back(peer.name);
        }
    }
    return names;
}

} // namespace

/// The modules in dependency order; they are destroyed in reverse order.
struct EntryInstance::Modules {
    explicit Modules(const Settings& s);

    std::string reasonNotReady();
    Heartbeat heartbeat() const;
    std::vector<InForceEntry> inForce() const;
    AnnounceReply handleAnnouncement(const Announcement& upstream, const std::vector<ReportedTask>& tasks);
    std::set<std::string> reachableDataCentres() const;
    void observe();
    bool isPeerLive(const std::string& name) const { return monitor.peer(name).isLive; }

    Settings settings;
    SystemClock clock;
    std::uint64_t bootEpoch;
    std::atomic<bool> isDraining { false };
    Metrics metrics;
    SpanExporter spans;
    ClaimLedger ledger;
    ReplicatedState state;
    DiskFileSystem files;
    RpcTransport transport;
    ReplicatedLog log;
    UpstreamRegistry registry;
    PeerMonitor monitor;
    InstructionResponder instructions;
    UpstreamObserver observer;
    MaintenanceController maintenance;
    RegistrySync registrySync;
    Router router;
    UpstreamPool pool;
    ClaimClient claims;
    CallHandler calls;
    CallEndpoint callEndpoint;
    AnnounceEndpoint announcements;
    OperatorApi operators;
    RoleGuard callGuard;
    RoleGuard upstreamGuard;
    RoleGuard operatorGuard;
    ProbeEndpoint probes;
    PeerDispatch dispatch;
    PeerServer peerServer;
    HttpServer http;
    std::atomic<std::int64_t> lastQuorumAt { 0 }; ///< Monotonic time in ms of the last observed quorum.
    PeriodicThread observerThread;
    PeriodicThread maintenanceThread;
    ProcessGauges gauges;
    PeriodicThread housekeepingThread;
};

EntryInstance::Modules::Modules(const Settings& s)
    : settings(s)
    , bootEpoch(static_cast<std::uint64_t>(clock.wallTime().count))
    , spans(s.tracing, s.name)
    , ledger(s.ledger)
    , state(ledger)
    , transport({ s.name, readToken(s.security.peerTokenFile), s.peers })
    , log(s, clock, files, &transport, state)
    , registry({ s.name, bootEpoch, peerNamesByLocality(s, true), s.leases.peerTimeout }, clock.now())
    , monitor({ peerNames(s), s.leases.peerHeartbeat, s.leases.peerTimeout, peerNamesByLocality(s, false) },
          transport, clock, [this] { return heartbeat(); })
    , instructions(state)
    , observer({ s.name, s.dataCentre }, log, state, registry)
    , maintenance(s.maintenance, log, state, [this] { return reachableDataCentres(); })
    , registrySync(registry, peerNamesByLocality(s, true), transport, clock)
    , router(s, bootEpoch, clock, state, registry, metrics,
          [this](const auto& peer, const auto& request, Millis timeout) {
              return transport.requestCredits(peer, request, timeout);
          })
    , pool(s.routing, static_cast<std::size_t>(s.limits.maxAnswerBytes), clock)
    , claims(s.name, bootEpoch, static_cast<std::size_t>(s.ledger.maxAnswerBytes), log, clock, metrics)
    , calls(
          s, router, pool, claims, clock, [this](const auto& name) { return isPeerLive(name); }, &spans)
    , callEndpoint(s, calls, clock, metrics)
    , announcements({ s.name, s.dataCentre, s.leases.upstream }, registry, clock,
          [this](const auto& upstream, const auto& tasks) { return handleAnnouncement(upstream, tasks); })
    , operators({ s.name, s.dataCentre }, log, state, registry, clock, [this] { return inForce(); })
    , callGuard("caller", readToken(s.security.callerTokenFile), callEndpoint)
    , upstreamGuard("upstream", readToken(s.security.upstreamTokenFile), announcements)
    , operatorGuard("operator", readToken(s.security.operatorTokenFile), operators)
    , probes(metrics, [this] { return reasonNotReady(); })
    , dispatch(log, registry, monitor, router, clock)
    , peerServer(s.peerListen, readToken(s.security.peerTokenFile), dispatch)
    , http(s.httpListen, s.limits)
    , observerThread("observer", observeInterval, [this] { observe(); })
    , maintenanceThread("maintenance", s.maintenance.interval, [this] { maintenance.step(clock.now()); })
    , gauges(metrics, { log, state, registry, monitor, transport, claims, spans, http })
    , housekeepingThread("main", housekeepingInterval, [this] {
        pool.closeIdle();
        gauges.update();
    })
{
    http.route("/healthz", probes);
    http.route("/readyz", probes);
    http.route("/metrics", probes);
    http.route("/call", callGuard);
    http.route("/v1/upstreams", upstreamGuard);
    http.route("/v1", operatorGuard);
}

std::string EntryInstance::Modules::reasonNotReady()
{
    if (isDraining) {
        return "shutting down";
    }
    auto status = log.status();
    if (!status.failure.empty()) {
        return "replicated log: " + status.failure;
    }
    auto revision = state.fleet()->revision;
    if (revision < monitor.highestRevision()) {
        return "fleet revision " + std::to_string(revision) + " is older than the newest one of the peers";
    }
    if (status.lastIndex == 0) {
        return "the replicated log has not been formed or received yet";
    }
    if (!registry.isComplete()) {
        return "the upstreams that the peers manage are not known yet";
    }
    return router.reasonNotReady();
}

Heartbeat EntryInstance::Modules::heartbeat() const
{
    Heartbeat result;
    result.name = settings.name;
    result.dataCentre = settings.dataCentre;
    result.bootEpoch = bootEpoch;
    result.appliedRevision = state.fleet()->revision;
    result.leader = log.status().leader;
    result.deltaSequence = registry.sentSequence();
    result.draining = isDraining;
    return result;
}

AnnounceReply EntryInstance::Modules::handleAnnouncement(
    const Announcement& upstream, const std::vector<ReportedTask>& tasks)
{
    observer.recordTaskReports(tasks);
    bool hasRecentQuorum = clock.now().count - lastQuorumAt < settings.maintenance.permitLease.count;
    return instructions.answer(upstream, tasks, hasRecentQuorum);
}

std::set<std::string> EntryInstance::Modules::reachableDataCentres() const
{
    std::set<std::string> reachable { settings.dataCentre };
    for (const auto& peer : monitor.peers()) {
        if (peer.isLive) {
            reachable.insert(peer.heartbeat.dataCentre);
        }
    }
    return reachable;
}

void EntryInstance::Modules::observe()
{
    Millis now = clock.now();
    if (log.status().hasQuorum) {
        lastQuorumAt = now.count;
    }
    observer.step(now, registry.isComplete());
}

std::vector<InForceEntry> EntryInstance::Modules::inForce() const
{
    std::vector<InForceEntry> entries;
    entries.push_back({ settings.name, settings.dataCentre, state.fleet()->revision, true });
    for (const auto& peer : monitor.peers()) {
        entries.push_back(
            { peer.heartbeat.name, peer.heartbeat.dataCentre, peer.heartbeat.appliedRevision, peer.isLive });
    }
    return entries;
}

EntryInstance::EntryInstance(const Settings& settings)
    : m_modules(std::make_unique<Modules>(settings))
{
}

EntryInstance::~EntryInstance() = default;

void EntryInstance::start()
{
    auto& modules = *m_modules;
    modules.log.start();
    modules.peerServer.start();
    modules.monitor.start();
    modules.registrySync.start();
    modules.router.start();
    modules.observerThread.start();
    modules.maintenanceThread.start();
    modules.housekeepingThread.start();
    modules.http.start();
    LOG4CXX_INFO(logger("main"), "listening on " << modules.settings.httpListen);
}

void EntryInstance::stop()
{
    auto& modules = *m_modules;
    modules.isDraining = true;
    modules.http.startDraining();
    modules.monitor.sendNow();
    std::this_thread::sleep_for(drainDelay.toChrono());
    modules.http.stop(modules.settings.routing.maxDeadline);
    modules.claims.flush(modules.settings.routing.maxDeadline);
    modules.housekeepingThread.stop();
    modules.maintenanceThread.stop();
    modules.observerThread.stop();
    modules.registrySync.stop();
    modules.router.stop();
    modules.log.stop();
    modules.monitor.stop();
    modules.peerServer.stop();
    modules.transport.stop();
    LOG4CXX_INFO(logger("main"), "stopped");
}

} // namespace celeryline
