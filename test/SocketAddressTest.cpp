#include "celeryline/base/SocketAddress.h"

#include <catch2/catch.hpp>

#include <string>

using namespace celeryline;

// Guards against addresses that are accepted although nothing can connect to them.
TEST_CASE("Only an IP address with a port is a socket address", "[base]")
{
    for (const std::string text : { "127.0.0.1:7060", "10.1.2.3:1", "10.1.2.3:65535", "[fd00::1]:8080" }) {
        INFO(text);
        auto address = parseSocketAddress(text);
        REQUIRE(address);
        CHECK(address->toString() == text);
    }
    for (const std::string text : { "", ":", "not an address", "10.0.0.1", "10.0.0.1:", ":7060",
             "10.0.0.1:port", "10.0.0.1:0", "10.0.0.1:65536", "127.0.0.1:99999", "10.0.0.1:007060",
             "10.0.0.1:+80", "10.0.0.1: 80", "10.0.0.1:80 ", "10.0.0.1:7,060", "10.0.0.1:0x50",
             "10.0.0.256:80", "10.0.0.1\n:80", "10.0.0.1 x:80", "0x0a000001:80", "host.invalid:7060",
             "localhost:7060", "fd00::1:8080", "[fd00::1]", "[]:8080", "[fd00::1:8080" }) {
        INFO(text);
        CHECK_FALSE(parseSocketAddress(text));
    }
}
