#include "celeryline/control/LeaderResponseTimer.h"

#include "celeryline/consensus/RaftOptions.h"
#include "celeryline/control/ControlTimes.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

/// Advances the time in the regular steps of a process that runs without pauses.
LeaderResponseTimer advanceInSteps(LeaderResponseTimer timer, Millis duration)
{
    auto end = timer.updatedAt + duration;
    while (timer.updatedAt < end)
        timer = advanceResponseTimer(timer, std::min(end, timer.updatedAt + responseTimerInterval));
    return timer;
}

const RefusalPolicy policy { maxElectionTime(controlElectionTimeout), { 900 } };

} // namespace

// Guards against each request waiting for a leader although none has responded for seconds.
TEST_CASE("Requests are refused once no leader has responded for the maximum election time", "[control]")
{
    auto timer = startResponseTimer(resetResponseTimer({ 1000 }), { 1000 });
    timer = advanceInSteps(timer, policy.limit - Millis { 1 });
    REQUIRE_FALSE(shouldRefuse(policy, timer, false));
    timer = advanceInSteps(timer, { 1 });
    REQUIRE(shouldRefuse(policy, timer, false));
    REQUIRE_FALSE(shouldRefuse(policy, resetResponseTimer({ 9000 }), false));
}

// Guards against status 503 for a request that may have been executed.
TEST_CASE("A request that may have been executed is never refused while no leader responds", "[control]")
{
    auto timer = advanceInSteps(startResponseTimer({}, { 1000 }), { 60000 });
    REQUIRE_FALSE(shouldRefuse(policy, timer, true));
    REQUIRE_FALSE(shouldRefuse({}, timer, false));
}

// Guards against refusals after idle periods in which no control process was queried.
TEST_CASE("Only time since a query counts as time without a response", "[control]")
{
    auto timer = advanceResponseTimer(resetResponseTimer({ 1000 }), { 61000 });
    REQUIRE(timer == LeaderResponseTimer { false, {}, { 61000 } });
    timer = startResponseTimer(timer, { 61000 });
    REQUIRE(timer == LeaderResponseTimer { true, {}, { 61000 } });
    // A second query doesn't restart the measurement.
    timer = startResponseTimer(advanceResponseTimer(timer, { 61050 }), { 61080 });
    REQUIRE(timer == LeaderResponseTimer { true, { 80 }, { 61080 } });
}

// Guards against a process that refuses requests after it was frozen, because it counts the time in which it
// was frozen as time without a response.
TEST_CASE("A pause of the process isn't counted as time without a response", "[control]")
{
    auto timer = advanceInSteps(startResponseTimer({}, { 1000 }), { 200 });
    timer = advanceResponseTimer(timer, { 31200 });
    REQUIRE(timer.elapsed == Millis { 200 } + maxResponseTimerStep);
    REQUIRE_FALSE(shouldRefuse(policy, timer, false));
}

// Guards against refusals during an election in which one round of votes fails: waiting is sufficient then.
TEST_CASE("The limit covers the maximum wait of a follower and of a candidate", "[control]")
{
    REQUIRE(policy.limit == Millis { 1500 });
    REQUIRE(maxElectionTime({ 300 }) == Millis { 900 });
}
