/// @file
/// Selection of a runner with a free slot for each request.
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

/// A slot of a runner, held for one request. Released on destruction.
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

    /// @return the number of connections to the runner that this instance may open.
    std::uint32_t maxConnections() const;

    /// Makes the router prefer other runners for a limited time.
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

/// Reason why a request got no slot.
enum class SlotRefusal : std::uint8_t {
    None, ///< It got a slot.
    NoService, ///< The service does not exist.
    NoRunner, ///< No runner of this data centre serves the service.
    QueueFull, ///< The queue of the service is full.
    TooLate ///< No slot before the deadline or within the service's maximum queue time.
};

/// Result of acquire().
struct SlotResult {
    SlotTicket ticket;
    SlotRefusal refusal = SlotRefusal::None;
};

/// The route and queue of a service.
struct ServiceEntry {
    std::shared_ptr<const RoutingState> state; ///< Owns the route.
    const ServiceRoute* route = nullptr; ///< Null if the service does not exist.
    ServiceQueue* queue = nullptr;

    explicit operator bool() const { return route != nullptr; }
};

/// A request for a slot.
struct SlotRequest {
    std::string organisation;
    std::string caller;
    Millis deadline;
    std::vector<std::string> failedTargets; ///< Runners to avoid while another one has a free slot.
};

/// Selects a runner for each request: the one with the fewest requests in progress among those with a free
/// slot. Otherwise the request waits in a queue that is bounded in length and time and fair between
/// organisations. Thread-safe.
class Router {
public:
    using RequestCredits
        = std::function<CreditGrant(const std::string& peer, const CreditRequest& request, Millis timeout)>;

    /// @param settings name, routing and leases are used.
    /// @param bootEpoch boot epoch of this process.
    /// @param requestCredits borrows slots from another entry instance; may block and throw. If empty,
    /// nothing is borrowed.
    Router(const Settings& settings, std::uint64_t bootEpoch, const Clock& clock, const FleetReader& fleet,
        const UpstreamView& upstreams, Metrics& metrics, RequestCredits requestCredits);
    ~Router();

    /// Starts the background threads, which call tick() and exchangeLoans().
    void start();

    /// Stops the background threads.
    void stop();

    /// @param service name of a service.
    /// @return its route and queue.
    ServiceEntry find(const std::string& service);

    /// @param entry a service.
    /// @param slotRequest a request.
    /// @return why the request would be refused immediately; None if it would be queued or served.
    SlotRefusal refusalFor(const ServiceEntry& entry, const SlotRequest& slotRequest);

    /// Waits for a slot.
    /// @param entry a service.
    /// @param slotRequest the request.
    /// @return a slot, or the reason for the refusal.
    SlotResult acquire(const ServiceEntry& entry, const SlotRequest& slotRequest);

    /// @return whether held slots are still valid; false after this process was suspended.
    bool canUseSlots() const { return m_credits.isFresh(m_clock.now()); }

    /// @return why the router is not ready; empty if it is.
    std::string reasonNotReady() const { return m_credits.isNew() ? "waiting for slot credits" : ""; }

    /// Handles a credit request of another entry instance.
    CreditGrant onCreditRequest(const CreditRequest& request);

    /// Recomputes credits and serves queued requests. Called periodically after start().
    void tick();

    /// Borrows slots for queued requests and returns loans. Called periodically after start(). May block.
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
