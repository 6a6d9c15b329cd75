#include "FleetFixture.h"
#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/fleet/PoolMembership.h"

#include <catch2/catch.hpp>

#include <random>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// Generates random commands of all operations that affect pool membership. Many are invalid in the current
/// state.
class RandomCommands {
public:
    explicit RandomCommands(std::uint32_t seed)
        : m_random(seed)
    {
    }

    FleetCommand next(std::uint64_t revision)
    {
        auto instance = "w" + std::to_string(randomBelow(8));
        switch (randomBelow(14)) {
        case 0:
            return registerCommand(instance, pool(), "dc" + std::to_string(randomBelow(2)));
        case 1:
            return commandWithEpoch(FleetOperation::InstanceLost, instance, randomBelow(3));
        case 2:
            return labelCommand(instance, pool());
        case 3:
            return command(FleetOperation::Drain, instance);
        case 4:
            return command(FleetOperation::Undrain, instance);
        case 5:
            return moveCommand(instance);
        case 6:
            return startWaveCommand("v" + std::to_string(randomBelow(3)), "pool=" + pool());
        case 7:
            return grantCommand(
                randomBelow(2) == 0 ? "" : "v" + std::to_string(randomBelow(3)), { instance }, revision);
        case 8:
            return commandWithEpoch(FleetOperation::InstanceDrained, instance, randomBelow(3));
        case 9:
            return command(FleetOperation::InstanceRebooting, instance);
        case 10:
            return returnedCommand(instance, randomBelow(3));
        case 11:
            return abandonCommand(instance);
        case 12:
            return randomBelow(2) == 0 ? command(FleetOperation::FinishMove, instance)
                                       : command(FleetOperation::RemoveInstance, instance);
        default:
            return changePoolCommand();
        }
    }

private:
    std::uint32_t randomBelow(std::uint32_t limit) { return static_cast<std::uint32_t>(m_random() % limit); }
    std::string pool() { return std::string(1, static_cast<char>('a' + randomBelow(4))); }

    FleetCommand moveCommand(const std::string& instance)
    {
        auto result = command(FleetOperation::Move, instance);
        result.pool = pool();
        return result;
    }

    FleetCommand abandonCommand(const std::string& instance)
    {
        auto result = command(FleetOperation::AbandonInstance, instance);
        result.wave = "v" + std::to_string(randomBelow(3));
        return result;
    }

    /// Changes the selector of a pool, sometimes to overlap with another pool, or deletes a pool.
    FleetCommand changePoolCommand()
    {
        if (randomBelow(4) == 0) {
            auto result = command(FleetOperation::Delete);
            result.objects = { { "pool", pool() } };
            return result;
        }
        auto result = applyCommand({ pool() });
        result.pools[0].selector = parseSelector("pool in (" + pool() + "," + result.pools[0].name + ")");
        if (randomBelow(3) == 0) {
            result.pools[0].dataCentres = { "dc0" };
        }
        return result;
    }

    std::mt19937 m_random;
};

} // namespace

// Guards against command sequences that leave an instance in two pools or in none although a selector matches
// it (guarantee P2), and against permits that exceed an availability budget (guarantee P1). apply() throws if
// the ownership invariant is violated.
TEST_CASE("Every revision of random command sequences has one owner for each instance", "[fleet]")
{
    int accepted = 0;
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        StateFixture f;
        RandomCommands source(seed);
        f.run(applyCommand({ "a", "b", "c" }));
        for (int step = 0; step < 400; ++step) {
            auto next = source.next(f.state.revision());
            INFO("step " << step << " " << nameOf(next.operation));
            auto before = f.state.fleet();
            auto result = f.run(next);
            auto after = f.state.fleet();
            accepted += result.accepted ? 1 : 0;
            REQUIRE((result.accepted || after == before));
            checkOwnership(*after, nullptr);
            bool stops
                = next.operation == FleetOperation::GrantPermits || next.operation == FleetOperation::Drain;
            if (!stops || !result.accepted || after == before) {
                continue;
            }
            const auto& instance
                = after->instances->at(next.name.empty() ? next.permits[0].instance : next.name);
            const auto& pool = after->pools->find(instance.pool);
            if (pool != after->pools->end()
                && before->instances->at(instance.name).phase != InstancePhase::Failed) {
                auto budget = budgetOf(*after->pools, *after->instances, *after->permits,
                    after->services->at(pool->second.service));
                bool wasDown = isDown(
                    before->instances->at(instance.name), before->permits->count(instance.name) != 0);
                CHECK((wasDown || budget.remaining() >= 0));
            }
        }
        auto snapshot = f.state.takeSnapshot();
        StateFixture g;
        g.state.restoreSnapshot(snapshot);
        CHECK(g.state.takeSnapshot() == snapshot);
    }
    CHECK(accepted > 4000);
}
