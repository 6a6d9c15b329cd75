#include "platform/HttpListener.h"

#include "DescriptorLimit.h"
#include "RawConnection.h"
#include "ReservedAddress.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::platform;
using namespace celeryline::test;

namespace {

const std::string get = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";

/// A listener on the test's event loop that answers each request with 200.
struct ListenerFixture {
    bool canCall() { return exchangeRaw(io, address.text(), get).find(" 200 ") != std::string::npos; }

    void runFor(Millis duration) { timer.afterDelay(duration.count * kj::MILLISECONDS).wait(io.waitScope); }

    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Timer& timer = io.provider->getTimer();
    const ReservedAddress address;
    HeaderNames headers;
    Metrics metrics;
    HttpListener listener { timer, io.provider->getNetwork(), headers, metrics, address.text(),
        RequestOrigin::Caller, [](const ForwardedRequest&, Millis) -> kj::Promise<ForwardedResponse> {
            ForwardedResponse response;
            response.status = 200;
            response.body = "{}";
            return response;
        } };
};

} // namespace

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
    constexpr Millis shortage { 300 };
    ListenerFixture f;
    RawClient waiting(f.address.text()); // Needs its descriptor before the shortage.
    {
        const DescriptorLimit none(0);
        waiting.connect();
        f.runFor(shortage);
    }
    f.runFor(shortage);
    CHECK(f.canCall());
}
