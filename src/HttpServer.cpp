#include "celeryline/HttpServer.h"

#include "celeryline/Error.h"
#include "celeryline/HttpErrors.h"
#include "celeryline/Logging.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>

#include <chrono>
#include <thread>

namespace celeryline {

namespace {

/// Calls an endpoint and turns its exceptions into answers.
class EndpointHandler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit EndpointHandler(HttpEndpoint* endpoint)
        : m_endpoint(endpoint)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response) override
    {
        try {
            serve(request, response);
        } catch (const Error& e) {
            if (!response.sent()) {
                sendError(response, e);
            }
        } catch (const Poco::Exception& e) {
            LOG4CXX_WARN(logger("http"), request.getURI() << ": " << e.displayText());
            if (!response.sent()) {
                sendError(response, Error(ErrorKind::InvalidInput, e.displayText(), "correct the request"));
            }
        }
    }

private:
    void serve(Poco::Net::HTTPServerRequest& request, Poco::Net::HTTPServerResponse& response)
    {
        if (!m_endpoint) {
            throw Error(ErrorKind::NotFound, "there is no path \"" + request.getURI() + "\"",
                "paths start with /call/, /v1/, /metrics, /healthz or /readyz");
        }
        m_endpoint->handle(request, response);
    }

    HttpEndpoint* m_endpoint;
};

std::string pathOf(const std::string& uri) { return uri.substr(0, uri.find('?')); }

bool isBelow(const std::string& path, const std::string& prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0) {
        return false;
    }
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

} // namespace

class HttpServer::HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit HandlerFactory(std::shared_ptr<std::vector<Route>> routes)
        : m_routes(std::move(routes))
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest& request) override
    {
        return new EndpointHandler(find(pathOf(request.getURI())));
    }

private:
    HttpEndpoint* find(const std::string& path) const
    {
        const Route* best = nullptr;
        for (const auto& route : *m_routes) {
            if (isBelow(path, route.prefix) && (!best || route.prefix.size() > best->prefix.size())) {
                best = &route;
            }
        }
        return best ? best->endpoint : nullptr;
    }

    std::shared_ptr<std::vector<Route>> m_routes;
};

HttpServer::HttpServer(const std::string& address, const LimitSettings& limits)
    : m_address(address)
    , m_limits(limits)
    , m_routes(std::make_shared<std::vector<Route>>())
    , m_threads(4, static_cast<int>(limits.maxConnections) + 1, 60, 256 * 1024)
{
}

HttpServer::~HttpServer() { stop(Millis { 0 }); }

void HttpServer::route(const std::string& prefix, HttpEndpoint& endpoint)
{
    m_routes->push_back({ prefix, &endpoint });
}

void HttpServer::start()
{
    Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
    params->setMaxThreads(static_cast<int>(m_limits.maxConnections));
    params->setMaxQueued(static_cast<int>(m_limits.maxConnections));
    params->setKeepAlive(true);
    params->setMaxKeepAliveRequests(0);
    params->setTimeout(Poco::Timespan(m_limits.receiveTimeout.count * 1000));
    params->setKeepAliveTimeout(Poco::Timespan(m_limits.keepAliveTimeout.count * 1000));
    params->setServerName("");
    params->setSoftwareVersion("celeryline/" CELERYLINE_VERSION);
    try {
        m_socket = std::make_unique<Poco::Net::ServerSocket>();
        m_socket->bind(Poco::Net::SocketAddress(m_address), true, false);
        m_socket->listen(1024);
    } catch (const Poco::Exception& e) {
        throw Error(ErrorKind::InvalidSettings, "can't listen on " + m_address + ": " + e.displayText(),
            "choose another address in the settings or end the process that uses it");
    }
    m_server
        = std::make_unique<Poco::Net::HTTPServer>(new HandlerFactory(m_routes), m_threads, *m_socket, params);
    m_server->start();
}

void HttpServer::stop(Millis limit)
{
    if (!m_server) {
        return;
    }
    m_server->stop();
    auto end = std::chrono::steady_clock::now() + limit.toChrono();
    while (m_server->currentConnections() > 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    m_server->stopAll(true);
    m_server.reset();
    m_threads.joinAll();
}

std::uint16_t HttpServer::port() const { return m_socket ? m_socket->address().port() : 0; }

} // namespace celeryline
