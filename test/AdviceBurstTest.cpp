// Steps that wait for advice at the same time, against a simulated advice service.
#include "AdviceSimulation.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

namespace {

constexpr int runners = 10;

void submitBurst(AdviceSimulation& simulation, int jobs)
{
    for (int i = 0; i < jobs; ++i)
        simulation.submit("job" + std::to_string(i), makeStep(2, 500));
}

} // namespace

// Guards against tickets that have all expired when they arrive, because their calls waited for each other at
// the service: no step of the burst would ever start.
TEST_CASE("A burst of steps starts at the rate of the advice service", "[advice]")
{
    auto jobs = GENERATE(4, 12, 200);
    AdviceSimulation simulation(runners, {});
    submitBurst(simulation, jobs);
    // A call that names all runners takes 0.9 s.
    REQUIRE(simulation.runUntilStarted(Millis { 900 * jobs + 2000 }));
    REQUIRE(simulation.refusedStarts == 0);
    REQUIRE(simulation.service.longestLine == 1);
}

// Guards against tickets that have expired when they arrive, because their call named so many runners.
TEST_CASE("A step starts in a pool that the service can't judge within a ticket's validity", "[advice]")
{
    constexpr int largePool = 100; // A call that names them all takes 5.4 s, a ticket is valid for 3 s.
    AdviceSimulation simulation(largePool, {});
    submitBurst(simulation, 12);
    REQUIRE(simulation.runUntilStarted(Millis { 12000 }));
    REQUIRE(simulation.refusedStarts == 0);
}

// Guards against a step that never starts, or whose calls name the same refused runners again and again.
TEST_CASE("The only runner that the service approves is found by calls for some at a time", "[advice]")
{
    constexpr int largePool = 100;
    AdviceServiceOptions options;
    options.approves = [](const TaskName&, const std::string& runner) { return runner == "r37"; };
    AdviceSimulation simulation(largePool, options);
    simulation.submit("job", makeStep(2, 500));
    // One call for each runner would take 45 s.
    REQUIRE(simulation.runUntilStarted(Millis { 10000 }));
    REQUIRE(simulation.service.namedRunners <= largePool);
}

// Guards against calls that take long because they name runners that the step doesn't need.
TEST_CASE("A call names about as many runners as the step needs", "[advice]")
{
    AdviceSimulation simulation(runners, {});
    submitBurst(simulation, 20);
    REQUIRE(simulation.runUntilStarted(Millis { 20 * 600 }));
    REQUIRE(simulation.service.namedRunners <= 60);
}

// Guards against turns of the service that are spent on steps that can't start yet, while others could.
TEST_CASE("The first steps of a burst of jobs don't wait for advice on the second ones", "[advice]")
{
    constexpr int jobs = 12;
    AdviceSimulation simulation(runners, {});
    auto second = makeStep(2, 500);
    second.after = { 0 };
    for (int i = 0; i < jobs; ++i)
        simulation.submit("job" + std::to_string(i), { makeStep(2, 500), second });
    simulation.runFor({ 2500 }); // Time for four calls, in which no first step has ended and freed its turn.
    REQUIRE(simulation.startedJobs() == 4);
    REQUIRE(simulation.runUntilDone(Millis { 2 * jobs * 600 }));
}
