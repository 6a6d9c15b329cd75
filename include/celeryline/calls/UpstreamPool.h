/// @file
/// Pool of connections to runners and other data centres.
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

/// Keeps connections open between exchanges. Thread-safe; there is one mutex per address.
///
/// Example: `auto result = pool.run(exchange); if (result.delivery == Delivery::Completed) { ... }`
class UpstreamPool {
public:
    /// @param routing connect timeout and maximum idle time of connections.
    /// @param maxBufferedBytes larger responses are streamed to the exchange's sink.
    /// @param clock clock of the timeouts.
    UpstreamPool(const RoutingSettings& routing, std::size_t maxBufferedBytes, const Clock& clock);
    ~UpstreamPool();

    /// Sends a request on an idle or new connection and receives its response.
    /// @param exchange what to send.
    /// @return the result.
    ExchangeResult run(const Exchange& exchange);

    /// Closes connections that exceeded the maximum idle time. Should be called about once a second.
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
