#include "celeryline/base/SocketOptions.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace celeryline::detail {

namespace {

void setOption(kj::AsyncIoStream& stream, int level, int option, int value)
{
    stream.setsockopt(level, option, &value, sizeof(value));
}

} // namespace

void setUserTimeout(kj::AsyncIoStream& stream)
{
    // Exceeds the deadline of any message, so that only connections whose owner is gone are closed by it.
    constexpr int userTimeoutMs = 5000;
    setOption(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
}

void setSocketOptions(kj::AsyncIoStream& stream)
{
    setUserTimeout(stream);
    setOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, 5);
    setOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, 2);
    setOption(stream, IPPROTO_TCP, TCP_KEEPCNT, 3);
}

ByteCounters readByteCounters(kj::AsyncIoStream& stream)
{
    ByteCounters bytes;
    KJ_IF_MAYBE (fd, stream.getFd()) {
        tcp_info info {};
        socklen_t length = sizeof(info);
        if (getsockopt(*fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0) {
            bytes.sent = info.tcpi_bytes_acked;
            bytes.received = info.tcpi_bytes_received;
        }
    }
    return bytes;
}

} // namespace celeryline::detail
