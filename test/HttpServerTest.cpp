#include "celeryline/http/HttpServer.h"

#include "celeryline/base/Clock.h"
#include "celeryline/http/HttpErrors.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace celeryline;
using Catch::Matchers::Contains;
using Catch::Matchers::StartsWith;

namespace {

class SlowEndpoint final : public HttpEndpoint {
public:
    void handle(Poco::Net::HTTPServerRequest&, Poco::Net::HTTPServerResponse& response) override
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        sendJson(response, R"({"answer":"whole"})");
    }
};

/// A running server with short timeouts.
struct Fixture {
    Fixture()
        : server("127.0.0.1:0", limits())
    {
        server.route("/slow", endpoint);
        server.start();
    }

    static LimitSettings limits()
    {
        LimitSettings limits;
        limits.maxConnections = 16;
        limits.maxHeaderBytes = 2048;
        limits.receiveTimeout = Millis { 300 };
        limits.keepAliveTimeout = Millis { 300 };
        return limits;
    }

    Poco::Net::StreamSocket connect() const
    {
        Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", server.port()));
        socket.setReceiveTimeout(Poco::Timespan(3, 0));
        return socket;
    }

    SlowEndpoint endpoint;
    HttpServer server;
};

std::string readToEnd(Poco::Net::StreamSocket& socket)
{
    std::string all;
    char buffer[4096];
    for (int n = 0; (n = socket.receiveBytes(buffer, sizeof buffer)) > 0;) {
        all.append(buffer, static_cast<std::size_t>(n));
    }
    return all;
}

void send(Poco::Net::StreamSocket& socket, const std::string& text)
{
    socket.sendBytes(text.data(), static_cast<int>(text.size()));
}

} // namespace

TEST_CASE("A slowly sent header is rejected after the total header timeout", "[http]")
{
    Fixture fixture;
    auto socket = fixture.connect();
    auto start = SystemClock().now();
    std::string responseText;
    std::thread reader([&] { responseText = readToEnd(socket); });
    try {
        for (int i = 0; i < 40; ++i) {
            send(socket, i == 0 ? "GET /slow HTTP/1.1\r\nA: " : "x");
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    } catch (const std::exception&) {
        // Expected: the server has closed the connection.
    }
    reader.join();
    CHECK_THAT(responseText,
        StartsWith("HTTP/1.1 408") && Contains("Celeryline-Outcome: not-run") && Contains("resend it\"}"));
    CHECK(SystemClock().now() - start < Millis { 2500 });
}

TEST_CASE("Malformed and oversized headers have different status codes", "[http]")
{
    Fixture fixture;
    auto tooLong = fixture.connect();
    send(tooLong, "GET /slow HTTP/1.1\r\nA: " + std::string(4000, 'x') + "\r\n\r\n");
    CHECK_THAT(readToEnd(tooLong), StartsWith("HTTP/1.1 431") && Contains("not-run"));
    auto malformed = fixture.connect();
    send(malformed, std::string(40000, 'G'));
    CHECK_THAT(readToEnd(malformed), StartsWith("HTTP/1.1 4") && Contains("not-run"));
}

TEST_CASE("A planned stop lets the request in progress end", "[http]")
{
    Fixture fixture;
    auto socket = fixture.connect();
    send(socket, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
    while (fixture.server.activeRequests() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    fixture.server.stop(Millis { 2000 });
    CHECK_THAT(readToEnd(socket), StartsWith("HTTP/1.1 200") && Contains(R"({"answer":"whole"})"));
}

TEST_CASE("An unread body is not parsed as the next request", "[http]")
{
    Fixture fixture;
    auto socket = fixture.connect();
    std::string body = "GET /slow HTTP/1.1\r\n\r\n";
    send(socket, "POST /slow HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    std::string responseText = readToEnd(socket);
    CHECK(responseText.find("whole") == responseText.rfind("whole"));
}
