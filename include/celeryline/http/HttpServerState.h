/// @file
/// What the connections of one HTTP listener share.
#pragma once

#include "celeryline/http/HttpEndpoint.h"
#include "celeryline/settings/Settings.h"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <string>
#include <vector>

namespace celeryline {

/// A connection as the watchdog sees it.
struct WatchedConnection {
    explicit WatchedConnection(const Poco::Net::StreamSocket& s)
        : socket(s)
    {
    }

    Poco::Net::StreamSocket socket;
    std::atomic<std::int64_t> headerDeadline { 0 }; ///< Steady time in ms; 0 while no header is awaited.
};

/// What the connections of one HTTP listener share.
struct HttpServerState {
    /// An endpoint and the path prefix that it serves.
    struct Route {
        std::string prefix;
        HttpEndpoint* endpoint = nullptr;
    };

    /// @param uri the request's URI.
    /// @return the endpoint with the longest matching prefix, or null.
    HttpEndpoint* find(const std::string& uri) const;

    LimitSettings limits;
    std::vector<Route> routes;
    std::atomic<bool> isDraining { false };
    std::atomic<bool> isStopping { false };
    std::atomic<int> activeRequests { 0 };
    std::mutex mutex;
    std::list<WatchedConnection> connections; ///< Guarded by mutex.
};

} // namespace celeryline
