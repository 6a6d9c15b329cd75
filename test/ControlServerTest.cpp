#include "celeryline/rpc/ControlServer.h"

#include "celeryline/rpc/ControlLink.h"

#include "DescriptorLimit.h"
#include "RawConnection.h"
#include "ReservedAddress.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr Millis callTimeout { 800 };

/// Accepts everything that the conversions accept.
struct PermissiveControl final : ControlHandler {
    void onRaft(const RaftMessage&) override { }
    Introduction onIntroduction(const Introduction& other) override { return other; }
    kj::Promise<ForwardedResponse> onForwarded(ForwardedRequest) override { return ForwardedResponse {}; }
};

/// A control server and a link to it on the test's event loop.
struct ServerFixture {
    bool canCall() { return link.introduce({}, callTimeout).wait(io.waitScope).hasResult; }

    kj::AsyncIoContext io = kj::setupAsyncIo();
    kj::Timer& timer = io.provider->getTimer();
    kj::Network& network = io.provider->getNetwork();
    const ReservedAddress address;
    PermissiveControl control;
    ControlServer server { timer, network, address.text(), control };
    ControlLink link { timer, network, address.text() };
};

} // namespace

// Guards against a process that never accepts a connection again after it was out of descriptors for a
// moment.
TEST_CASE("The control port accepts connections again after descriptors ran out", "[rpc]")
{
    constexpr Millis shortage { 300 };
    ServerFixture f;
    RawClient waiting(f.address.text()); // Needs its descriptor before the shortage.
    {
        const DescriptorLimit none(0);
        waiting.connect();
        f.timer.afterDelay(shortage.count * kj::MILLISECONDS).wait(f.io.waitScope);
    }
    f.timer.afterDelay(shortage.count * kj::MILLISECONDS).wait(f.io.waitScope);
    CHECK(f.canCall());
}
