/// @file
/// Connections to runners and to other data centres.
#pragma once

#include "celeryline/base/Clock.h"
#include "celeryline/calls/Exchange.h"
#include "celeryline/calls/RunnerConnection.h"
#include "celeryline/settings/Settings.h"

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace celeryline {

/// Keeps connections alive between exchanges. Thread-safe; one lock per address.
///
/// Example: `auto result = pool.run(exchange); if (result.end == ExchangeEnd::Answered) { ... }`
class UpstreamPool {
public:
    /// @param routing connect timeout and life of idle connections.
    /// @param maxHeldBytes larger answers go to the exchange's sink.
    /// @param clock measures timeouts.
    UpstreamPool(const RoutingSettings& routing, std::size_t maxBufferedBytes, const Clock& clock);
    ~UpstreamPool();

    /// Sends a request on an idle or a new connection and receives its answer.
    /// @param exchange what to send.
    /// @return how it ended.
    ExchangeResult run(const Exchange& exchange);

    /// Closes connections that have been idle for too long. To be called about every second.
    void closeIdle();

    /// @param address "IP:port".
    /// @return the number of open connections to it.
    std::size_t openConnections(const std::string& address);

private:
    struct Host;
    struct Shard {
        std::mutex mutex;
        std::unordered_map<std::string, std::shared_ptr<Host>> hosts;
    };

    std::shared_ptr<Host> host(const std::string& address);
    std::unique_ptr<RunnerConnection> takeIdle(Host& host);
    std::unique_ptr<RunnerConnection> connect(Host& host, const Exchange& exchange, std::string& error);
    void release(Host& host, std::unique_ptr<RunnerConnection> connection, const ExchangeResult& result);

    RoutingSettings m_routing;
    std::size_t m_maxBufferedBytes;
    const Clock& m_clock;
    std::array<Shard, 16> m_shards;
};

} // namespace celeryline
