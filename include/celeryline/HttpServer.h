/// @file
/// The one HTTP listener of a process and the dispatch of requests to endpoints.
#pragma once

#include "celeryline/HttpEndpoint.h"
#include "celeryline/Settings.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <string>
#include <vector>

namespace celeryline {

/// The one HTTP listener of a process. Requests go to the endpoint with the longest matching path prefix.
///
/// Example: `server.route("/metrics", metricsEndpoint); server.start();`
class HttpServer {
public:
    /// @param address "IP:port"; port 0 picks a free one.
    /// @param limits connections and time limits.
    HttpServer(const std::string& address, const LimitSettings& limits);
    ~HttpServer();

    /// Sends requests below a path prefix to an endpoint. Must be called before start().
    /// @param prefix path prefix such as "/v1/pools".
    /// @param endpoint serves them; must outlive the server.
    void route(const std::string& prefix, HttpEndpoint& endpoint);

    /// Binds the listener and begins to serve.
    /// @throws Error of kind InvalidSettings if the address is in use.
    void start();

    /// Stops accepting connections, waits for the open requests up to a time limit and closes the rest.
    /// @param limit how long to wait.
    void stop(Millis limit);

    /// @return the bound port.
    std::uint16_t port() const;

private:
    struct Route {
        std::string prefix;
        HttpEndpoint* endpoint;
    };
    class HandlerFactory;

    std::string m_address;
    LimitSettings m_limits;
    std::shared_ptr<std::vector<Route>> m_routes;
    Poco::ThreadPool m_threads;
    std::unique_ptr<Poco::Net::ServerSocket> m_socket;
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace celeryline
