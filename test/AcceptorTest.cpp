#include "celeryline/rpc/Acceptor.h"

#include "celeryline/base/SocketOptions.h"

#include "RawConnection.h"
#include "ReservedAddress.h"

#include <catch2/catch.hpp>
#include <kj/debug.h>

#include <utility>

#include <netinet/tcp.h>
#include <sys/socket.h>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// An acceptor and two clients that connect to it, on the test's event loop.
struct AcceptorFixture {
    explicit AcceptorFixture(detail::Acceptor::SetOptions setOptions)
        : acceptor(io.provider->getTimer(), listenOn(io.provider->getNetwork(), address.text()), setOptions)
    {
        first.connect();
        second.connect();
    }

    kj::AsyncIoContext io = kj::setupAsyncIo();
    const ReservedAddress address;
    detail::Acceptor acceptor;
    RawClient first { address.text() };
    RawClient second { address.text() };
};

int optionOf(kj::AsyncIoStream& stream, int level, int option)
{
    int value = 0;
    unsigned length = sizeof(value);
    stream.getsockopt(level, option, &value, &length);
    return value;
}

void failOnce(kj::AsyncIoStream&)
{
    static bool hasFailed = false;
    KJ_REQUIRE(std::exchange(hasFailed, true), "the options can't be set");
}

} // namespace

// Guards against accepted connections that stay open for good after their peer lost power: without these
// options the kernel keeps an idle one for two hours and one with unacknowledged data for many minutes.
TEST_CASE("Accepted connections are closed by the kernel when the peer is gone", "[rpc]")
{
    constexpr int maxSilenceMs = 5000;
    constexpr int maxIdleSeconds = 5;
    AcceptorFixture f(detail::setSocketOptions);
    auto stream = f.acceptor.accept().wait(f.io.waitScope);
    CHECK(optionOf(*stream, IPPROTO_TCP, TCP_USER_TIMEOUT) == maxSilenceMs);
    CHECK(optionOf(*stream, SOL_SOCKET, SO_KEEPALIVE) == 1);
    CHECK(optionOf(*stream, IPPROTO_TCP, TCP_KEEPIDLE) == maxIdleSeconds);
}

// Guards against an accept loop that ends because a connection was reset before its options were set.
TEST_CASE("A connection whose options can't be set is dropped and the next one accepted", "[rpc]")
{
    AcceptorFixture f(failOnce);
    auto accepted = f.acceptor.accept().then([](auto&&) { return true; });
    auto timeout = f.io.provider->getTimer().afterDelay(1 * kj::SECONDS).then([] { return false; });
    CHECK(accepted.exclusiveJoin(kj::mv(timeout)).wait(f.io.waitScope));
}
