#include "celeryline/http/HttpConnection.h"

#include "celeryline/base/Clock.h"
#include "celeryline/base/Error.h"
#include "celeryline/http/HttpErrors.h"
#include "celeryline/settings/Logging.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <poll.h>

namespace celeryline {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequestImpl;
using Poco::Net::HTTPServerResponseImpl;

namespace {

constexpr int pollIntervalMs = 100;
constexpr Millis lingerTimeout { 500 };

/// Waits for requests in short intervals to notice between requests that the server is stopping.
class Session final : public Poco::Net::HTTPServerSession {
public:
    using HTTPServerSession::HTTPServerSession;

    bool waitForRequest(const HttpServerState& state, Millis limit)
    {
        auto end = SystemClock().now() + limit;
        while (!state.isStopping) {
            if (buffered() > 0 || isReadable(pollIntervalMs)) {
                return true;
            }
            if (SystemClock().now() >= end) {
                return false;
            }
        }
        // Still serves a request that arrived before the stop.
        return buffered() > 0 || isReadable(0);
    }

private:
    /// Poco's poll() makes four system calls, which take a fifth of the time of a small request.
    bool isReadable(int timeoutMs)
    {
        pollfd descriptor { socket().impl()->sockfd(), POLLIN, 0 };
        return ::poll(&descriptor, 1, timeoutMs) > 0;
    }
};

/// Shuts down the sending side and discards input until the peer closes or lingerTimeout passes. Closing a
/// socket with unread input resets the connection, and the reset can reach the peer before the response.
void lingeringClose(Poco::Net::StreamSocket& socket)
{
    socket.shutdownSend();
    auto end = SystemClock().now() + lingerTimeout;
    char discarded[4096];
    while (SystemClock().now() < end
        && socket.poll(Poco::Timespan(pollIntervalMs * 1000), Poco::Net::Socket::SELECT_READ)) {
        if (socket.receiveBytes(discarded, sizeof discarded) <= 0) {
            return;
        }
    }
}

std::int64_t headerBytes(const Poco::Net::HTTPServerRequest& request)
{
    auto bytes = static_cast<std::int64_t>(request.getMethod().size() + request.getURI().size());
    for (const auto& [name, value] : request) {
        bytes += static_cast<std::int64_t>(name.size() + value.size());
    }
    return bytes;
}

void sendErrorIfUnsent(HTTPServerResponseImpl& response, const Error& error)
{
    if (!response.sent()) {
        sendError(response, error);
    }
}

/// Calls the endpoint and converts its exceptions to error responses.
void dispatch(HttpEndpoint* endpoint, HTTPServerRequestImpl& request, HTTPServerResponseImpl& response)
{
    try {
        if (!endpoint) {
            throw Error(ErrorKind::NotFound, "unknown path \"" + request.getURI() + "\"",
                "paths start with /call/, /v1/, /metrics, /healthz or /readyz");
        }
        endpoint->handle(request, response);
    } catch (const Error& e) {
        sendErrorIfUnsent(response, e);
    } catch (const Poco::Net::NetException&) {
        throw; // The connection itself failed.
    } catch (const Poco::Exception& e) {
        LOG4CXX_WARN(logger("http"), request.getURI() << ": " << e.displayText());
        sendErrorIfUnsent(response, Error(ErrorKind::InvalidInput, e.displayText(), "correct the request"));
    }
}

} // namespace

HttpConnection::HttpConnection(const Poco::Net::StreamSocket& socket, std::shared_ptr<HttpServerState> state)
    : TCPServerConnection(socket)
    , m_state(std::move(state))
    , m_params(new Poco::Net::HTTPServerParams)
{
    m_params->setTimeout(Poco::Timespan(m_state->limits.receiveTimeout.count * 1000));
    m_params->setKeepAlive(true);
    std::lock_guard<std::mutex> lock(m_state->mutex);
    m_trackedConnection = m_state->connections.emplace(m_state->connections.end(), socket);
}

HttpConnection::~HttpConnection()
{
    std::lock_guard<std::mutex> lock(m_state->mutex);
    m_state->connections.erase(m_trackedConnection);
}

void HttpConnection::run()
{
    try {
        socket().setNoDelay(true);
        Session session(socket(), m_params);
        Millis wait = m_state->limits.receiveTimeout;
        while (session.waitForRequest(*m_state, wait) && serveRequest(session)) {
            wait = m_state->limits.keepAliveTimeout;
        }
        lingeringClose(socket());
    } catch (const Poco::Exception& e) {
        LOG4CXX_DEBUG(logger("http"), "connection closed: " << e.displayText());
    }
}

bool HttpConnection::serveRequest(Poco::Net::HTTPServerSession& session)
{
    m_trackedConnection->headerDeadline = (SystemClock().now() + m_state->limits.receiveTimeout).count;
    HTTPServerResponseImpl response(session);
    std::unique_ptr<HTTPServerRequestImpl> request;
    try {
        request = std::make_unique<HTTPServerRequestImpl>(response, session, m_params.get());
    } catch (const Poco::Net::NoMessageException&) {
        return false; // The peer closed the connection between requests.
    } catch (const Poco::Net::MessageException& e) {
        rejectMalformedHeader(e.message());
        return false;
    }
    m_trackedConnection->headerDeadline = 0;
    if (headerBytes(*request) > m_state->limits.maxHeaderBytes) {
        rejectMalformedHeader("header too long");
        return false;
    }
    ++m_state->activeRequests;
    auto decrement = [](std::atomic<int>* count) { --*count; };
    std::unique_ptr<std::atomic<int>, decltype(decrement)> active(&m_state->activeRequests, decrement);
    response.setDate(Poco::Timestamp());
    response.setVersion(request->getVersion());
    response.setKeepAlive(request->getKeepAlive() && !m_state->isDraining);
    if (request->getExpectContinue()) {
        response.sendContinue();
    }
    dispatch(m_state->find(request->getURI()), *request, response);
    // On a reused connection, an unread body would be parsed as the next request.
    bool isBodyRead = !request->stream().good() || request->stream().peek() == std::char_traits<char>::eof();
    return response.getKeepAlive() && isBodyRead;
}

void HttpConnection::rejectMalformedHeader(const std::string& reason)
{
    std::string lower = reason;
    std::transform(
        lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return std::tolower(c); });
    bool isTooLong
        = lower.find("too long") != std::string::npos || lower.find("too many") != std::string::npos;
    std::string errorResponse = isTooLong ? formatErrorResponse("431 Request Header Fields Too Large",
                                    "limit-exceeded", "the request's header is too long; send a shorter one")
                                          : formatErrorResponse("400 Bad Request", "invalid-input",
                                              "the request's header is malformed; send an HTTP/1.1 request");
    socket().sendBytes(errorResponse.data(), static_cast<int>(errorResponse.size()));
}

} // namespace celeryline
