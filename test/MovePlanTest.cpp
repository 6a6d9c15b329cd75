#include "celeryline/decisions/MovePlan.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <random>

using namespace celeryline;

namespace {

MaintenanceSettings moveSettings()
{
    MaintenanceSettings settings;
    settings.rollOutTimeWeight = 1;
    settings.drainTimeout = Millis { 60000 };
    settings.rebootTimeout = Millis { 120000 };
    return settings;
}

PoolLoad pool(const std::string& name, int instances, double need, std::int64_t until)
{
    PoolLoad load;
    load.pool = name;
    load.instances = instances;
    load.stoppable = instances / 4;
    for (std::int64_t at = 0; at <= until; at += 10000) {
        load.needs.push_back({ Millis { at }, need });
    }
    return load;
}

} // namespace

TEST_CASE("Instances move only for a shift that lasts", "[MovePlan]")
{
    CHECK(moveHysteresis(moveSettings()) == Millis { 360000 });
    std::vector<PoolLoad> pools { pool("a", 10, 12.5, 360000), pool("b", 12, 6, 360000) };
    CHECK(planMoves(pools, Millis { 350000 }, moveSettings()).moves.empty());
    auto moves = planMoves(pools, Millis { 360000 }, moveSettings()).moves;
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].from == "b");
    CHECK(moves[0].instances == 2);
    pools[0].lastMove = Millis { 100000 }; // The load samples may still reflect that move.
    CHECK(planMoves(pools, Millis { 360000 }, moveSettings()).moves.empty());
    pools[0].lastMove = Millis { -1 };
    pools[0].needs[20].instances = 9; // One sample without shortage ends the shift.
    CHECK(planMoves(pools, Millis { 360000 }, moveSettings()).moves.empty());
}

TEST_CASE("A pool gives no more instances than its budget lets it stop", "[MovePlan]")
{
    std::vector<PoolLoad> pools { pool("a", 10, 19, 360000), pool("b", 12, 1, 360000) };
    auto decision = planMoves(pools, Millis { 360000 }, moveSettings());
    REQUIRE(decision.moves.size() == 1);
    CHECK(decision.moves[0].instances == 3);
    CHECK(decision.declined.size() == 1);
    pools[1].mayMove = false;
    CHECK(planMoves(pools, Millis { 360000 }, moveSettings()).moves.empty());
}

TEST_CASE("Rotating peaks move nothing, one lasting shift moves each instance once", "[MovePlan]")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        std::vector<PoolLoad> pools(6);
        int moved = 0;
        for (std::size_t i = 0; i < pools.size(); ++i) {
            pools[i] = pool(std::to_string(i), 20, 0, -1);
        }
        for (std::int64_t at = 0; at < 7200000; at += 10000) {
            for (std::size_t i = 0; i < pools.size(); ++i) {
                bool shifted = at >= 1800000 && i < 2;
                bool peak = at < 1800000 && random() % 5 == 0;
                double need = shifted ? (i == 0 ? 24 : 8) : (peak ? 60 : 15);
                pools[i].needs.push_back({ Millis { at }, need });
                pools[i].stoppable = pools[i].instances / 4;
            }
            for (const auto& move : planMoves(pools, Millis { at }, moveSettings()).moves) {
                for (auto& candidate : pools) {
                    bool from = candidate.pool == move.from;
                    if (from || candidate.pool == move.to) {
                        candidate.instances += from ? -move.instances : move.instances;
                        candidate.lastMove = Millis { at };
                    }
                }
                CHECK(at >= 1800000);
                moved += move.instances;
            }
        }
        CHECK(moved == 4);
        int owned = std::accumulate(pools.begin(), pools.end(), 0,
            [](int sum, const PoolLoad& load) { return sum + load.instances; });
        CHECK(owned == 120);
    }
}
