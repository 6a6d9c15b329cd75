#include "celeryline/control/LeaderSilence.h"

#include "celeryline/consensus/RaftOptions.h"
#include "celeryline/control/ControlTimes.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

/// Lets time pass as a process does that runs all the while.
LeaderSilence afterRunning(LeaderSilence silence, Millis length)
{
    auto end = silence.notedAt + length;
    while (silence.notedAt < end)
        silence = afterTime(silence, std::min(end, silence.notedAt + silenceStep));
    return silence;
}

const RefusalRule rule { longestElection(controlElectionTimeout), { 900 } };

} // namespace

// Guards against requests that each wait for a leader although none has answered for seconds.
TEST_CASE("Requests are refused once no leader has answered for longer than an election", "[control]")
{
    auto silence = afterQuestion(afterAnswer({ 1000 }), { 1000 });
    silence = afterRunning(silence, rule.limit - Millis { 1 });
    REQUIRE_FALSE(mustRefuse(rule, silence, false));
    silence = afterRunning(silence, { 1 });
    REQUIRE(mustRefuse(rule, silence, false));
    REQUIRE_FALSE(mustRefuse(rule, afterAnswer({ 9000 }), false));
}

// Guards against a caller that is told 503 for a request that may have been carried out.
TEST_CASE("A request that may have been carried out is never refused for silence", "[control]")
{
    auto silence = afterRunning(afterQuestion({}, { 1000 }), { 60000 });
    REQUIRE_FALSE(mustRefuse(rule, silence, true));
    REQUIRE_FALSE(mustRefuse({}, silence, false));
}

// Guards against refusals after times without requests, in which nobody was asked.
TEST_CASE("Only time since a question counts as silence", "[control]")
{
    auto silence = afterTime(afterAnswer({ 1000 }), { 61000 });
    REQUIRE(silence == LeaderSilence { false, {}, { 61000 } });
    silence = afterQuestion(silence, { 61000 });
    REQUIRE(silence == LeaderSilence { true, {}, { 61000 } });
    // A second question doesn't begin a new silence.
    silence = afterQuestion(afterTime(silence, { 61050 }), { 61080 });
    REQUIRE(silence == LeaderSilence { true, { 80 }, { 61080 } });
}

// Guards against a process that was frozen and then refuses requests, since the leader was "silent"
// meanwhile.
TEST_CASE("The own pause isn't taken for a silence of the leader", "[control]")
{
    auto silence = afterRunning(afterQuestion({}, { 1000 }), { 200 });
    silence = afterTime(silence, { 31200 });
    REQUIRE(silence.length == Millis { 200 } + longestSilenceStep);
    REQUIRE_FALSE(mustRefuse(rule, silence, false));
}

// Guards against refusals in an election with one lost round of votes: its callers only have to wait.
TEST_CASE("The limit lies beyond the longest waits of a follower and a candidate", "[control]")
{
    REQUIRE(rule.limit == Millis { 1500 });
    REQUIRE(longestElection({ 300 }) == Millis { 900 });
}
