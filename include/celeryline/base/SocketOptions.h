/// @file
/// Options of the sockets between entry instances.
#pragma once

#include <kj/async-io.h>

#include <cstdint>

namespace celeryline::detail {

/// Makes the kernel give up a connection whose peer no longer acknowledges data or keep-alive probes.
/// @param stream a TCP connection.
void setSocketOptions(kj::AsyncIoStream& stream);

/// Bytes of TCP payload of one connection.
struct StreamBytes {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// @param stream a TCP connection.
/// @return what has been sent and received on it, as counted by the kernel.
StreamBytes countBytes(kj::AsyncIoStream& stream);

} // namespace celeryline::detail
