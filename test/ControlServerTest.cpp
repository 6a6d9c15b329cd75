#include "celeryline/rpc/ControlServer.h"

#include "celeryline/rpc/ControlLink.h"

#include "DescriptorLimit.h"
#include "RawConnection.h"
#include "ReservedAddress.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr Millis callTimeout { 800 };

/// Accepts everything that the conversions accept.
struct PermissiveControl final : ControlHandler {
    void onRaft(const RaftMessage&) override { ++raftMessages; }
    Introduction onIntroduction(const Introduction& other) override { return other; }
    kj::Promise<ForwardedResponse> onForwarded(ForwardedRequest) override { return ForwardedResponse {}; }

    int raftMessages = 0;
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

/// @return the bytes that a link sends for one message of each kind.
std::string recordedSession(kj::AsyncIoContext& io)
{
    constexpr Millis recordingTime { 200 };
    const ReservedAddress address;
    auto listener = listenOn(io.provider->getNetwork(), address.text());
    ControlLink link(io.provider->getTimer(), io.provider->getNetwork(), address.text());
    RaftMessage message;
    message.entries.resize(2);
    message.entries[0].payload = "payload";
    Introduction introduction;
    introduction.members = { "10.0.0.1:7060", "10.0.0.2:7060" };
    ForwardedRequest request;
    request.body = "body";
    auto calls = link.introduce(introduction, recordingTime)
                     .ignoreResult()
                     .exclusiveJoin(link.forward(request, recordingTime).ignoreResult());
    link.sendRaft(message);
    auto stream = listener->accept().wait(io.waitScope);
    return readFor(io, *stream, recordingTime);
}

std::string randomBytes(std::mt19937_64& random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (auto& byte : bytes)
        byte = static_cast<char>(random());
    return bytes;
}

/// @param body a packed message.
/// @return the message with its length in front.
std::string framed(const std::string& body, std::uint32_t length)
{
    std::string bytes;
    for (unsigned i = 0; i < 4; ++i)
        bytes.push_back(static_cast<char>(length >> (8 * i)));
    return bytes + body;
}

std::string framed(const std::string& body) { return framed(body, static_cast<std::uint32_t>(body.size())); }

} // namespace

// Guards against bytes that end the process or keep it from serving other connections.
TEST_CASE("Malformed bytes on the control port close only their own connection", "[rpc][random]")
{
    constexpr int randomInputs = 200;
    constexpr std::size_t maxRandomSize = 300;
    ServerFixture f;
    std::mt19937_64 random(20261205);
    std::vector<std::string> inputs { "GET / HTTP/1.1\r\n\r\n", framed("", 0), framed("", 1),
        framed("abc", 0xffffffff), framed("abc", 67108864), framed("abc", 67108865),
        framed(std::string("\xff\x01", 2)), // Ends within a word.
        framed(std::string("\0\xff", 2)), // A run of zero words.
        framed(std::string(1000, '\0')), framed(std::string(1000, '\xff')),
        framed(std::string("\x11\xff\x07", 3)), // A header that announces many segments.
        framed(std::string("\x70\xff\xff\xff", 4)) }; // A segment of gigabytes.
    for (int i = 0; i < randomInputs; ++i) {
        auto bytes = randomBytes(random, 1 + random() % maxRandomSize);
        inputs.push_back(i % 2 == 0 ? bytes : framed(bytes));
    }
    REQUIRE(f.canCall());
    for (const auto& input : inputs) {
        INFO(Catch::StringMaker<std::string>::convert(input));
        exchangeRaw(f.io, f.address.text(), input);
        REQUIRE(f.canCall());
    }
}

// Guards against a valid session of which a few bytes were damaged: it gets further than random bytes.
TEST_CASE("A damaged session on the control port never ends the process", "[rpc][random]")
{
    constexpr int damagedSessions = 400;
    ServerFixture f;
    const auto session = recordedSession(f.io);
    REQUIRE(session.size() > 100);
    std::mt19937_64 random(20261205);
    for (int i = 0; i < damagedSessions; ++i) {
        auto damaged = session;
        for (auto changes = 1 + random() % 3; changes > 0; --changes)
            damaged[random() % damaged.size()] = static_cast<char>(random());
        if (random() % 4 == 0)
            damaged.resize(random() % damaged.size());
        exchangeRaw(f.io, f.address.text(), damaged);
        REQUIRE(f.canCall());
    }
    // Some reach the handler in spite of the damage.
    CHECK(f.control.raftMessages > 0);
    CHECK(f.control.raftMessages < damagedSessions);
}

// Guards against connections that stay open in the process after their client has gone.
TEST_CASE("Connections to the control port leave with their clients", "[rpc]")
{
    constexpr int rounds = 20;
    constexpr Millis settleTime { 100 };
    ServerFixture f;
    REQUIRE(f.canCall());
    const auto session = recordedSession(f.io);
    const auto before = openDescriptors();
    for (int i = 0; i < rounds; ++i) {
        // One leaves before it has sent anything, one within a message, one after a session.
        exchangeRaw(f.io, f.address.text(), "");
        exchangeRaw(f.io, f.address.text(), framed("abc", 1000));
        exchangeRaw(f.io, f.address.text(), session);
    }
    f.timer.afterDelay(settleTime.count * kj::MILLISECONDS).wait(f.io.waitScope);
    CHECK(openDescriptors() == before);
    CHECK(f.canCall());
}

// Guards against a process that never accepts a connection again after it was out of descriptors for a
// moment.
TEST_CASE("The control port accepts connections again after descriptors ran out", "[rpc]")
{
    ServerFixture f;
    const auto waiting = connectDuringShortage(f.io, f.address.text());
    CHECK(f.canCall());
}
