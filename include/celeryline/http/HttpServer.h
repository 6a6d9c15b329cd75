/// @file
/// HTTP server that routes requests to endpoints.
#pragma once

#include "celeryline/http/HttpEndpoint.h"
#include "celeryline/http/HttpServerState.h"
#include "celeryline/settings/Settings.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <string>
#include <thread>

namespace celeryline {

/// HTTP server with one listener. Requests go to the endpoint with the longest matching path prefix.
///
/// Example: `server.route("/metrics", metricsEndpoint); server.start();`
class HttpServer {
public:
    /// @param address "IP:port"; port 0 selects a free port.
    /// @param limits connection, size and time limits.
    HttpServer(const std::string& address, const LimitSettings& limits);
    ~HttpServer();

    /// Routes requests under a path prefix to an endpoint. Must be called before start().
    /// @param prefix path prefix such as "/v1/pools".
    /// @param endpoint handles the requests; must outlive the server.
    void route(const std::string& prefix, HttpEndpoint& endpoint);

    /// Binds the listener and starts serving.
    /// @throws Error of kind InvalidSettings if it can't listen on the address.
    void start();

    /// Makes every further response close its connection. New connections are still accepted, because the
    /// load balancer may not have removed this instance yet.
    void startDraining();

    /// Stops accepting connections, waits for open connections to finish and closes the remaining ones.
    /// @param limit maximum time to wait.
    void stop(Millis limit);

    /// @return the bound port.
    std::uint16_t port() const;

    /// @return the number of requests in progress.
    int activeRequests() const;

private:
    void enforceHeaderDeadlines();

    std::string m_address;
    std::shared_ptr<HttpServerState> m_state;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::ServerSocket> m_socket;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
    std::thread m_headerDeadlineThread;
};

} // namespace celeryline
