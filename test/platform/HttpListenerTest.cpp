#include "platform/HttpListener.h"

#include "DescriptorLimit.h"
#include "RawConnection.h"
#include "ReservedAddress.h"

#include <catch2/catch.hpp>

#include <string>

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
