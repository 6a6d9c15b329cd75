#include "platform/HttpListener.h"

#include "DescriptorLimit.h"
#include "RawConnection.h"
#include "ReservedAddress.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::platform;
using namespace celeryline::test;

namespace {

const std::string get = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTimeout-Ms: 500\r\n\r\nbody";
const std::string chunked
    = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

/// A listener on the test's event loop that answers each request with 200.
struct ListenerFixture {
    bool canCall() { return exchangeRaw(io, address.text(), get).find(" 200 ") != std::string::npos; }

    void runFor(Millis duration) { timer.afterDelay(duration.count * kj::MILLISECONDS).wait(io.waitScope); }

    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Timer& timer = io.provider->getTimer();
    const ReservedAddress address;
    HeaderNames headers;
    Metrics metrics;
    std::string credential; ///< Of the last request.
    RequestLimits limits;
    ByteBudget budget { limits.bufferedBytes, limits.reservedControlBytes };
    HttpListener listener { timer, io.provider->getNetwork(), headers, metrics, budget,
        listenerLimits(limits, ListenerKind::Callers), address.text(), RequestOrigin::Caller,
        [this](const ForwardedRequest& request, Millis) -> kj::Promise<ForwardedResponse> {
            credential = request.credential;
            ForwardedResponse response;
            response.status = 200;
            response.body = "{}";
            return response;
        } };
};

} // namespace

// Guards against bytes that end the process or keep it from serving other callers.
TEST_CASE("Malformed bytes on an HTTP port close only their own connection", "[platform][random]")
{
    constexpr int randomInputs = 300;
    constexpr std::size_t maxRandomSize = 300;
    ListenerFixture f;
    std::mt19937_64 random(20261205);
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
    std::vector<std::string> inputs { "\r\n\r\n", "GET\r\n\r\n", "GET /x HTTP/9.9\r\n\r\n",
        std::string(1000, '\0'), std::string(200000, 'x'),
        "GET /" + std::string(100000, 'y') + " HTTP/1.1\r\n\r\n", head + "Content-Length: -1\r\n\r\n",
        head + "Content-Length: 99999999999999999999\r\n\r\nx",
        head + "Content-Length: 18446744073709551615\r\n\r\nx", head + "Content-Length: 4, 5\r\n\r\nbody",
        head + "Content-Length: 1073741824\r\n\r\nx", head + "Content-Length: 4\r\n\r\nbo",
        head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nx",
        head + "Transfer-Encoding: chunked\r\n\r\nx\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbodybody",
        head + "Transfer-Encoding: gzip\r\n\r\nbody",
        head + "Upgrade: websocket\r\nConnection: Upgrade\r\n\r\n",
        head + "Timeout-Ms: 99999999999999999999\r\nContent-Length: 0\r\n\r\n",
        head + std::string("X: a\0b\r\n\r\n", 10) };
    for (int i = 0; i < randomInputs; ++i) {
        std::string bytes(1 + random() % maxRandomSize, '\0');
        for (auto& byte : bytes)
            byte = static_cast<char>(random());
        inputs.push_back(i % 2 == 0 ? bytes : head + bytes + "\r\n\r\n");
    }
    REQUIRE(f.canCall());
    for (const auto& input : inputs) {
        INFO(Catch::StringMaker<std::string>::convert(input.substr(0, 400)));
        exchangeRaw(f.io, f.address.text(), input);
        REQUIRE(f.canCall());
    }
}

// Guards against a valid request of which a few bytes were damaged: it gets further than random bytes.
TEST_CASE("A damaged request on an HTTP port never ends the process", "[platform][random]")
{
    constexpr int damagedRequests = 400;
    ListenerFixture f;
    std::mt19937_64 random(20261205);
    const std::vector<std::string> requests { get, post, chunked, post + chunked + get };
    for (int i = 0; i < damagedRequests; ++i) {
        auto damaged = requests[random() % requests.size()];
        for (auto changes = 1 + random() % 3; changes > 0; --changes)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        exchangeRaw(f.io, f.address.text(), damaged);
        REQUIRE(f.canCall());
    }
}

// Guards against connections that stay open for good because their caller lost power while it was sending.
TEST_CASE("A request that isn't received completely is given up", "[platform]")
{
    constexpr Millis receiveTimeout { 5000 };
    constexpr Millis closeDelay {
        1000
    }; // KJ goes on reading for so long after a response to half a request.
    constexpr Millis margin { 1000 };
    ListenerFixture f;
    REQUIRE(f.canCall());
    const auto before = openDescriptors();
    const std::vector<std::string> unfinished { "", "POST /x HT",
        "POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nbody",
        "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody" };
    auto target = networkAddress(f.io.provider->getNetwork(), f.address.text());
    std::vector<kj::Own<kj::AsyncIoStream>> callers;
    std::vector<std::string> answers(unfinished.size());
    auto closed = kj::heapArrayBuilder<kj::Promise<void>>(unfinished.size());
    for (std::size_t i = 0; i < unfinished.size(); ++i) {
        callers.push_back(target->connect().wait(f.io.waitScope));
        callers.back()->write(unfinished[i].data(), unfinished[i].size()).wait(f.io.waitScope);
        closed.add(readToEnd(*callers.back(), answers[i]));
    }
    bool areClosed = false;
    auto allClosed
        = kj::joinPromises(closed.finish()).then([&] { areClosed = true; }).eagerlyEvaluate(nullptr);
    f.runFor(receiveTimeout + closeDelay + margin);
    for (std::size_t i = 0; i < unfinished.size(); ++i) {
        INFO(i << ": " << answers[i]);
        CHECK(answers[i].find(" 200 ") == std::string::npos);
    }
    CHECK(areClosed);
    CHECK(openDescriptors() == before + unfinished.size()); // Only the callers' own ends are open.
    CHECK(f.canCall());
}

// Guards against a process that never accepts a connection again after it was out of descriptors for a
// moment.
TEST_CASE("An HTTP port accepts connections again after descriptors ran out", "[platform]")
{
    ListenerFixture f;
    const auto waiting = connectDuringShortage(f.io, f.address.text());
    CHECK(f.canCall());
}

// Guards against a key that isn't recognized, or of which a part is lost, and against other schemes as keys.
TEST_CASE("The API key is the token of a bearer header", "[platform][customers]")
{
    ListenerFixture f;
    auto credentialOf = [&f](const std::string& headerLines, const std::string& method) {
        f.credential = "none was received";
        auto request = method + " /x HTTP/1.1\r\nHost: h\r\n" + headerLines + "Connection: close\r\n\r\n";
        REQUIRE(exchangeRaw(f.io, f.address.text(), request).find(" 200 ") != std::string::npos);
        return f.credential;
    };
    const std::vector<std::pair<std::string, std::string>> cases {
        { "Authorization: Bearer s3cret", "s3cret" },
        { "authorization: bearer s3cret", "s3cret" },
        { "AUTHORIZATION:BEARER   s3cret", "s3cret" },
        { "Authorization: Bearer s3cret  ", "s3cret" },
        { "Authorization: Bearer S3-._~+/cret==", "S3-._~+/cret==" },
        { "Authorization: Bearer a b", "a b" }, // No configured key has a space.
        { "Authorization: Bearer", "" },
        { "Authorization: Bearer ", "" },
        { "Authorization: Bearers3cret", "" },
        { "Authorization: Basic s3cret", "" },
        { "Authorization: s3cret", "" },
        { "Authorization:", "" },
        { "X-Authorization: Bearer s3cret", "" },
    };
    REQUIRE(credentialOf("", "GET").empty());
    for (const auto& [line, expected] : cases) {
        INFO(line);
        for (const auto* method : { "GET", "DELETE" })
            REQUIRE(credentialOf(line + "\r\n", method) == expected);
        REQUIRE(credentialOf(line + "\r\nContent-Length: 0\r\n", "POST") == expected);
    }
}

// Guards against an error response that repeats the headers of the request.
TEST_CASE("A response to a malformed request doesn't contain the API key", "[platform][customers]")
{
    ListenerFixture f;
    const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer s3cret\r\n";
    for (const auto* rest :
        { "Content-Length: 99999999\r\n\r\n", "Content-Length: x\r\n\r\n", "no colon\r\n\r\n",
            "Authorization: Bearer s3cret\x01\r\nContent-Length: 0\r\n\r\n", "Upgrade: websocket\r\n\r\n" })
        REQUIRE(exchangeRaw(f.io, f.address.text(), head + rest).find("s3cret") == std::string::npos);
}
