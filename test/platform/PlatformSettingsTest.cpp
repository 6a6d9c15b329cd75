#include "platform/PlatformSettings.h"

#include "celeryline/base/Error.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::platform;

TEST_CASE("Platform settings are parsed", "[platform]")
{
    auto settings = parsePlatformSettings(
        R"({"node":"n","ip":"10.1.0.9","zone":"z","listen":{"control":"10.1.0.9:8623"},
        "internal_port_range":[7060,7075],"seeds":["10.1.0.12:8623"],"bootstrap":true,"data_dir":"/data/x",
        "fault_tolerance":{"machines":2,"zones":1},"bounds":{"grace_s":6.5,"lease_ms":2500,"move_s":1.5,"catchup_s":3.5},
        "cloud_api":{"addr":"10.200.0.1:80","duties":[]},"unknown":[1]})");
    REQUIRE(settings.rpcAddress() == "10.1.0.9:7060");
    REQUIRE(settings.seeds == std::vector<std::string> { "10.1.0.12:7060" });
    REQUIRE(settings.dataCentre == "z");
    REQUIRE(settings.isFirstStart);
    REQUIRE(settings.dataDirectory == "/data/x");
    REQUIRE(settings.toleratedDiskLosses == 2);
    REQUIRE(settings.shutdownGracePeriod == Millis { 6500 });
    REQUIRE(settings.machineLease == Millis { 2500 });
    REQUIRE(settings.moveTime == Millis { 1500 });
    REQUIRE(settings.lossInterval == Millis { 3500 });
    REQUIRE(settings.machineProviderAddress == "10.200.0.1:80");
}

// Guards against starting a process with incomplete settings.
TEST_CASE("Incomplete, malformed or unreadable settings are rejected", "[platform]")
{
    REQUIRE_THROWS_AS(parsePlatformSettings(R"({"node":"n"})"), Error);
    REQUIRE_THROWS_AS(parsePlatformSettings(R"({"node":"n","ip":"1.2.3.4"})"), Error);
    REQUIRE_THROWS_AS(parsePlatformSettings("{"), Error);
    REQUIRE_THROWS_AS(loadPlatformSettings("/does-not-exist/node.json"), Error);
}

TEST_CASE("Limits on clients are read from the settings", "[platform][limits]")
{
    const std::string start
        = R"({"node":"n","ip":"10.1.0.9","internal_port_range":[7060,7075],"request_limits":)";
    auto limits
        = parsePlatformSettings(start + R"({"max_connections":100,"body_timeout_ms":2000}})").requestLimits;
    CHECK(limits.maxConnections == 100);
    CHECK(limits.bodyTimeout == Millis { 2000 });
    CHECK(limits.maxBodyBytes == RequestLimits().maxBodyBytes);
    CHECK_THROWS_AS(parsePlatformSettings(start + R"({"max_connections":0}})"), Error);
    CHECK_THROWS_AS(
        parsePlatformSettings(start + R"({"buffered_bytes":1000,"reserved_control_bytes":2000}})"), Error);
    auto control = listenerLimits(RequestLimits(), ListenerKind::Control);
    CHECK(control.maxBodyBytes >= 1 << 20); // Configurations of thousands of routes.
}
