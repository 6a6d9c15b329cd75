#include "celeryline/calls/RunnerConnection.h"

#include "celeryline/calls/ResponseParser.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

namespace celeryline {

namespace {

/// TCP_USER_TIMEOUT: closes the connection if sent bytes stay unacknowledged. Detects a dead network path
/// even while waiting for a response without a try timeout.
constexpr int tcpUserTimeoutMillis = 5000;
constexpr Millis receiveTimeoutSlice { 100 };
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 3;

std::string systemError(int code) { return std::strerror(code); } // NOLINT(concurrency-mt-unsafe)

} // namespace

RunnerConnection::RunnerConnection(const std::string& address, Millis timeout, const Clock& clock)
    : m_clock(clock)
{
    m_socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(timeout.count * 1000));
    m_socket.setNoDelay(true);
    m_socket.setKeepAlive(true);
    m_socket.setReceiveTimeout(Poco::Timespan(receiveTimeoutSlice.count * 1000));
    m_socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, tcpUserTimeoutMillis);
    m_socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    m_socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    m_socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    m_fd = m_socket.impl()->sockfd();
}

bool RunnerConnection::hasNoPendingInput() const
{
    char byte = 0;
    const auto received = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ExchangeResult RunnerConnection::run(const Exchange& exchange, std::size_t maxBufferedBytes)
{
    m_isReusable = false;
    ExchangeResult result;
    if (!send(exchange, result)) {
        return result;
    }
    ResponseParser parser(exchange.isHead);
    if (!receive(exchange, maxBufferedBytes, parser, result)) {
        result.delivery = Delivery::Unknown;
        m_isReusable = false;
        return result;
    }
    result.delivery = Delivery::Completed;
    result.response = std::move(parser.response());
    return result;
}

RunnerConnection::Wait RunnerConnection::waitFor(short events, Millis until) const
{
    for (;;) {
        const auto remaining = until - m_clock.now();
        if (remaining.count <= 0) {
            return Wait::TimedOut;
        }
        pollfd entry { m_fd, events, 0 };
        const int ready = ::poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(remaining.count, 60000)));
        if (ready > 0) {
            return (events & POLLOUT) && (entry.revents & POLLIN) ? Wait::EarlyInput : Wait::Ready;
        }
    }
}

bool RunnerConnection::send(const Exchange& exchange, ExchangeResult& result)
{
    const std::size_t headSize = exchange.head.size();
    const std::size_t total = headSize + (exchange.body ? exchange.body->size() : 0);
    std::size_t sent = 0;
    while (sent < total) {
        std::array<iovec, 2> parts {};
        msghdr message {};
        message.msg_iov = parts.data();
        if (sent < headSize) {
            parts[message.msg_iovlen++] = { const_cast<char*>(exchange.head.data()) + sent, headSize - sent };
        }
        if (total > headSize) {
            const std::size_t from = sent > headSize ? sent - headSize : 0;
            parts[message.msg_iovlen++]
                = { const_cast<char*>(exchange.body->data()) + from, exchange.body->size() - from };
        }
        const auto written = ::sendmsg(m_fd, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (written > 0) {
            sent += static_cast<std::size_t>(written);
            result.delivery = Delivery::Unknown;
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            // The runner may have responded before it closed, for example to refuse a large body.
            result.error = "sending failed: " + systemError(errno);
            return result.delivery == Delivery::Unknown && !hasNoPendingInput();
        }
        const auto wait = waitFor(POLLIN | POLLOUT, exchange.deadline);
        if (wait == Wait::TimedOut) {
            result.timedOut = true;
            result.error = "the runner did not receive the whole request before the deadline";
            return false;
        }
        if (wait == Wait::EarlyInput) {
            result.error = "the runner responded before it received the whole request";
            return true;
        }
    }
    m_isReusable = true;
    return true;
}

bool RunnerConnection::receive(
    const Exchange& exchange, std::size_t maxBufferedBytes, ResponseParser& parser, ExchangeResult& result)
{
    std::array<char, 16384> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    Millis firstByteDeadline = exchange.deadline;
    if (exchange.firstByteTimeout.count > 0) {
        firstByteDeadline = std::min(exchange.deadline, m_clock.now() + exchange.firstByteTimeout);
    }
    bool hasFirstByte = false;
    while (parser.progress() != ResponseParser::Progress::Complete) {
        const auto until = hasFirstByte ? exchange.deadline : firstByteDeadline;
        const auto remaining = until - m_clock.now();
        // While more than a slice remains, the receive timeout of the socket replaces a call of poll().
        const bool isShort = remaining <= receiveTimeoutSlice;
        if (remaining.count <= 0 || (isShort && waitFor(POLLIN, until) == Wait::TimedOut)) {
            result.timedOut = true;
            result.error
                = hasFirstByte ? "the response was incomplete at the deadline" : "no response in time";
            return false;
        }
        const auto received = ::recv(m_fd, buffer.data(), buffer.size(), isShort ? MSG_DONTWAIT : 0);
        if (received > 0) {
            hasFirstByte = true;
            const auto size = static_cast<std::size_t>(received);
            if (parser.feed(buffer.data(), size) < size) {
                m_isReusable = false; // Unexpected bytes after the response, such as a duplicate.
            }
            if (!processInput(exchange, maxBufferedBytes, parser, result)) {
                return false;
            }
        } else if (received == 0) {
            result.error = hasFirstByte ? "the response was truncated"
                                        : "the runner closed the connection without a response";
            return false;
        } else if (errno != EINTR && errno != EAGAIN && errno != EWOULDBLOCK) {
            result.error = "receiving failed: " + systemError(errno);
            return false;
        }
    }
    m_isReusable = m_isReusable && parser.keepsAlive();
    return true;
}

bool RunnerConnection::processInput(
    const Exchange& exchange, std::size_t maxBufferedBytes, ResponseParser& parser, ExchangeResult& result)
{
    using Progress = ResponseParser::Progress;
    if (parser.progress() == Progress::Broken) {
        result.error = parser.error();
        return false;
    }
    if (parser.progress() == Progress::Head) {
        return true;
    }
    auto& response = parser.response();
    const auto* id = findField(response.fields, "Celeryline-Request");
    if (id && *id != exchange.requestId) {
        result.error = "the response belongs to another request";
        return false;
    }
    const bool isLarge = parser.contentLength() > static_cast<std::int64_t>(maxBufferedBytes)
        || response.body.size() > maxBufferedBytes;
    if (!result.wasStreamed && (!isLarge || exchange.isHead)) {
        return true;
    }
    if (!exchange.sink) {
        result.error = "the response exceeds the size limit";
        return false;
    }
    try {
        if (!result.wasStreamed) {
            result.wasStreamed = true;
            std::string body;
            body.swap(response.body);
            exchange.sink->begin(response, parser.contentLength());
            body.swap(response.body);
        }
        exchange.sink->write(response.body.data(), response.body.size());
        response.body.clear();
    } catch (const Poco::Exception& e) {
        result.error = "the response could not be passed to the caller: " + e.displayText();
        return false;
    }
    return true;
}

} // namespace celeryline
