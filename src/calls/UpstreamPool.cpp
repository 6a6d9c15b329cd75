#include "celeryline/calls/UpstreamPool.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace celeryline {

/// The connections to one address.
struct UpstreamPool::Host {
    std::mutex mutex;
    std::vector<std::unique_ptr<RunnerConnection>> idle; ///< The most recently used one is last.
    std::size_t open = 0; ///< Number of connections that are idle, in an exchange or being established.
};

namespace {

/// Calls a function on scope exit, so that a connection is released even if its exchange throws.
template <typename F> class ScopeExit {
public:
    explicit ScopeExit(F action)
        : m_action(std::move(action))
    {
    }
    ~ScopeExit() { m_action(); }
    ScopeExit(const ScopeExit&) = delete;
    ScopeExit& operator=(const ScopeExit&) = delete;

private:
    F m_action;
};

} // namespace

UpstreamPool::UpstreamPool(const RoutingSettings& routing, std::size_t maxBufferedBytes, const Clock& clock)
    : m_routing(routing)
    , m_maxBufferedBytes(maxBufferedBytes)
    , m_clock(clock)
{
}

UpstreamPool::~UpstreamPool() = default;

ExchangeResult UpstreamPool::run(const Exchange& exchange)
{
    auto target = host(exchange.address);
    for (;;) {
        auto connection = takeIdle(*target);
        const bool isNew = !connection;
        if (isNew) {
            ExchangeResult failed;
            connection = connect(*target, exchange, failed.error);
            if (!connection) {
                return failed;
            }
        }
        ExchangeResult result;
        result.delivery = Delivery::Unknown;
        {
            ScopeExit releaseOnExit([&] { release(*target, std::move(connection), result); });
            result = connection->run(exchange, m_maxBufferedBytes);
        }
        // An idle connection that the runner closed is not a failure of the runner: no byte was sent.
        if (result.delivery != Delivery::NotSent || isNew || result.timedOut) {
            return result;
        }
    }
}

std::shared_ptr<UpstreamPool::Host> UpstreamPool::host(const std::string& address)
{
    auto& shard = m_shards[std::hash<std::string>()(address) % m_shards.size()];
    const std::lock_guard lock(shard.mutex);
    auto& entry = shard.hosts[address];
    if (!entry) {
        entry = std::make_shared<Host>();
    }
    return entry;
}

std::unique_ptr<RunnerConnection> UpstreamPool::takeIdle(Host& host)
{
    const auto oldest = m_clock.now() - m_routing.idleConnectionTimeout;
    const std::lock_guard lock(host.mutex);
    while (!host.idle.empty()) {
        auto connection = std::move(host.idle.back());
        host.idle.pop_back();
        if (connection->lastUsed >= oldest && connection->hasNoPendingInput()) {
            return connection;
        }
        --host.open;
    }
    return nullptr;
}

std::unique_ptr<RunnerConnection> UpstreamPool::connect(
    Host& host, const Exchange& exchange, std::string& error)
{
    {
        const std::lock_guard lock(host.mutex);
        if (host.open >= exchange.maxConnections) {
            error = "all " + std::to_string(exchange.maxConnections) + " connections to " + exchange.address
                + " are in use";
            return nullptr;
        }
        ++host.open;
    }
    const auto remaining = exchange.deadline - m_clock.now();
    try {
        if (remaining.count > 0) {
            return std::make_unique<RunnerConnection>(
                exchange.address, std::min(m_routing.connectTimeout, remaining), m_clock);
        }
        error = "the deadline has passed";
    } catch (const Poco::Exception& e) {
        error = "can't connect to " + exchange.address + ": " + e.displayText();
    }
    const std::lock_guard lock(host.mutex);
    --host.open;
    return nullptr;
}

void UpstreamPool::release(
    Host& host, std::unique_ptr<RunnerConnection> connection, const ExchangeResult& result)
{
    std::vector<std::unique_ptr<RunnerConnection>> closed; // Destroyed after the mutex is released.
    const std::lock_guard lock(host.mutex);
    if (result.timedOut) {
        // The network path may be dead, which can't be detected on the idle connections themselves.
        host.open -= host.idle.size();
        closed.swap(host.idle);
    }
    if (result.delivery == Delivery::Completed && connection->isReusable()) {
        connection->lastUsed = m_clock.now();
        host.idle.push_back(std::move(connection));
    } else {
        --host.open;
    }
}

void UpstreamPool::closeIdle()
{
    const auto oldest = m_clock.now() - m_routing.idleConnectionTimeout;
    for (auto& shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        for (auto i = shard.hosts.begin(); i != shard.hosts.end();) {
            auto& host = *i->second;
            bool isUnused = false;
            {
                const std::lock_guard hostLock(host.mutex);
                const auto end = std::remove_if(host.idle.begin(), host.idle.end(),
                    [&](const auto& connection) { return connection->lastUsed < oldest; });
                host.open -= static_cast<std::size_t>(host.idle.end() - end);
                host.idle.erase(end, host.idle.end());
                isUnused = host.open == 0 && i->second.use_count() == 1;
            }
            i = isUnused ? shard.hosts.erase(i) : std::next(i);
        }
    }
}

std::size_t UpstreamPool::openConnections(const std::string& address)
{
    auto target = host(address);
    const std::lock_guard lock(target->mutex);
    return target->open;
}

} // namespace celeryline
