#include "celeryline/calls/UpstreamPool.h"

#include "ScriptedRunner.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;
using Poco::Net::StreamSocket;

namespace {

void pause(int millis) { std::this_thread::sleep_for(std::chrono::milliseconds(millis)); }

RoutingSettings routing()
{
    RoutingSettings s;
    s.connectTimeout = Millis { 200 };
    s.idleConnectionTimeout = Millis { 200 };
    return s;
}

struct PoolFixture {
    SystemClock clock;
    UpstreamPool pool { routing(), 1000, clock };

    ExchangeResult send(const std::string& address, const std::string& body, Millis limit = { 300 },
        std::uint32_t maxConnections = 64, ResponseSink* sink = nullptr)
    {
        Exchange exchange;
        exchange.address = address;
        exchange.requestId = body.substr(0, 20);
        exchange.head = "POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        exchange.body = &body;
        exchange.deadline = clock.now() + limit;
        exchange.maxConnections = maxConnections;
        exchange.sink = sink;
        return pool.run(exchange);
    }
};

struct CollectingSink final : ResponseSink {
    void begin(const RunnerResponse&, std::int64_t announced) override { length = announced; }
    void write(const char* data, std::size_t size) override { body.append(data, size); }
    std::int64_t length = 0;
    std::string body;
};

} // namespace

TEST_CASE("An idle connection that the runner closed is replaced without an error", "[calls][pool]")
{
    ScriptedRunner runner([](StreamSocket& socket, const std::string& request) {
        ScriptedRunner::echo(socket, request);
        return false;
    });
    PoolFixture fixture;
    for (int i = 0; i < 5; ++i) {
        const auto result = fixture.send(runner.address(), std::to_string(i));
        CHECK(result.delivery == Delivery::Completed);
        CHECK(result.response.body == std::to_string(i));
        pause(20);
    }
    CHECK(runner.requests().size() == 5);
}

TEST_CASE("Late, duplicated and extra bytes never become another request's answer", "[calls][pool]")
{
    std::atomic<int> count { 0 };
    // After the complete response the runner sends bytes that look like the next one, immediately or later.
    const std::string stray = ScriptedRunner::response("stray");
    const int delay = GENERATE(0, 30);
    ScriptedRunner runner([&](StreamSocket& socket, const std::string& request) {
        const auto response = ScriptedRunner::response(ScriptedRunner::bodyOf(request));
        ++count;
        if (delay == 0) {
            ScriptedRunner::send(socket, response + stray);
        } else {
            ScriptedRunner::send(socket, response);
            pause(delay);
            ScriptedRunner::send(socket, stray);
        }
        return true;
    });
    PoolFixture fixture;
    for (int i = 0; i < 5; ++i) {
        const auto result = fixture.send(runner.address(), "own " + std::to_string(i));
        REQUIRE(result.delivery == Delivery::Completed);
        CHECK(result.response.body == "own " + std::to_string(i));
        pause(delay * 2);
    }
    CHECK(count == 5);
}

TEST_CASE("A response that arrives after the timeout is dropped with its connection", "[calls][pool]")
{
    std::atomic<bool> isSlow { true };
    ScriptedRunner runner([&](StreamSocket& socket, const std::string& request) {
        pause(isSlow.exchange(false) ? 150 : 0);
        return ScriptedRunner::echo(socket, request);
    });
    PoolFixture fixture;
    const auto late = fixture.send(runner.address(), "first", Millis { 60 });
    CHECK(late.delivery == Delivery::Unknown);
    CHECK(late.timedOut);
    pause(150);
    CHECK(fixture.send(runner.address(), "second").response.body == "second");
    CHECK(runner.connections() == 2);
}

TEST_CASE("A response with the id of another request is rejected", "[calls][pool]")
{
    ScriptedRunner runner([&](StreamSocket& socket, const std::string&) {
        ScriptedRunner::send(
            socket, "HTTP/1.1 200 OK\r\nCeleryline-Request: other\r\nContent-Length: 1\r\n\r\nx");
        return true;
    });
    PoolFixture fixture;
    CHECK(fixture.send(runner.address(), "mine").delivery == Delivery::Unknown);
}

TEST_CASE("Truncated and malformed responses are never treated as complete", "[calls][pool]")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string broken = GENERATE_COPY(head + "Content-Length: 10\r\n\r\nabc",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc",
        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\nx\r\n", head + "\r\nuntil the end",
        head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", head,
        std::string("HTTP/1.1 2"), std::string("nonsense\r\n\r\n"), std::string());
    ScriptedRunner runner([&](StreamSocket& socket, const std::string&) {
        ScriptedRunner::send(socket, broken);
        return false;
    });
    PoolFixture fixture;
    const auto result = fixture.send(runner.address(), "x");
    CHECK(result.delivery == Delivery::Unknown);
    CHECK_FALSE(result.error.empty());
    CHECK(fixture.pool.openConnections(runner.address()) == 0);
}

TEST_CASE("A reset at any byte of the answer is unknown, never whole", "[calls][pool]")
{
    const std::string response = ScriptedRunner::response("body");
    std::atomic<std::size_t> cut { 0 };
    ScriptedRunner runner([&](StreamSocket& socket, const std::string&) {
        ScriptedRunner::send(socket, response.substr(0, cut));
        pause(2);
        return ScriptedRunner::reset(socket);
    });
    PoolFixture fixture;
    for (std::size_t i = 0; i < response.size(); ++i) {
        cut = i;
        CHECK(fixture.send(runner.address(), "x").delivery == Delivery::Unknown);
    }
}

TEST_CASE("A refused connection is certainly not sent", "[calls][pool]")
{
    std::string address;
    {
        Poco::Net::ServerSocket closed(Poco::Net::SocketAddress("127.0.0.1", 0));
        address = closed.address().toString();
    }
    PoolFixture fixture;
    CHECK(fixture.send(address, "x").delivery == Delivery::NotSent);
    CHECK(fixture.pool.openConnections(address) == 0);
}

TEST_CASE("After a silent failure the older idle connections are dropped", "[calls][pool]")
{
    std::atomic<bool> isSilent { false };
    ScriptedRunner runner([&](StreamSocket& socket, const std::string& request) {
        pause(isSilent ? 200 : 30);
        return ScriptedRunner::echo(socket, request);
    });
    PoolFixture fixture;
    std::vector<std::thread> callers;
    for (int i = 0; i < 4; ++i) {
        callers.emplace_back([&] { fixture.send(runner.address(), "x"); });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(fixture.pool.openConnections(runner.address()) == 4);
    isSilent = true;
    CHECK(fixture.send(runner.address(), "x", Millis { 60 }).timedOut);
    CHECK(fixture.pool.openConnections(runner.address()) == 0);
}

TEST_CASE("The number of connections is limited and idle ones are closed", "[calls][pool]")
{
    ScriptedRunner runner([&](StreamSocket& socket, const std::string& request) {
        pause(60);
        return ScriptedRunner::echo(socket, request);
    });
    PoolFixture fixture;
    std::atomic<int> refused { 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&] {
            refused += fixture.send(runner.address(), "x", Millis { 500 }, 2).delivery == Delivery::NotSent;
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(refused == 4);
    CHECK(runner.connections() == 2);
    CHECK(fixture.pool.openConnections(runner.address()) == 2);
    pause(250);
    fixture.pool.closeIdle();
    CHECK(fixture.pool.openConnections(runner.address()) == 0);
}

TEST_CASE("A large answer is streamed, and its truncation is noticed", "[calls][pool]")
{
    const std::string body(5000, 'x');
    std::atomic<bool> isCut { false };
    ScriptedRunner runner([&](StreamSocket& socket, const std::string&) {
        // Read once: the test sets isCut while the script of the whole answer may still be running. A second
        // read would then close the connection with the next request unread, and the client sees a reset.
        const bool cutsThis = isCut;
        ScriptedRunner::send(
            socket, ScriptedRunner::response(body).substr(0, cutsThis ? 3000 : std::string::npos));
        return !cutsThis;
    });
    PoolFixture fixture;
    CollectingSink sink;
    // Generous, because the thread of the scripted runner may be delayed on a busy machine.
    constexpr Millis timeLimit { 5000 };
    const auto whole = fixture.send(runner.address(), "x", timeLimit, 64, &sink);
    CHECK(whole.delivery == Delivery::Completed);
    CHECK(whole.wasStreamed);
    CHECK(sink.body == body);
    isCut = true;
    CollectingSink other;
    const auto cut = fixture.send(runner.address(), "x", timeLimit, 64, &other);
    CHECK(cut.delivery == Delivery::Unknown);
    CHECK(cut.wasStreamed);
}
