#include "celeryline/calls/Router.h"

#include "celeryline/calls/RoutingState.h"

#include <algorithm>

namespace celeryline {

/// A request that waits for a slot. Guarded by the mutex of the service queue.
struct SlotWaiter {
    SlotTicket ticket;
    bool isEvicted = false;
    std::condition_variable changed;
};

namespace {

constexpr Millis suspectDuration { 1000 };

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

SlotTicket::~SlotTicket()
{
    if (m_router) {
        m_router->release(*this);
    }
}

const RunnerRoute& SlotTicket::runner() const { return m_state->table.runners[m_runner]; }

std::uint32_t SlotTicket::maxConnections() const
{
    const auto live = std::max<std::size_t>(1, m_state->table.liveInstances.size());
    const auto total = std::max(runner().connections, runner().slots);
    return std::max<std::uint32_t>(1, total / static_cast<std::uint32_t>(live));
}

void SlotTicket::suspectRunner()
{
    m_state->credits[m_runner]->suspectUntil(m_router->m_clock.now() + suspectDuration);
}

void SlotTicket::swap(SlotTicket& other) noexcept
{
    std::swap(m_router, other.m_router);
    std::swap(m_state, other.m_state);
    std::swap(m_runner, other.m_runner);
    std::swap(m_source, other.m_source);
    std::swap(m_queue, other.m_queue);
    std::swap(m_acquiredAt, other.m_acquiredAt);
}

Router::Router(const Settings& settings, std::uint64_t bootEpoch, const Clock& clock,
    const FleetReader& fleet, const UpstreamView& upstreams, Metrics& metrics, RequestCredits requestCredits)
    : m_settings(settings)
    , m_clock(clock)
    , m_fleet(fleet)
    , m_upstreams(upstreams)
    , m_metrics(metrics)
    , m_requestCredits(std::move(requestCredits))
    , m_credits(
          settings.name, bootEpoch, settings.leases.peerTimeout, settings.routing.maxDeadline, clock.now())
{
    tick();
}

Router::~Router() { stop(); }

std::shared_ptr<const RoutingState> Router::current()
{
    auto state = std::atomic_load(&m_state);
    const auto upstreams = m_upstreams.upstreams();
    const auto fleet = m_fleet.fleet();
    if (state && state->table.upstreamVersion == upstreams->version
        && state->table.fleetServices == fleet->services && state->table.fleetInstances == fleet->instances) {
        return state;
    }
    return rebuild(upstreams);
}

std::shared_ptr<const RoutingState> Router::rebuild(const std::shared_ptr<const UpstreamSnapshot>& upstreams)
{
    std::unique_lock lock(m_rebuildMutex, std::try_to_lock);
    if (!lock.owns_lock()) {
        // Another thread is rebuilding the state; the previous state is used meanwhile if there is one.
        if (auto state = std::atomic_load(&m_state)) {
            return state;
        }
        lock.lock();
    }
    auto state = std::make_shared<RoutingState>();
    state->table = makeRouteTable(*m_fleet.fleet(), *upstreams);
    state->credits = m_credits.updateRoutes(state->table);
    state->owners.resize(state->table.runners.size());
    state->borrowers.resize(state->table.runners.size());
    for (const auto& entry : state->table.services) {
        auto& queue = m_queues[entry.first];
        if (!queue) {
            queue = std::make_shared<ServiceQueue>(
                entry.first, m_settings.routing.retryBudgetPercent, m_metrics);
        }
        state->queues[entry.first] = queue;
        for (const auto runner : entry.second.own) {
            state->owners[runner].push_back({ entry.first, queue.get() });
        }
        for (const auto runner : entry.second.borrowable) {
            state->borrowers[runner].push_back({ entry.first, queue.get() });
        }
    }
    std::shared_ptr<const RoutingState> result = std::move(state);
    std::atomic_store(&m_state, result);
    return result;
}

ServiceEntry Router::find(const std::string& service)
{
    ServiceEntry entry;
    entry.state = current();
    const auto route = entry.state->table.services.find(service);
    if (route != entry.state->table.services.end()) {
        entry.route = &route->second;
        entry.queue = entry.state->queues.at(service).get();
    }
    return entry;
}

SlotTicket Router::tryAcquire(
    const std::shared_ptr<const RoutingState>& state, std::size_t runner, ServiceQueue& queue)
{
    SlotTicket ticket;
    if (state->credits[runner]->tryAcquireSlot(m_clock.now(), ticket.m_source)) {
        ticket.m_router = this;
        ticket.m_state = state;
        ticket.m_runner = runner;
        ticket.m_queue = &queue;
        ticket.m_acquiredAt = std::chrono::steady_clock::now();
    }
    return ticket;
}

SlotTicket Router::selectRunner(const std::shared_ptr<const RoutingState>& state, const ServiceRoute& route,
    ServiceQueue& queue, const std::vector<std::string>& failedTargets)
{
    const auto now = m_clock.now();
    if (!m_credits.isFresh(now)) {
        return {};
    }
    const auto offset = m_nextOffset.fetch_add(1, std::memory_order_relaxed);
    const auto selectFrom = [&](const std::vector<std::size_t>& runners, bool isBorrowed,
                                bool includesSuspects) {
        std::vector<std::pair<std::uint32_t, std::size_t>> candidates;
        for (std::size_t i = 0; i < runners.size(); ++i) {
            const auto runner = runners[(i + offset) % runners.size()];
            const auto& credits = *state->credits[runner];
            const bool isUsable = includesSuspects
                || (!credits.isSuspect(now) && !contains(failedTargets, state->table.runners[runner].name));
            const auto isWaiting
                = [](const RoutingState::User& user) { return user.queue->waiting.load() > 0; };
            const bool isNeeded = isBorrowed
                && std::any_of(state->owners[runner].begin(), state->owners[runner].end(), isWaiting);
            if (isUsable && !isNeeded && credits.free() > 0) {
                candidates.emplace_back(credits.inUse(), runner);
            }
        }
        std::stable_sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
        for (const auto& candidate : candidates) {
            if (auto ticket = tryAcquire(state, candidate.second, queue)) {
                return ticket;
            }
        }
        return SlotTicket();
    };
    if (auto ticket = selectFrom(route.own, false, false)) {
        return ticket;
    }
    if (auto ticket = selectFrom(route.borrowable, true, false)) {
        return ticket;
    }
    return selectFrom(route.own, false, true);
}

SlotRefusal Router::queueRefusal(const RoutingState& state, const ServiceRoute& route,
    const ServiceQueue& queue, const SlotRequest& slotRequest)
{
    if (route.own.empty() && route.borrowable.empty()) {
        return SlotRefusal::NoRunner;
    }
    const auto now = m_clock.now();
    const auto maxWait = std::min(slotRequest.deadline - now, route.service.maxQueue);
    std::int64_t capacity = 0;
    for (const auto* runners : { &route.own, &route.borrowable }) {
        for (const auto runner : *runners) {
            capacity += state.credits[runner]->capacity();
        }
    }
    const auto ahead = static_cast<std::int64_t>(queue.waiters.itemsAhead(slotRequest.organisation)) + 1;
    const auto expected = ahead * queue.holdMicros.load(std::memory_order_relaxed)
        / std::max<std::int64_t>(1, capacity) / 1000;
    return maxWait.count <= 0 || expected > maxWait.count ? SlotRefusal::TooLate : SlotRefusal::None;
}

SlotRefusal Router::refusalFor(const ServiceEntry& entry, const SlotRequest& slotRequest)
{
    if (!entry) {
        return SlotRefusal::NoService;
    }
    if (entry.queue->waiting.load() == 0 && !(entry.route->own.empty() && entry.route->borrowable.empty())) {
        return SlotRefusal::None;
    }
    const std::lock_guard lock(entry.queue->mutex);
    return queueRefusal(*entry.state, *entry.route, *entry.queue, slotRequest);
}

SlotResult Router::acquire(const ServiceEntry& entry, const SlotRequest& slotRequest)
{
    SlotResult result;
    if (!entry) {
        result.refusal = SlotRefusal::NoService;
        return result;
    }
    auto& queue = *entry.queue;
    const auto& service = entry.route->service.name;
    if (queue.waiting.load() == 0) {
        result.ticket = selectRunner(entry.state, *entry.route, queue, slotRequest.failedTargets);
        if (result.ticket) {
            return result;
        }
    }
    const auto startTime = std::chrono::steady_clock::now();
    const auto maxWait = std::min(slotRequest.deadline - m_clock.now(), entry.route->service.maxQueue);
    SlotWaiter waiter;
    std::unique_lock lock(queue.mutex);
    result.refusal = queueRefusal(*entry.state, *entry.route, queue, slotRequest);
    if (result.refusal != SlotRefusal::None) {
        return result;
    }
    if (queue.waiters.size() >= static_cast<std::size_t>(m_settings.routing.maxQueued)) {
        const auto evicted = queue.waiters.evictFor(slotRequest.organisation);
        if (!evicted) {
            result.refusal = SlotRefusal::QueueFull;
            return result;
        }
        (*evicted)->isEvicted = true;
        (*evicted)->changed.notify_one();
    }
    queue.waiters.push(slotRequest.organisation, slotRequest.caller, &waiter);
    queue.waiting = queue.waiters.size();
    ++m_totalWaiting;
    queue.queueLength.Increment();
    dispatch(current(), service, queue);
    if (!waiter.ticket) {
        waiter.changed.wait_until(
            lock, startTime + maxWait.toChrono(), [&] { return waiter.ticket || waiter.isEvicted; });
    }
    if (!waiter.ticket && !waiter.isEvicted) {
        queue.waiters.remove(slotRequest.organisation, slotRequest.caller, &waiter);
    }
    queue.waiting = queue.waiters.size();
    --m_totalWaiting;
    queue.queueLength.Decrement();
    queue.waitTime.Observe(
        std::chrono::duration<double>(std::chrono::steady_clock::now() - startTime).count());
    if (!waiter.ticket) {
        result.refusal = waiter.isEvicted ? SlotRefusal::QueueFull : SlotRefusal::TooLate;
    }
    result.ticket = std::move(waiter.ticket);
    return result;
}

void Router::dispatch(
    const std::shared_ptr<const RoutingState>& state, const std::string& service, ServiceQueue& queue)
{
    const auto route = state->table.services.find(service);
    if (route == state->table.services.end()) {
        return;
    }
    while (queue.waiters.size() > 0) {
        auto ticket = selectRunner(state, route->second, queue, {});
        if (!ticket) {
            break;
        }
        auto* waiter = *queue.waiters.pop();
        waiter->ticket = std::move(ticket);
        waiter->changed.notify_one();
    }
    queue.waiting = queue.waiters.size();
}

void Router::release(SlotTicket& ticket)
{
    const auto held = std::chrono::steady_clock::now() - ticket.m_acquiredAt;
    ticket.m_queue->recordHoldTime(std::chrono::duration_cast<std::chrono::microseconds>(held).count());
    ticket.m_state->credits[ticket.m_runner]->releaseSlot(ticket.m_source);
    if (m_totalWaiting.load() == 0) {
        return;
    }
    const auto state = current();
    const auto& runners = state->table.runners;
    const auto& name = ticket.runner().name;
    const auto found = std::lower_bound(runners.begin(), runners.end(), name,
        [](const RunnerRoute& runner, const std::string& wanted) { return runner.name < wanted; });
    if (found == runners.end() || found->name != name) {
        return;
    }
    const auto index = static_cast<std::size_t>(found - runners.begin());
    // The runner's own services are served first, which reclaims slots used by other services.
    for (const auto* users : { &state->owners[index], &state->borrowers[index] }) {
        for (const auto& user : *users) {
            if (user.queue->waiting.load() > 0) {
                const std::lock_guard lock(user.queue->mutex);
                dispatch(state, user.service, *user.queue);
            }
        }
    }
}

} // namespace celeryline
