/// @file
/// Connections on which a test sends arbitrary bytes, on its event loop.
#pragma once

#include "celeryline/base/Millis.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <kj/async-io.h>

#include <array>
#include <string>

namespace celeryline::test {

inline kj::Own<kj::NetworkAddress> networkAddress(kj::Network& network, const std::string& address)
{
    Poco::Net::SocketAddress socketAddress(address);
    return network.getSockaddr(socketAddress.addr(), socketAddress.length());
}

inline kj::Own<kj::ConnectionReceiver> listenOn(kj::Network& network, const std::string& address)
{
    return networkAddress(network, address)->listen();
}

/// @return a promise for all bytes until the peer closes or resets the connection, appended to the text.
inline kj::Promise<void> readToEnd(kj::AsyncIoStream& stream, std::string& text)
{
    auto buffer = kj::heapArray<char>(4096);
    // A connection that was reset already makes the call itself throw.
    auto read = kj::evalNow([&] { return stream.tryRead(buffer.begin(), 1, buffer.size()); });
    return read.then(
        [&stream, &text, buffer = kj::mv(buffer)](std::size_t size) mutable -> kj::Promise<void> {
            if (size == 0)
                return kj::READY_NOW;
            text.append(buffer.begin(), size);
            return readToEnd(stream, text);
        },
        [](kj::Exception&&) -> kj::Promise<void> { return kj::READY_NOW; });
}

/// @return what arrives within a time or until the peer closes the connection.
inline std::string readFor(kj::AsyncIoContext& io, kj::AsyncIoStream& stream, Millis duration)
{
    std::string text;
    auto& timer = io.provider->getTimer();
    readToEnd(stream, text)
        .exclusiveJoin(timer.afterDelay(duration.count * kj::MILLISECONDS))
        .wait(io.waitScope);
    return text;
}

/// Sends bytes on a connection of their own, ends its sending side and closes it.
/// @return what the peer answers within a second.
inline std::string exchangeRaw(kj::AsyncIoContext& io, const std::string& address, const std::string& bytes)
{
    constexpr Millis answerTimeout { 1000 };
    auto target = networkAddress(io.provider->getNetwork(), address);
    auto stream = target->connect().wait(io.waitScope);
    stream->write(bytes.data(), bytes.size()).catch_([](kj::Exception&&) {}).wait(io.waitScope);
    stream->shutdownWrite();
    return readFor(io, *stream, answerTimeout);
}

/// A client whose descriptor exists before it connects.
class RawClient {
public:
    explicit RawClient(const std::string& address)
        : m_address(address)
        , m_socket(Poco::Net::IPAddress::IPv4)
    {
    }

    void connect() { m_socket.connect(m_address); }

private:
    Poco::Net::SocketAddress m_address;
    Poco::Net::StreamSocket m_socket;
};

} // namespace celeryline::test
