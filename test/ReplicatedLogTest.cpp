#include "celeryline/ReplicatedLog.h"

#include "CounterState.h"
#include "TemporaryFolder.h"
#include "celeryline/DiskFileSystem.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using celeryline::test::CounterState;
using celeryline::test::TemporaryFolder;

namespace {

Settings settingsOf(const std::string& name, const std::string& folder)
{
    auto settings = parseSettings(R"({"name":")" + name + R"(","dataCentre":"dc1"})", "test");
    settings.dataDir = folder;
    settings.voters = { name };
    return settings;
}

} // namespace

TEST_CASE("A single voter keeps its state over restarts", "[consensus]")
{
    TemporaryFolder folder;
    auto settings = settingsOf("a", folder.path() + "/data");
    settings.consensus.snapshotEntries = 20;
    SystemClock clock;
    DiskFileSystem files;
    std::size_t digest = 0;
    for (int round = 0; round < 3; ++round) {
        CounterState state;
        ReplicatedLog log(settings, clock, files, nullptr, state);
        log.start();
        for (int i = 0; i < 30; ++i) {
            auto number = round * 30 + i;
            auto result = log.submit({ CommandKind::Fleet, "c" + std::to_string(number), "{}" }, { 5000 });
            REQUIRE(result.body == std::to_string(number + 1));
            if (i == 0 && round > 0)
                CHECK(digest != 0);
        }
        CHECK(log.status().role == ConsensusRole::Leader);
        CHECK(log.status().hasQuorum);
        CHECK(log.submit({ CommandKind::Fleet, "c0", "{}" }, { 5000 }).body == "1");
        digest = state.digest();
        log.stop();
        CHECK_THROWS_AS(log.submit({ CommandKind::Fleet, "x", "{}" }, { 100 }), Error);
    }
}
