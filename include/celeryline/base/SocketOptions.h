/// @file
/// Options of the TCP connections between entry instances.
#pragma once

#include <kj/async-io.h>

#include <cstdint>

namespace celeryline::detail {

/// Makes the kernel close a connection whose peer no longer acknowledges data or keep-alive probes.
/// @param stream a TCP connection.
void setSocketOptions(kj::AsyncIoStream& stream);

/// Makes the kernel close a connection whose peer no longer acknowledges sent data.
/// @param stream a TCP connection.
void setUserTimeout(kj::AsyncIoStream& stream);

/// TCP payload bytes of one connection.
struct ByteCounters {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// @param stream a TCP connection.
/// @return the bytes sent (acknowledged) and received, as counted by the kernel.
ByteCounters readByteCounters(kj::AsyncIoStream& stream);

} // namespace celeryline::detail
