#include "celeryline/machines/UpkeepPlan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace celeryline;

namespace {

constexpr std::int64_t milliCores = 16000;

std::vector<DueMachine> due()
{
    return { { "busy", "peak", milliCores, 12000, false }, { "idle", "trough", milliCores, 0, false },
        { "off", "standby", milliCores, 0, true } };
}

UpkeepPlanInput inputWithTimeLeft()
{
    UpkeepPlanInput input;
    input.maxAtOnce = 3;
    input.timeLeft = { 60000 };
    input.spareMilliCores = { { "trough", milliCores }, { "peak", 0 } };
    return input;
}

} // namespace

// Load: some machines of the wave serve a peak.
TEST_CASE("Upkeep begins with machines that aren't needed", "[upkeep]")
{
    REQUIRE(planUpkeep(due(), inputWithTimeLeft()) == std::vector<std::string> { "off", "idle" });
}

// Load: the same peak lasts until the wave would miss its deadline.
TEST_CASE("Near the deadline, machines in use are selected too", "[upkeep]")
{
    auto input = inputWithTimeLeft();
    input.timeLeft = { 9000 };
    REQUIRE(planUpkeep(due(), input) == std::vector<std::string> { "off", "idle", "busy" });
}

// Load: some machines of the wave run long-running tasks, which are moved off them one at a time. Beginning
// with these machines last made waves late (Consorzio scale-1 varied, seeds 11 and 12).
TEST_CASE("Machines that take long to drain begin first", "[upkeep]")
{
    auto machines = due();
    machines.push_back({ "lasting", "trough", milliCores, 5000, false, true });
    auto input = inputWithTimeLeft();
    input.spareMilliCores["trough"] = 2 * milliCores;
    REQUIRE(planUpkeep(machines, input) == std::vector<std::string> { "off", "lasting", "idle" });
}

// No more machines of a wave may be down at the same time than it allows.
TEST_CASE("The limit of concurrent upkeeps holds", "[upkeep]")
{
    auto input = inputWithTimeLeft();
    input.timeLeft = { 0 };
    input.down = 2;
    REQUIRE(planUpkeep(due(), input).size() == 1);
    input.down = 3;
    REQUIRE(planUpkeep(due(), input).empty());
}

// Load: a wave over many machines with long-running tasks, which can be recalled only a few at a time. They
// occupied all places of the wave while the others waited (one of 147 machines was late).
TEST_CASE("Machines with long-running tasks leave places to others", "[upkeep]")
{
    std::vector<DueMachine> machines;
    for (int i = 0; i < 6; ++i) {
        machines.push_back({ "lasting" + std::to_string(i), "pool", milliCores, 5000, false, true });
        machines.push_back({ "other" + std::to_string(i), "pool", milliCores, 0, false, false });
    }
    UpkeepPlanInput input;
    input.maxAtOnce = 6;
    input.timeLeft = { 5000 };
    auto countLasting = [&](const std::vector<std::string>& chosen) {
        return std::count_if(chosen.begin(), chosen.end(),
            [](const std::string& name) { return name.rfind("lasting", 0) == 0; });
    };
    auto chosen = planUpkeep(machines, input);
    REQUIRE(chosen.size() == 6);
    REQUIRE(countLasting(chosen) == 2);
    input.recallsAtOnce["pool"] = 4;
    REQUIRE(countLasting(planUpkeep(machines, input)) == 4);
    input.recallsAtOnce.clear();
    input.down = 1;
    input.drainingLongRunning["pool"] = 1;
    REQUIRE(countLasting(planUpkeep(machines, input)) == 1);
    // Without others, no place stays empty.
    machines.erase(std::remove_if(machines.begin(), machines.end(),
                       [](const DueMachine& machine) { return !machine.hasLongRunningTasks; }),
        machines.end());
    REQUIRE(planUpkeep(machines, input).size() == 5);
}
