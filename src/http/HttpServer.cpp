#include "celeryline/http/HttpServer.h"

#include "celeryline/base/Clock.h"
#include "celeryline/base/Error.h"
#include "celeryline/http/HttpConnection.h"
#include "celeryline/http/HttpErrors.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>

#include <chrono>

namespace celeryline {

namespace {

constexpr std::chrono::milliseconds headerCheckInterval { 50 };
constexpr int listenBacklog = 1024;
constexpr int threadStackBytes = 256 * 1024;

class ConnectionFactory final : public Poco::Net::TCPServerConnectionFactory {
public:
    explicit ConnectionFactory(std::shared_ptr<HttpServerState> state)
        : m_state(std::move(state))
    {
    }

    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override
    {
        return new HttpConnection(socket, m_state);
    }

private:
    std::shared_ptr<HttpServerState> m_state;
};

bool hasPathPrefix(const std::string& path, const std::string& prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0) {
        return false;
    }
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

void sendHeaderTimeout(TrackedConnection& connection)
{
    // The connection's own thread is blocked reading the header, so there is no concurrent write.
    std::string errorResponse = formatErrorResponse(
        "408 Request Timeout", "timed-out", "the request's header did not arrive in time; resend it");
    try {
        connection.socket.sendBytes(errorResponse.data(), static_cast<int>(errorResponse.size()));
        connection.socket.shutdown();
    } catch (const Poco::Exception&) {
        // The peer has already closed the connection.
    }
}

} // namespace

HttpEndpoint* HttpServerState::find(const std::string& uri) const
{
    std::string path = uri.substr(0, uri.find('?'));
    const Route* best = nullptr;
    for (const auto& route : routes) {
        if (hasPathPrefix(path, route.prefix) && (!best || route.prefix.size() > best->prefix.size())) {
            best = &route;
        }
    }
    return best ? best->endpoint : nullptr;
}

HttpServer::HttpServer(const std::string& address, const LimitSettings& limits)
    : m_address(address)
    , m_state(std::make_shared<HttpServerState>())
    , m_threads(4, static_cast<int>(limits.maxConnections) + 1, 60, threadStackBytes)
{
    m_state->limits = limits;
    if (m_state->limits.maxHeaderBytes == 0) {
        m_state->limits.maxHeaderBytes = 16384;
    }
}

HttpServer::~HttpServer() { stop(Millis { 0 }); }

void HttpServer::route(const std::string& prefix, HttpEndpoint& endpoint)
{
    m_state->routes.push_back({ prefix, &endpoint });
}

void HttpServer::start()
{
    Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
    params->setMaxThreads(static_cast<int>(m_state->limits.maxConnections));
    params->setMaxQueued(static_cast<int>(m_state->limits.maxConnections));
    try {
        m_socket = std::make_unique<Poco::Net::ServerSocket>();
        m_socket->bind(Poco::Net::SocketAddress(m_address), true, false);
        m_socket->listen(listenBacklog);
    } catch (const Poco::Exception& e) {
        throw Error(ErrorKind::InvalidSettings, "can't listen on " + m_address + ": " + e.displayText(),
            "choose another address in the settings or stop the process that uses it");
    }
    m_server = std::make_unique<Poco::Net::TCPServer>(
        new ConnectionFactory(m_state), m_threads, *m_socket, params);
    m_server->start();
    m_headerDeadlineThread = std::thread([this] { enforceHeaderDeadlines(); });
}

void HttpServer::startDraining() { m_state->isDraining = true; }

void HttpServer::stop(Millis limit)
{
    if (!m_server) {
        return;
    }
    m_state->isDraining = true;
    m_server->stop();
    m_socket->close();
    m_state->isStopping = true;
    SystemClock clock;
    auto end = clock.now() + limit;
    while (m_server->currentConnections() > 0 && clock.now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    {
        std::lock_guard<std::mutex> lock(m_state->mutex);
        for (auto& connection : m_state->connections) {
            try {
                connection.socket.shutdown();
            } catch (const Poco::Exception&) {
                // The peer has already closed the connection.
            }
        }
    }
    m_threads.joinAll();
    m_headerDeadlineThread.join();
    m_server.reset();
}

std::uint16_t HttpServer::port() const { return m_socket ? m_socket->address().port() : 0; }

int HttpServer::activeRequests() const { return m_state->activeRequests; }

void HttpServer::enforceHeaderDeadlines()
{
    SystemClock clock;
    while (!m_state->isStopping || m_server->currentConnections() > 0) {
        std::this_thread::sleep_for(headerCheckInterval);
        std::lock_guard<std::mutex> lock(m_state->mutex);
        for (auto& connection : m_state->connections) {
            std::int64_t deadline = connection.headerDeadline;
            if (deadline != 0 && clock.now().count > deadline) {
                connection.headerDeadline = 0;
                sendHeaderTimeout(connection);
            }
        }
    }
}

} // namespace celeryline
