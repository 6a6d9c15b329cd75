/// @file
/// The one HTTP listener of a process and the dispatch of requests to endpoints.
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

/// The one HTTP listener of a process. Requests go to the endpoint with the longest matching path prefix.
///
/// Example: `server.route("/metrics", metricsEndpoint); server.start();`
class HttpServer {
public:
    /// @param address "IP:port"; port 0 picks a free one.
    /// @param limits connections, sizes and times.
    HttpServer(const std::string& address, const LimitSettings& limits);
    ~HttpServer();

    /// Sends requests below a path prefix to an endpoint. Must be called before start().
    /// @param prefix path prefix such as "/v1/pools".
    /// @param endpoint serves them; must outlive the server.
    void route(const std::string& prefix, HttpEndpoint& endpoint);

    /// Binds the listener and begins to serve.
    /// @throws Error of kind InvalidSettings if the address is in use.
    void start();

    /// Asks callers to leave: each answer from now on closes its connection. New connections are still taken,
    /// because the balancer may not know yet.
    void startDraining();

    /// Stops taking connections, waits for the open requests up to a time limit and closes the rest.
    /// @param limit how long to wait.
    void stop(Millis limit);

    /// @return the bound port.
    std::uint16_t port() const;

    /// @return requests being served.
    int activeRequests() const;

private:
    void watchHeaders();

    std::string m_address;
    std::shared_ptr<HttpServerState> m_state;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::ServerSocket> m_socket;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
    std::thread m_watchdog;
};

} // namespace celeryline
