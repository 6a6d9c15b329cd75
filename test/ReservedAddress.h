/// @file
/// A loopback address on which nobody listens until the test does.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <string>

namespace celeryline::test {

/// Keeps a loopback port bound without listening on it. Connections to it are refused, and no other process
/// can be given the port, until the test listens on it; SO_REUSEADDR permits that while this object exists. A
/// port that is only looked up and released can be given to the listener of another process in the meantime.
class ReservedAddress {
public:
    ReservedAddress()
    {
        constexpr bool reuseAddress = true;
        m_socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), reuseAddress);
        m_text = m_socket.address().toString();
    }

    /// @return "IP:port".
    const std::string& text() const { return m_text; }

private:
    Poco::Net::ServerSocket m_socket;
    std::string m_text;
};

} // namespace celeryline::test
