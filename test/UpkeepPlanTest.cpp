#include "celeryline/machines/UpkeepPlan.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

constexpr std::int64_t cores = 16000;

std::vector<DueMachine> due()
{
    return { { "busy", "peak", cores, 12000, false }, { "idle", "trough", cores, 0, false },
        { "off", "standby", cores, 0, true } };
}

UpkeepSituation calm()
{
    UpkeepSituation situation;
    situation.maxAtOnce = 3;
    situation.timeLeft = { 60000 };
    situation.spareCores = { { "trough", cores }, { "peak", 0 } };
    return situation;
}

} // namespace

// Load: a wave over machines of which some serve a peak.
TEST_CASE("Upkeep begins with machines that nobody needs", "[upkeep]")
{
    REQUIRE(planUpkeep(due(), calm()) == std::vector<std::string> { "off", "idle" });
}

// Load: the same peak lasts until the wave would be late.
TEST_CASE("When time runs short, machines in use are taken too", "[upkeep]")
{
    auto situation = calm();
    situation.timeLeft = { 9000 };
    REQUIRE(planUpkeep(due(), situation) == std::vector<std::string> { "off", "idle", "busy" });
}

// Load: a wave over machines of which some hold long-running tasks, which leave one after the other; begun
// last, they made waves late (Consorzio scale-1 varied with seeds 11 and 12).
TEST_CASE("Machines that take long to empty begin first", "[upkeep]")
{
    auto machines = due();
    machines.push_back({ "lasting", "trough", cores, 5000, false, true });
    auto situation = calm();
    situation.spareCores["trough"] = 2 * cores;
    REQUIRE(planUpkeep(machines, situation) == std::vector<std::string> { "off", "lasting", "idle" });
}

// Guards against more machines of a wave being down at once than it allows.
TEST_CASE("The limit of machines at once holds", "[upkeep]")
{
    auto situation = calm();
    situation.timeLeft = { 0 };
    situation.away = 2;
    REQUIRE(planUpkeep(due(), situation).size() == 1);
    situation.away = 3;
    REQUIRE(planUpkeep(due(), situation).empty());
}
