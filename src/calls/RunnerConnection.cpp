#include "celeryline/calls/RunnerConnection.h"

#include "celeryline/calls/AnswerParser.h"

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

/// Sent bytes that stay unacknowledged for so long end the connection: a silent path is noticed even while
/// a long answer is awaited without a try timeout.
constexpr int userTimeoutMillis = 5000;
constexpr Millis receiveSlice { 100 };
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
    m_socket.setReceiveTimeout(Poco::Timespan(receiveSlice.count * 1000));
    m_socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMillis);
    m_socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    m_socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    m_socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    m_fd = m_socket.impl()->sockfd();
}

bool RunnerConnection::isQuiet() const
{
    char byte = 0;
    const auto got = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

ExchangeResult RunnerConnection::run(const Exchange& exchange, std::size_t maxHeldBytes)
{
    m_isReusable = false;
    ExchangeResult result;
    if (!send(exchange, result)) {
        return result;
    }
    AnswerParser parser(exchange.isHead);
    if (!receive(exchange, maxHeldBytes, parser, result)) {
        result.end = ExchangeEnd::Unknown;
        m_isReusable = false;
        return result;
    }
    result.end = ExchangeEnd::Answered;
    result.answer = std::move(parser.answer());
    return result;
}

RunnerConnection::Wait RunnerConnection::waitFor(short events, Millis until) const
{
    for (;;) {
        const auto left = until - m_clock.now();
        if (left.count <= 0) {
            return Wait::TimedOut;
        }
        pollfd entry { m_fd, events, 0 };
        const int ready = ::poll(&entry, 1, static_cast<int>(std::min<std::int64_t>(left.count, 60000)));
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
        const auto wrote = ::sendmsg(m_fd, &message, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (wrote > 0) {
            sent += static_cast<std::size_t>(wrote);
            result.end = ExchangeEnd::Unknown;
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            // The runner may have answered before it closed: an early refusal of a large body.
            result.fault = "sending failed: " + systemError(errno);
            return result.end == ExchangeEnd::Unknown && !isQuiet();
        }
        const auto wait = waitFor(POLLIN | POLLOUT, exchange.deadline);
        if (wait == Wait::TimedOut) {
            result.timedOut = true;
            result.fault = "the runner did not take the whole request in time";
            return false;
        }
        if (wait == Wait::EarlyInput) {
            result.fault = "the runner answered before it had the whole request";
            return true;
        }
    }
    m_isReusable = true;
    return true;
}

bool RunnerConnection::receive(
    const Exchange& exchange, std::size_t maxHeldBytes, AnswerParser& parser, ExchangeResult& result)
{
    std::array<char, 16384> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    Millis firstByteBy = exchange.deadline;
    if (exchange.firstByteTimeout.count > 0) {
        firstByteBy = std::min(exchange.deadline, m_clock.now() + exchange.firstByteTimeout);
    }
    bool hasFirstByte = false;
    while (parser.progress() != AnswerParser::Progress::Complete) {
        const auto until = hasFirstByte ? exchange.deadline : firstByteBy;
        const auto left = until - m_clock.now();
        // The socket's own timeout saves the call to poll() as long as its coarse slices do.
        const bool isShort = left <= receiveSlice;
        if (left.count <= 0 || (isShort && waitFor(POLLIN, until) == Wait::TimedOut)) {
            result.timedOut = true;
            result.fault = hasFirstByte ? "the answer was not whole in time" : "no answer in time";
            return false;
        }
        const auto got = ::recv(m_fd, buffer.data(), buffer.size(), isShort ? MSG_DONTWAIT : 0);
        if (got > 0) {
            hasFirstByte = true;
            const auto size = static_cast<std::size_t>(got);
            if (parser.feed(buffer.data(), size) < size) {
                m_isReusable = false; // Bytes after the answer: a duplicate, or a runner out of step.
            }
            if (!passOn(exchange, maxHeldBytes, parser, result)) {
                return false;
            }
        } else if (got == 0) {
            result.fault = hasFirstByte ? "the answer ended early" : "the runner closed without an answer";
            return false;
        } else if (errno != EINTR && errno != EAGAIN && errno != EWOULDBLOCK) {
            result.fault = "receiving failed: " + systemError(errno);
            return false;
        }
    }
    m_isReusable = m_isReusable && parser.keepsAlive();
    return true;
}

bool RunnerConnection::passOn(
    const Exchange& exchange, std::size_t maxHeldBytes, AnswerParser& parser, ExchangeResult& result)
{
    using Progress = AnswerParser::Progress;
    if (parser.progress() == Progress::Broken) {
        result.fault = parser.fault();
        return false;
    }
    if (parser.progress() == Progress::Head) {
        return true;
    }
    auto& answer = parser.answer();
    const auto* id = findField(answer.fields, "Celeryline-Request");
    if (id && *id != exchange.requestId) {
        result.fault = "the answer belongs to another request";
        return false;
    }
    const bool isLarge = parser.announcedLength() > static_cast<std::int64_t>(maxHeldBytes)
        || answer.body.size() > maxHeldBytes;
    if (!result.wasStreamed && (!isLarge || exchange.isHead)) {
        return true;
    }
    if (!exchange.sink) {
        result.fault = "the answer is larger than the limit";
        return false;
    }
    try {
        if (!result.wasStreamed) {
            result.wasStreamed = true;
            std::string body;
            body.swap(answer.body);
            exchange.sink->begin(answer, parser.announcedLength());
            body.swap(answer.body);
        }
        exchange.sink->write(answer.body.data(), answer.body.size());
        answer.body.clear();
    } catch (const Poco::Exception& e) {
        result.fault = "the caller has gone: " + e.displayText();
        return false;
    }
    return true;
}

} // namespace celeryline
