/// @file
/// State shared by the connections of an HTTP server.
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

/// An open connection and the deadline of the request header it is receiving.
struct TrackedConnection {
    explicit TrackedConnection(const Poco::Net::StreamSocket& s)
        : socket(s)
    {
    }

    Poco::Net::StreamSocket socket;
    /// Steady-clock time in ms; 0 while no header is being read.
    std::atomic<std::int64_t> headerDeadline { 0 };
};

/// State shared by an HTTP server and its connections.
struct HttpServerState {
    /// Maps a path prefix to an endpoint.
    struct Route {
        std::string prefix;
        HttpEndpoint* endpoint = nullptr;
    };

    /// @param uri request URI.
    /// @return the endpoint with the longest matching prefix, or nullptr.
    HttpEndpoint* find(const std::string& uri) const;

    LimitSettings limits;
    std::vector<Route> routes;
    std::atomic<bool> isDraining { false };
    std::atomic<bool> isStopping { false };
    std::atomic<int> activeRequests { 0 };
    std::mutex mutex;
    std::list<TrackedConnection> connections; ///< Guarded by mutex.
};

} // namespace celeryline
