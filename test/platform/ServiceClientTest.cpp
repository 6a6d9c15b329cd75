#include "platform/ServiceClient.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

using namespace celeryline;
using namespace celeryline::platform;

namespace {

constexpr Millis callTimeout { 1200 };

/// Accepts one connection and counts the bytes that arrive until it is closed.
class ByteCountingServer {
public:
    ByteCountingServer()
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] { receive(); })
    {
    }

    std::string address() const { return m_socket.address().toString(); }

    int receivedBytes()
    {
        m_thread.join();
        return m_received;
    }

private:
    void receive()
    {
        auto connection = m_socket.acceptConnection();
        try {
            char buffer[1024];
            while (int count = connection.receiveBytes(buffer, sizeof(buffer)))
                m_received += count;
        } catch (const Poco::Exception&) {
            return; // The client resets its connections.
        }
    }

    Poco::Net::ServerSocket m_socket;
    std::atomic<int> m_received { 0 };
    std::thread m_thread;
};

} // namespace

// Guards against an order that a process sends after a pause, when another one may have ordered the same
// machine since: the connection was ready before the timeout of the call was noticed.
TEST_CASE("A call is not sent after a pause that exceeds its timeout", "[platform]")
{
    ByteCountingServer server;
    auto io = kj::setupAsyncIo();
    kj::HttpHeaderTable table;
    ServiceClient client(io.provider->getTimer(), io.provider->getNetwork(), table, server.address());
    auto call = client.call(kj::HttpMethod::POST, "/machine-move", "{\"machine\":\"m\"}", {}, callTimeout);
    std::this_thread::sleep_for(std::chrono::milliseconds(callTimeout.count + 200));
    REQUIRE(call.wait(io.waitScope).status == 0);
    REQUIRE(server.receivedBytes() == 0);
}
