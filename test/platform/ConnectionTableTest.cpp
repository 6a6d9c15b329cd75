#include "platform/ConnectionTable.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::platform;

namespace {

constexpr Millis stalled { 1000 };
constexpr Millis idle { 250 };

} // namespace

// Guards against clients that send or read a byte now and then and so keep their places from others.
TEST_CASE("A client that sends slowly is as old as its request", "[platform][limits]")
{
    ConnectionTable table({ stalled, idle });
    auto slow = table.add({ 0 });
    table.enter(slow, ConnectionState::Receiving, { 10 });
    for (int i = 1; i <= 99; ++i)
        table.enter(slow, ConnectionState::Receiving, { 10 + 10 * i });
    CHECK_FALSE(table.findStalled({ 1009 }));
    CHECK(table.findStalled({ 1010 }) == slow);
    CHECK(table.findOlder(ConnectionState::Receiving, { 5010 }, { 5000 }) == std::vector { slow });
    CHECK(table.findOlder(ConnectionState::Receiving, { 5009 }, { 5000 }).empty());
}

// Guards against closing connections whose clients wait for this process.
TEST_CASE("A connection isn't closed for others while its request is executed", "[platform][limits]")
{
    ConnectionTable table({ stalled, idle });
    auto waiting = table.add({ 0 });
    table.enter(waiting, ConnectionState::Receiving, { 0 });
    table.enter(waiting, ConnectionState::Executing, { 1 });
    CHECK_FALSE(table.findStalled({ 60000 }));
    CHECK_FALSE(table.findReplaceable({ 60000 }));
    CHECK(table.findOlder(ConnectionState::Executing, { 251 }, { 250 }) == std::vector { waiting });
    table.enter(waiting, ConnectionState::Sending, { 60000 });
    CHECK(table.findReplaceable({ 61000 }) == waiting);
}

// Guards against closing idle connections of ordinary clients while stalled ones hold places.
TEST_CASE("Stalled connections are replaced before idle ones, the oldest first", "[platform][limits]")
{
    ConnectionTable table({ stalled, idle });
    auto first = table.add({ 0 });
    auto second = table.add({ 1 });
    auto sending = table.add({ 2 });
    auto receiving = table.add({ 3 });
    CHECK_FALSE(table.findReplaceable({ 249 }));
    CHECK(table.findReplaceable({ 250 }) == first);
    table.enter(sending, ConnectionState::Sending, { 100 });
    table.enter(receiving, ConnectionState::Receiving, { 90 });
    CHECK(table.findReplaceable({ 1089 }) == first);
    CHECK(table.findReplaceable({ 1090 }) == receiving);
    table.remove(receiving);
    table.remove(receiving); // Ignored.
    CHECK(table.findReplaceable({ 1100 }) == sending);
    table.enter(sending, ConnectionState::Idle, { 1100 });
    table.remove(first);
    CHECK(table.findReplaceable({ 1350 }) == second);
    CHECK(table.size() == 2);
    table.enter(first, ConnectionState::Sending, { 1400 }); // Unknown by now.
    CHECK(table.size() == 2);
}
