/// @file
/// Chooses a runner with a free slot for each request.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/calls/RouteTable.h"
#include "celeryline/calls/ServiceQueue.h"
#include "celeryline/calls/SlotCredits.h"
#include "celeryline/fleet/FleetReader.h"
#include "celeryline/registry/UpstreamView.h"
#include "celeryline/settings/Settings.h"

#include <functional>
#include <thread>

namespace celeryline {

class Router;
struct RoutingState;

/// A slot of a runner, held for one request. Gives it back when destroyed.
class SlotTicket {
public:
    SlotTicket() = default;
    SlotTicket(SlotTicket&& other) noexcept { swap(other); }
    SlotTicket& operator=(SlotTicket&& other) noexcept
    {
        swap(other);
        return *this;
    }
    SlotTicket(const SlotTicket&) = delete;
    SlotTicket& operator=(const SlotTicket&) = delete;
    ~SlotTicket();

    /// @return whether it holds a slot.
    explicit operator bool() const { return m_router != nullptr; }

    /// @return the runner.
    const RunnerRoute& runner() const;

    /// @return this instance's share of the runner's connections.
    std::uint32_t maxConnections() const;

    /// Prefers other runners for a while.
    void suspectRunner();

private:
    friend class Router;
    void swap(SlotTicket& other) noexcept;

    Router* m_router = nullptr;
    std::shared_ptr<const RoutingState> m_state;
    std::size_t m_runner = 0;
    RunnerCredits::Source m_source;
    ServiceQueue* m_queue = nullptr;
    std::chrono::steady_clock::time_point m_acquiredAt;
};

/// Why a request got no slot.
enum class SlotRefusal : std::uint8_t {
    None, ///< It got one.
    NoService, ///< The service is unknown.
    NoRunner, ///< No runner of this data centre serves it now.
    QueueFull, ///< Too many requests wait.
    TooLate ///< It can't be served before its deadline or the longest wait.
};

/// What acquire() gave.
struct SlotResult {
    SlotTicket ticket;
    SlotRefusal refusal = SlotRefusal::None;
};

/// A service as a request sees it.
struct ServiceEntry {
    std::shared_ptr<const RoutingState> state; ///< Keeps the route alive.
    const ServiceRoute* route = nullptr; ///< Null if the service is unknown.
    ServiceQueue* queue = nullptr;

    explicit operator bool() const { return route != nullptr; }
};

/// Who asks for a slot and until when.
struct SlotRequest {
    std::string organisation;
    std::string caller;
    Millis deadline;
    std::vector<std::string> failedTargets; ///< Runners to avoid if another one is free.
};

/// Chooses a runner with a free slot for each request, or lets it wait in a queue that is bounded in time and
/// fair. Thread-safe.
class Router {
public:
    using RequestCredits
        = std::function<CreditGrant(const std::string& peer, const CreditRequest& request, Millis timeout)>;

    /// @param settings name, routing and leases are used.
    /// @param bootEpoch differs after each start of this process.
    /// @param requestCredits borrows slots from another entry instance; may block and throw. Empty: none.
    Router(const Settings& settings, std::uint64_t bootEpoch, const Clock& clock, const FleetReader& fleet,
        const UpstreamView& upstreams, Metrics& metrics, RequestCredits requestCredits);
    ~Router();

    /// Begins to recompute credits and to borrow in the background.
    void start();

    /// Ends the background work.
    void stop();

    /// @param service name of a service.
    /// @return the service.
    ServiceEntry find(const std::string& service);

    /// @param entry a service.
    /// @param demand a request.
    /// @return why the request would be refused at once; None if it would be queued or served.
    SlotRefusal refusalFor(const ServiceEntry& entry, const SlotRequest& slotRequest);

    /// Waits for a slot.
    /// @param entry a service.
    /// @param demand the request.
    /// @return a slot, or why there is none.
    SlotResult acquire(const ServiceEntry& entry, const SlotRequest& slotRequest);

    /// @return whether a held slot may still be used; false after this process was suspended.
    bool canUseSlots() const { return m_credits.isFresh(m_clock.now()); }

    /// @return why requests can't be served yet; empty if they can.
    std::string reasonNotReady() const { return m_credits.isNew() ? "waiting for slot credits" : ""; }

    /// Lends slots to another entry instance.
    CreditGrant onCreditRequest(const CreditRequest& request);

    /// Recomputes credits and serves waiting requests; called in the background after start().
    void tick();

    /// Borrows for waiting requests and returns loans; called in the background after start(). May block.
    void exchangeLoans();

private:
    friend class SlotTicket;

    std::shared_ptr<const RoutingState> current();
    std::shared_ptr<const RoutingState> rebuild(const std::shared_ptr<const UpstreamSnapshot>& upstreams);
    SlotTicket selectRunner(const std::shared_ptr<const RoutingState>& state, const ServiceRoute& route,
        ServiceQueue& queue, const std::vector<std::string>& failedTargets);
    SlotTicket tryAcquire(
        const std::shared_ptr<const RoutingState>& state, std::size_t runner, ServiceQueue& queue);
    SlotRefusal queueRefusal(
        const RoutingState& state, const ServiceRoute& route, const ServiceQueue& queue, const SlotRequest&);
    void dispatch(
        const std::shared_ptr<const RoutingState>& state, const std::string& service, ServiceQueue& queue);
    void release(SlotTicket& ticket);
    void borrowFrom(const std::string& peer, const std::string& service, std::uint32_t wanted);

    Settings m_settings;
    const Clock& m_clock;
    const FleetReader& m_fleet;
    const UpstreamView& m_upstreams;
    Metrics& m_metrics;
    RequestCredits m_requestCredits;
    SlotCredits m_credits;
    std::mutex m_rebuildMutex;
    std::map<std::string, std::shared_ptr<ServiceQueue>> m_queues; ///< Guarded by m_rebuildMutex.
    std::shared_ptr<const RoutingState> m_state; ///< Accessed atomically.
    std::atomic<std::size_t> m_totalWaiting { 0 };
    std::atomic<std::uint32_t> m_nextOffset { 0 };
    std::map<std::string, Millis> m_peerRetryAt; ///< Used by exchangeLoans() only.

    std::mutex m_backgroundMutex;
    std::condition_variable m_wake;
    bool m_isStopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace celeryline
