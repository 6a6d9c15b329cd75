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
