#include "platform/AdviceClient.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace celeryline;
using namespace celeryline::platform;

namespace {

constexpr Millis callTimeout { 400 };
const TaskName step { "5c0e7a21d94b36f8", 0, 1, 0 };

/// Accepts one connection, reads a part of the request, sends a text and closes the connection.
class ScriptedServer {
public:
    /// @param response what is sent; empty to send nothing until the client closes the connection.
    explicit ScriptedServer(std::string response)
        : m_response(std::move(response))
        , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_thread([this] { serve(); })
    {
    }
    ~ScriptedServer() { m_thread.join(); }

    std::string address() const { return m_socket.address().toString(); }

private:
    void serve()
    {
        auto connection = m_socket.acceptConnection();
        try {
            char buffer[4096];
            connection.receiveBytes(buffer, sizeof(buffer));
            if (!m_response.empty()) {
                connection.sendBytes(m_response.data(), static_cast<int>(m_response.size()));
                return;
            }
            while (connection.receiveBytes(buffer, sizeof(buffer)) > 0) { }
        } catch (const Poco::Exception&) {
            return; // The client resets its connections.
        }
    }

    std::string m_response;
    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

std::string httpResponse(const std::string& status, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Calls a service once and returns what each call of the callback got.
std::vector<std::optional<PlacementAdvice>> callOnce(const std::string& response)
{
    ScriptedServer server(response);
    auto io = kj::setupAsyncIo();
    auto& timer = io.provider->getTimer();
    HeaderNames headers;
    AdviceClient client(timer, io.provider->getNetwork(), headers, server.address());
    std::vector<std::optional<PlacementAdvice>> results;
    client.ask(step, { "i-1", "i-2" }, callTimeout,
        [&results](std::optional<PlacementAdvice> advice) { results.push_back(std::move(advice)); });
    timer.afterDelay((callTimeout.count + 200) * kj::MILLISECONDS).wait(io.waitScope);
    return results;
}

} // namespace

// Guards against a call that never ends for its caller, so that the service isn't asked any more.
TEST_CASE("Each call of the advice service ends once, whatever the service sends", "[platform]")
{
    const std::string approved = R"({"approved":[["i-1","t"]],"valid_ms":3000})";
    auto response = GENERATE_COPY(values<std::string>({
        "", // Nothing until the timeout.
        "no response at all\r\n\r\n",
        httpResponse("429 Too Many Requests", "{}"),
        httpResponse("500 Internal Server Error", approved),
        httpResponse("200 OK", "{"),
        httpResponse("200 OK", "[]"),
        httpResponse("200 OK", R"({"approved":7,"valid_ms":3000})"),
        httpResponse("200 OK", R"({"approved":[["i-1","t"]],"valid_ms":1e999})"),
        httpResponse("200 OK", R"({"approved":[["i-1","t"]],"valid_ms":-1})"),
        httpResponse("200 OK", approved).substr(0, 60), // The body is cut off.
        httpResponse("200 OK", std::string(100000, '[')),
    }));
    INFO(response.substr(0, 100));
    auto results = callOnce(response);
    REQUIRE(results.size() == 1);
    REQUIRE_FALSE(results.front());
}

// Guards against a step without advice because the service adds one invalid row to its answer.
TEST_CASE("An invalid row in the advice costs only itself", "[platform]")
{
    auto row = GENERATE(values<std::string>({ "7", "[]", R"(["i-2"])", R"([2,"t"])", R"(["i-2",{}])",
        R"(["i-2",1e999])", R"(["i-2",18446744073709551616])", "null", R"(["","t"])", R"(["i-2",""])" }));
    INFO(row);
    auto results
        = callOnce(httpResponse("200 OK", R"({"approved":[)" + row + R"(,["i-1","t"]],"valid_ms":3000})"));
    REQUIRE(results.size() == 1);
    REQUIRE(results.front());
    REQUIRE(results.front()->tickets == std::map<std::string, std::string> { { "i-1", "t" } });
    REQUIRE(results.front()->validFor == Millis { 3000 });
}
