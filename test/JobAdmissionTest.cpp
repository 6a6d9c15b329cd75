#include "celeryline/jobs/JobAdmission.h"

#include "celeryline/jobs/CustomerRate.h"
#include "celeryline/jobs/PoolBacklog.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace celeryline;

namespace {

const Resources tenCores { 10000, 20000, 0 };

/// @return work of some seconds of ten cores, as far as they are usable.
ResourceWork secondsOfTenCores(double seconds) { return { 9000 * seconds * 1000, 0, 0 }; }

JobAdmissionInput makeInput(double secondsAhead)
{
    JobAdmissionInput input;
    input.job = "00000000000000a1";
    input.objective = { 5000 };
    input.criticalPath = { 800 };
    input.work = secondsOfTenCores(0.1);
    input.ahead = secondsOfTenCores(secondsAhead);
    input.capacity = { { {}, tenCores } };
    return input;
}

} // namespace

// Guards against refusals of jobs that can be completed in time, and against accepting those that can't.
TEST_CASE("A job is refused only if its pool can't complete it in time", "[admission]")
{
    REQUIRE_FALSE(decideJobAdmission(makeInput(0)).refusal);
    REQUIRE_FALSE(decideJobAdmission(makeInput(3)).refusal);
    auto refused = decideJobAdmission(makeInput(6));
    REQUIRE(refused.refusal == JobRefusal::Capacity);
    REQUIRE(refused.status == 503);
    REQUIRE(refused.expectedEnd.count == Approx(6800).margin(5));
}

// Guards against a customer whose load beyond its rate makes others miss their objective.
TEST_CASE(
    "A customer beyond its rate is refused before others and only where capacity is scarce", "[admission]")
{
    auto input = makeInput(3.3);
    REQUIRE_FALSE(decideJobAdmission(input).refusal);
    input.isWithinRate = false;
    input.untilWithinRate = { 700 };
    auto refused = decideJobAdmission(input);
    REQUIRE(refused.refusal == JobRefusal::Rate);
    REQUIRE(refused.status == 429);
    input.ahead = secondsOfTenCores(1.5);
    REQUIRE_FALSE(decideJobAdmission(input).refusal);
    input.debtSeconds = 3;
    REQUIRE(decideJobAdmission(input).refusal == JobRefusal::Rate);
    input.ahead = {};
    REQUIRE_FALSE(decideJobAdmission(input).refusal);
}

// Guards against times to come back that are shorter than the wait, and against callers that return together.
TEST_CASE("The time to come back is true, repeatable and different for each job", "[admission]")
{
    std::set<std::int64_t> seconds;
    for (int i = 0; i < 100; ++i) {
        auto input = makeInput(6);
        input.job = "job" + std::to_string(i);
        auto refused = decideJobAdmission(input);
        REQUIRE(refused.retryAfter == decideJobAdmission(input).retryAfter);
        seconds.insert(refused.retryAfter.count / 1000);
        input.sinceForecast = refused.retryAfter;
        REQUIRE_FALSE(decideJobAdmission(input).refusal);
    }
    REQUIRE(seconds.size() >= 3);
}

// Guards against judging a queue at its peak by the machines that it has before they are moved.
TEST_CASE("Capacity that arrives in time counts", "[admission]")
{
    auto input = makeInput(10);
    REQUIRE(decideJobAdmission(input).refusal);
    input.capacity.push_back({ { 2000 }, { 90000, 180000, 0 } });
    auto decision = decideJobAdmission(input);
    REQUIRE_FALSE(decision.refusal);
    // 2 s of 10 cores, then the rest on 100.
    REQUIRE(decision.expectedStart.count == Approx(2800).margin(5));
}

// Guards against refusals without an estimate, of jobs that are too long for their objective on an idle pool,
// and of the first job of a pool that has no machine.
TEST_CASE("Without an estimate or a wait a job is accepted", "[admission]")
{
    auto input = makeInput(100);
    input.capacity.clear();
    REQUIRE_FALSE(decideJobAdmission(input).refusal);
    input = makeInput(0.5);
    input.criticalPath = { 20000 };
    REQUIRE_FALSE(decideJobAdmission(input).refusal);
    input = makeInput(0);
    input.capacity = { { { 4000 }, { 100, 100, 0 } } };
    REQUIRE_FALSE(decideJobAdmission(input).refusal);
}

// Guards against an estimate by processors alone where memory is what is missing.
TEST_CASE("The scarcest resource decides", "[admission]")
{
    PoolForecast forecast { { {}, tenCores } };
    REQUIRE(timeToComplete({ 9e6, 0, 0 }, forecast)->count == Approx(1000).margin(1));
    REQUIRE(timeToComplete({ 9e6, 54e6, 0 }, forecast)->count == Approx(3000).margin(1));
    REQUIRE_FALSE(timeToComplete({ 9e6, 0, 1 }, forecast));
    REQUIRE(timeToComplete({}, {}) == Millis {});
}

// Guards against a customer whose backlog delays those that use less than their share.
TEST_CASE("Of other customers' work only their share is ahead", "[admission]")
{
    std::vector<double> weights { 0, 1, 1, 2 };
    PoolBacklog backlog;
    backlog.add(0, 1, { 100, 0, 0 });
    backlog.add(0, 2, { 10, 0, 0 });
    backlog.add(0, 3, { 100, 0, 0 });
    backlog.add(1, 2, { 1000, 0, 0 });
    auto ahead = [&](std::uint32_t priority, std::size_t customer, double work) {
        return backlog.aheadOf(priority, { customer, &weights }, { work, 0, 0 }, tenCores).cpu;
    };
    REQUIRE(ahead(0, 2, 5) == Approx(10 + 15 + 30)); // Customer 1 as much as 2, customer 3 twice as much.
    REQUIRE(ahead(0, 1, 5) == Approx(100 + 10 + 100));
    REQUIRE(ahead(0, CustomerPosition::none, 5) == Approx(0));
    backlog.add(0, CustomerPosition::none, { 7, 0, 0 });
    REQUIRE(ahead(0, 2, 5) == Approx(7 + 10 + 15 + 30));
}

// Guards against a bucket that lets a customer exceed its rate for long, or whose refused callers all return
// to one token.
TEST_CASE("A customer's bucket refills at its rate", "[admission]")
{
    CustomerRate rate(2, { 1000 });
    for (int i = 0; i < 4; ++i) {
        REQUIRE(rate.isWithin({ 1000 }));
        rate.recordAccepted({ 1000 }, false);
    }
    REQUIRE_FALSE(rate.isWithin({ 1000 }));
    REQUIRE(rate.untilReturn({ 1000 }) == Millis { 500 });
    rate.reserveReturn({ 1000 });
    REQUIRE(rate.untilReturn({ 1000 }) == Millis { 1000 });
    REQUIRE(rate.isWithin({ 1500 }));
    rate.recordAccepted({ 1500 }, false);
    rate.recordAccepted({ 1500 }, false);
    REQUIRE(rate.debtSeconds({ 1500 }) == 0);
    rate.recordAccepted({ 1500 }, true);
    REQUIRE(rate.debtSeconds({ 1500 }) == Approx(0.5));
    REQUIRE(rate.debtSeconds({ 2000 }) == 0);
}
