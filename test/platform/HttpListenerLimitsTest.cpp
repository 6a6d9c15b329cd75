// The limits of HttpListener on clients.
#include "platform/HttpListener.h"

#include "RawConnection.h"
#include "ReservedAddress.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::platform;
using namespace celeryline::test;

namespace {

const std::string get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

std::string post(const std::string& body)
{
    return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

RequestLimits loweredLimits()
{
    RequestLimits limits;
    limits.maxConnections = 4;
    limits.maxBodyBytes = 60000;
    limits.bufferedBytes = 400000;
    limits.reservedControlBytes = 80000;
    limits.maxPipelinedBytes = 1000;
    limits.maxJsonValues = 100;
    limits.maxJsonDepth = 5;
    limits.headerTimeout = { 500 };
    limits.bodyTimeout = { 1500 };
    limits.responseTimeout = { 500 };
    return limits;
}

using Connection = kj::Own<kj::AsyncIoStream>;

/// A listener whose handler answers with a text of a given length and counts what it is called for.
struct LimitedListener {
    explicit LimitedListener(const RequestLimits& requestLimits = loweredLimits())
        : limits(requestLimits)
    {
    }

    Connection connect(const std::string& bytes)
    {
        auto stream = networkAddress(io.provider->getNetwork(), address.text())->connect().wait(io.waitScope);
        stream->write(bytes.data(), bytes.size()).catch_([](kj::Exception&&) {}).wait(io.waitScope);
        return stream;
    }
    std::string read(Connection& connection, Millis duration = { 100 })
    {
        return readFor(io, *connection, duration);
    }
    std::string exchange(const std::string& bytes)
    {
        auto connection = connect(bytes);
        return read(connection);
    }
    void runFor(Millis duration) { timer.afterDelay(duration.count * kj::MILLISECONDS).wait(io.waitScope); }
    bool isServing() { return exchange(get).find(" 200 ") != std::string::npos; }
    /// @return whether the listener closes a connection within a time.
    bool isClosed(Connection& connection, Millis duration = { 100 })
    {
        bool isClosed = false;
        std::string text;
        readToEnd(*connection, text)
            .then([&] { isClosed = true; })
            .exclusiveJoin(timer.afterDelay(duration.count * kj::MILLISECONDS))
            .wait(io.waitScope);
        return isClosed;
    }
    double refusals(const char* reason)
    {
        return metrics
            .counter("celeryline_refusals_total", "Requests refused and connections closed, by reason.",
                { { "listener", "callers" }, { "reason", reason } })
            .Value();
    }

    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Timer& timer = io.provider->getTimer();
    const ReservedAddress address;
    HeaderNames headers;
    Metrics metrics;
    RequestLimits limits;
    ByteBudget budget { limits.bufferedBytes, limits.reservedControlBytes };
    std::size_t responseBytes = 2;
    kj::Duration handlingTime = 0 * kj::SECONDS;
    int handled = 0;
    HttpListener listener { timer, io.provider->getNetwork(), headers, metrics, budget,
        listenerLimits(limits, ListenerKind::Callers), address.text(), RequestOrigin::Caller,
        [this](const ForwardedRequest&, Millis) -> kj::Promise<ForwardedResponse> {
            ++handled;
            return timer.afterDelay(handlingTime).then([this] {
                ForwardedResponse response;
                response.status = 200;
                response.body = std::string(responseBytes, 'x');
                return response;
            });
        } };
};

} // namespace

// Guards against a refusal of a request that has run, and against limits that refuse what they allow.
TEST_CASE("Bodies beyond a limit are refused before they are handled", "[platform][limits]")
{
    LimitedListener f;
    CHECK(f.exchange(post(std::string(60001, ' '))).find(" 413 ") != std::string::npos);
    CHECK(
        f.exchange("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nea61\r\n" + std::string(60001, ' '))
            .find(" 413 ")
        != std::string::npos);
    std::string values = "[0";
    for (std::size_t i = 1; i < f.limits.maxJsonValues; ++i)
        values += ",0";
    CHECK(f.exchange(post(values + "]")).find(" 413 ") != std::string::npos);
    CHECK(f.exchange(post("[[[[[[]]]]]]")).find(" 400 ") != std::string::npos);
    CHECK(f.handled == 0);
    CHECK(f.refusals("body-bytes") == 2);
    CHECK(f.refusals("json-values") == 1);
    CHECK(f.refusals("json-depth") == 1);
    CHECK(f.exchange(post(std::string(60000, ' '))).find(" 200 ") != std::string::npos);
    CHECK(f.exchange(post("[[[[[]]]]]")).find(" 200 ") != std::string::npos);
    CHECK(f.budget.used() == 0);
}

// Guards against an ordinary client that finds no place while stalled clients hold all connections.
TEST_CASE("A new connection replaces one that makes no progress", "[platform][limits]")
{
    LimitedListener f;
    std::vector<Connection> stalled;
    for (std::size_t i = 0; i < f.limits.maxConnections; ++i)
        stalled.push_back(f.connect(i == 0 ? "POST /x HTTP/1.1\r\n" : ""));
    CHECK(f.exchange(get).find(" 503 ") != std::string::npos); // None has been stalled long enough.
    CHECK(f.handled == 0);
    CHECK(f.refusals("connection-limit") == 1);
    f.runFor({ 300 });
    CHECK(f.isServing());
    CHECK(f.isClosed(stalled[1])); // The first one is within a request, for less than a second.
    CHECK(f.refusals("replaced-connection") == 1);
}

// Guards against closing the connections of clients that wait for a response.
TEST_CASE("A connection whose request is handled isn't replaced", "[platform][limits]")
{
    LimitedListener f;
    f.handlingTime = 1500 * kj::MILLISECONDS;
    std::vector<Connection> waiting;
    for (std::size_t i = 0; i < f.limits.maxConnections; ++i)
        waiting.push_back(f.connect(get));
    f.runFor({ 1200 });
    CHECK(f.exchange(get).find(" 503 ") != std::string::npos);
    for (auto& connection : waiting)
        CHECK(f.read(connection, { 500 }).find(" 200 ") != std::string::npos);
}

// Guards against unfinished bodies that take all memory, also for later requests.
TEST_CASE(
    "Unfinished bodies leave room for ordinary requests and release what they held", "[platform][limits]")
{
    auto limits = loweredLimits();
    limits.maxConnections = 100;
    LimitedListener f(limits);
    const auto unfinished = post(std::string(60000, ' '));
    std::vector<Connection> stalled;
    for (int i = 0; i < 20; ++i)
        stalled.push_back(f.connect(unfinished.substr(0, unfinished.size() - 1)));
    f.runFor({ 50 });
    CHECK(f.budget.used() <= 240000);
    CHECK(f.refusals("memory") > 0);
    CHECK(f.exchange(post("{}")).find(" 200 ") != std::string::npos);
    f.runFor({ 1000 });
    CHECK(f.exchange(unfinished).find(" 200 ") != std::string::npos); // In place of stalled ones.
    CHECK(f.refusals("memory-reclaimed") > 0);
    f.runFor(limits.headerTimeout + limits.bodyTimeout);
    CHECK(f.budget.used() == 0);
    CHECK(f.isServing());
}

// Guards against headers that grow without an end and against pipelined requests that pile up unread.
TEST_CASE("Headers and pipelined requests beyond the limits close the connection", "[platform][limits]")
{
    LimitedListener f;
    auto header = f.connect("GET /x HTTP/1.1\r\nX: " + std::string(f.limits.maxHeaderBytes, 'x'));
    CHECK(f.isClosed(header));
    CHECK(f.refusals("header-bytes") == 1);
    CHECK(f.exchange("GET /x HTTP/1.1\r\nX: " + std::string(f.limits.maxHeaderBytes - 100, 'x') + "\r\n\r\n")
              .find(" 200 ")
        != std::string::npos);
    std::string many;
    for (int i = 0; i < 1000; ++i)
        many += get;
    f.handled = 0;
    auto pipelined = f.connect(many);
    CHECK(f.isClosed(pipelined));
    CHECK(f.refusals("pipelined-bytes") == 1);
    CHECK(f.handled < 1000);
    CHECK(f.isServing());
}

// Guards against requests that pile up unread while an earlier one is handled for a long time.
TEST_CASE("Pipelined requests close a connection whose request is still handled", "[platform][limits]")
{
    LimitedListener f;
    f.handlingTime = 10 * kj::SECONDS;
    auto pipelined = f.connect(get);
    f.runFor({ 50 });
    const std::string rest(4 * f.limits.maxPipelinedBytes, 'x');
    pipelined->write(rest.data(), rest.size()).wait(f.io.waitScope);
    CHECK(f.isClosed(pipelined, { 2000 }));
    CHECK(f.refusals("pipelined-bytes") == 1);
    CHECK(f.budget.used() == 0);
}

// Guards against responses that are held for clients which don't read them.
TEST_CASE("A response that isn't read in time closes the connection", "[platform][limits]")
{
    auto limits = loweredLimits();
    limits.bufferedBytes = 8 << 20;
    LimitedListener f(limits);
    f.responseBytes = 2 << 20;
    auto unread = f.connect(get);
    f.runFor({ 100 });
    CHECK(f.budget.used() == f.responseBytes);
    f.runFor(f.limits.responseTimeout + Millis { 500 });
    CHECK(f.refusals("response-time") == 1);
    CHECK(f.budget.used() == 0);
    CHECK(f.isClosed(unread));
    f.responseBytes = 2;
    CHECK(f.isServing());
}

// Guards against reads that exceed the memory of a process, and against refusing what has run.
TEST_CASE("A response without memory is refused if it is that of a read", "[platform][limits]")
{
    LimitedListener f;
    f.responseBytes = 2 << 20;
    CHECK(f.exchange(get).find(" 503 ") != std::string::npos);
    CHECK(f.exchange(post("{}")).empty());
    CHECK(f.budget.used() == 0);
}
