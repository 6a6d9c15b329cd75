#include "FleetFixture.h"
#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/fleet/PoolMembership.h"

#include <catch2/catch.hpp>

#include <random>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// Draws commands of all operations that change ownership, many of them invalid in the present state.
class CommandSource {
public:
    explicit CommandSource(std::uint32_t seed)
        : m_random(seed)
    {
    }

    FleetCommand next(std::uint64_t revision)
    {
        auto instance = "w" + std::to_string(draw(8));
        switch (draw(14)) {
        case 0:
            return registerOf(instance, pool(), "dc" + std::to_string(draw(2)));
        case 1:
            return epochOf(FleetOperation::InstanceLost, instance, draw(3));
        case 2:
            return labelOf(instance, pool());
        case 3:
            return command(FleetOperation::Drain, instance);
        case 4:
            return command(FleetOperation::Undrain, instance);
        case 5:
            return moveOf(instance);
        case 6:
            return waveOf("v" + std::to_string(draw(3)), "pool=" + pool());
        case 7:
            return grantOf(draw(2) == 0 ? "" : "v" + std::to_string(draw(3)), { instance }, revision);
        case 8:
            return epochOf(FleetOperation::InstanceDrained, instance, draw(3));
        case 9:
            return command(FleetOperation::InstanceRebooting, instance);
        case 10:
            return returnedOf(instance, draw(3));
        case 11:
            return abandonOf(instance);
        case 12:
            return draw(2) == 0 ? command(FleetOperation::FinishMove, instance)
                                : command(FleetOperation::RemoveInstance, instance);
        default:
            return selectorOf();
        }
    }

private:
    std::uint32_t draw(std::uint32_t limit) { return static_cast<std::uint32_t>(m_random() % limit); }
    std::string pool() { return std::string(1, static_cast<char>('a' + draw(4))); }

    FleetCommand moveOf(const std::string& instance)
    {
        auto result = command(FleetOperation::Move, instance);
        result.pool = pool();
        return result;
    }

    FleetCommand abandonOf(const std::string& instance)
    {
        auto result = command(FleetOperation::AbandonInstance, instance);
        result.wave = "v" + std::to_string(draw(3));
        return result;
    }

    /// Changes the selector of a pool, at times so that it overlaps with another, or deletes the pool.
    FleetCommand selectorOf()
    {
        if (draw(4) == 0) {
            auto result = command(FleetOperation::Delete);
            result.objects = { { "pool", pool() } };
            return result;
        }
        auto result = applyOf({ pool() });
        result.pools[0].selector = parseSelector("pool in (" + pool() + "," + result.pools[0].name + ")");
        if (draw(3) == 0) {
            result.pools[0].dataCentres = { "dc0" };
        }
        return result;
    }

    std::mt19937 m_random;
};

} // namespace

// Guards against sequences of commands after which two pools or none own an instance (promise P2), and
// against permits beyond a budget (promise P1). apply() throws if the ownership invariant breaks.
TEST_CASE("Every revision of random command sequences has one owner for each instance", "[fleet]")
{
    int accepted = 0;
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        StateFixture f;
        CommandSource source(seed);
        f.run(applyOf({ "a", "b", "c" }));
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
                CHECK((wasDown || budget.room() >= 0));
            }
        }
        auto snapshot = f.state.takeSnapshot();
        StateFixture g;
        g.state.restoreSnapshot(snapshot);
        CHECK(g.state.takeSnapshot() == snapshot);
    }
    CHECK(accepted > 4000);
}
