#include "celeryline/base/Error.h"
#include "celeryline/calls/Router.h"
#include "celeryline/calls/RoutingState.h"

#include <algorithm>

namespace celeryline {

namespace {

constexpr Millis loanTimeout { 100 };
constexpr Millis peerRetryDelay { 1000 };
constexpr std::uint32_t maxSlotsPerRequest = 16;

} // namespace

void Router::start()
{
    const auto tickInterval = std::clamp<std::int64_t>(m_settings.leases.peerTimeout.count / 8, 1, 20);
    const auto runPeriodically = [this](std::chrono::milliseconds interval, auto action) {
        std::unique_lock lock(m_backgroundMutex);
        while (!m_isStopping) {
            lock.unlock();
            action();
            lock.lock();
            if (!m_isStopping) {
                m_wake.wait_for(lock, interval);
            }
        }
    };
    m_threads.emplace_back([this, runPeriodically, tickInterval] {
        runPeriodically(std::chrono::milliseconds(tickInterval), [this] { tick(); });
    });
    if (m_requestCredits) {
        m_threads.emplace_back([this, runPeriodically] {
            runPeriodically(std::chrono::milliseconds(20), [this] { exchangeLoans(); });
        });
    }
}

void Router::stop()
{
    {
        const std::lock_guard lock(m_backgroundMutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    for (auto& thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void Router::tick()
{
    const auto state = current();
    m_credits.tick(m_clock.now(), state->table.liveInstances);
    if (m_totalWaiting.load() == 0) {
        return;
    }
    for (const auto& queue : state->queues) {
        if (queue.second->waiting.load() > 0) {
            const std::lock_guard lock(queue.second->mutex);
            dispatch(state, queue.first, *queue.second);
        }
    }
}

CreditGrant Router::onCreditRequest(const CreditRequest& request)
{
    std::vector<std::size_t> lendable;
    const auto state = current();
    const auto route = state->table.services.find(request.service);
    if (route != state->table.services.end()) {
        for (const auto* runners : { &route->second.own, &route->second.borrowable }) {
            for (const auto runner : *runners) {
                const auto& owners = state->owners[runner];
                const bool isNeeded = std::any_of(owners.begin(), owners.end(),
                    [](const RoutingState::User& user) { return user.queue->waiting.load() > 0; });
                if (!isNeeded) {
                    lendable.push_back(runner);
                }
            }
        }
    }
    return m_credits.onRequest(m_clock.now(), request, lendable);
}

void Router::borrowFrom(const std::string& peer, const std::string& service, std::uint32_t wanted)
{
    auto request = m_credits.makeRequest();
    request.service = service;
    request.wanted = wanted;
    const auto sent = m_clock.now();
    try {
        if (m_credits.onGrant(peer, m_requestCredits(peer, request, loanTimeout), sent) > 0) {
            tick();
        }
    } catch (const Error&) {
        m_peerRetryAt[peer] = m_clock.now() + peerRetryDelay;
    }
}

void Router::exchangeLoans()
{
    const auto state = current();
    for (const auto& loans : m_credits.takeReturns(m_clock.now())) {
        auto request = m_credits.makeRequest();
        request.returned = loans.second;
        try {
            m_requestCredits(loans.first, request, loanTimeout);
        } catch (const Error&) {
            // The return may have been received, and repeating it could free slots of a newer loan. If it was
            // lost, the loan expires at the lender.
            m_peerRetryAt[loans.first] = m_clock.now() + peerRetryDelay;
        }
    }
    for (const auto& peer : m_credits.reportsNeeded(m_clock.now())) {
        const auto sent = m_clock.now();
        try {
            m_credits.onReport(peer, m_requestCredits(peer, m_credits.makeRequest(), loanTimeout), sent);
        } catch (const Error&) { // NOLINT(bugprone-empty-catch): it is requested again in the next round.
        }
    }
    std::vector<std::string> peers;
    for (const auto& name : state->table.liveInstances) {
        if (name != m_settings.name && m_peerRetryAt[name] <= m_clock.now()) {
            peers.push_back(name);
        }
    }
    for (const auto& queue : state->queues) {
        const auto waiting = queue.second->waiting.load();
        if (waiting > 0 && !peers.empty()) {
            const auto offset = m_nextOffset.fetch_add(1, std::memory_order_relaxed);
            borrowFrom(peers[offset % peers.size()], queue.first,
                static_cast<std::uint32_t>(std::min<std::size_t>(waiting, maxSlotsPerRequest)));
        }
    }
}

} // namespace celeryline
