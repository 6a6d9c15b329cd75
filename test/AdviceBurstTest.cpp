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

// Guards against calls of earlier terms that stand before those of the current one at the service, so that
// all tickets expire while they wait.
TEST_CASE("Leaders that change quickly don't fill the advice service with calls", "[advice]")
{
    AdviceSimulation simulation(runners, {});
    submitBurst(simulation, 12);
    for (int i = 0; i < 10; ++i) {
        simulation.startNextTerm();
        simulation.runFor({ 300 }); // Long enough for a report of each runner.
    }
    REQUIRE(simulation.service.longestLine == 1);
    REQUIRE(simulation.runUntilStarted(Millis { 8000 }));
}

// Guards against a line of abandoned calls at a service that was silent, behind which all calls time out.
TEST_CASE("A burst of steps starts after the advice service was silent", "[advice]")
{
    AdviceSimulation simulation(runners, {});
    simulation.service.isSilent = true;
    submitBurst(simulation, 12);
    simulation.runFor({ 60000 });
    REQUIRE(simulation.startedJobs() == 0);
    REQUIRE(simulation.service.callCount <= 6);
    simulation.service.isSilent = false;
    // The abandoned calls take 0.6 s each, and a call may be in flight that was sent before.
    REQUIRE(simulation.runUntilStarted(Millis { 6 * 600 + 12 * 600 }));
}

// Guards against steps that take turns in calling a service that rejects them all, which keeps it busy.
TEST_CASE("An advice service that rejects calls is called less and less often", "[advice]")
{
    AdviceServiceOptions options;
    options.maxWaiting = 0;
    AdviceSimulation simulation(runners, options);
    simulation.service.occupyFor({ 20000 }); // By another caller of the same machine.
    submitBurst(simulation, 12);
    simulation.runFor({ 20000 });
    REQUIRE(simulation.service.rejectedCount <= 10);
    REQUIRE(simulation.runUntilStarted(Millis { 3200 + 12 * 600 }));
}

// Guards against jobs of other queues that wait for a service that they don't need.
TEST_CASE("Jobs without advice start while the advice service is silent", "[advice]")
{
    AdviceSimulation simulation(runners, {});
    simulation.service.isSilent = true;
    submitBurst(simulation, 200);
    constexpr int plainJobs = 20;
    for (int i = 0; i < plainJobs; ++i)
        simulation.submitPlain("plain" + std::to_string(i), makeStep(2, 500));
    simulation.runFor({ 2000 });
    REQUIRE(simulation.startedJobs() == plainJobs);
}

// Guards against a burst that never starts because the service takes longer than its configuration says: all
// calls time out, or all tickets count as expired when they arrive.
TEST_CASE("A burst of steps starts at the rate of a slow advice service", "[advice]")
{
    AdviceSimulation simulation(runners, {});
    simulation.service.options.decide = { 4000 }; // The configuration says 400 ms, and 3 s of validity.
    submitBurst(simulation, 12);
    constexpr std::int64_t firstAnswer
        = 20000; // Until the timeouts have grown and abandoned calls have ended.
    REQUIRE(simulation.runUntilStarted(Millis { firstAnswer + 12 * 4200 }));
    REQUIRE(simulation.refusedStarts == 0);
}

// Guards against a refused start with each answer of a slow service that counts its tickets from the call.
TEST_CASE("Late tickets are tried rarely while runners refuse them", "[advice]")
{
    AdviceServiceOptions options;
    options.countsFromCall = true;
    AdviceSimulation simulation(runners, options);
    simulation.service.options.decide = { 4000 };
    submitBurst(simulation, 12);
    simulation.runFor({ 60000 });
    // Each try is a step of two tasks.
    REQUIRE(simulation.refusedStarts > 0);
    REQUIRE(simulation.refusedStarts <= 2 * 60000 / 10000);
}

// Guards against a start without a ticket, which a runner always refuses, because the ticket is about to
// expire when the runner reports; its own clock decides.
TEST_CASE("A start that was planned with a ticket is ordered with it", "[advice]")
{
    AdviceServiceOptions options;
    options.validity = { 1000 };
    AdviceSimulation simulation(1, options);
    simulation.submit("job", makeStep(1, 500));
    simulation.setReportInterval(
        { 900 }); // The plan comes 0.55 s after the call, the report some time later.
    REQUIRE(simulation.runUntilStarted({ 3000 }));
    REQUIRE(simulation.refusedStarts == 0);
}
