#include "celeryline/machines/ArrivalRate.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

// Load: ten jobs a second, each of one core-second.
TEST_CASE("The rate of a steady stream is its mean and decays when the stream ends", "[pools]")
{
    JobStore store;
    store.apply(AcceptConfiguration { makeConfiguration() }, {});
    ArrivalRate rate;
    std::int64_t now = 0;
    rate.update(store, { now });
    for (int i = 0; i < 60; ++i) {
        store.apply(SubmitJob { makeJob("j" + std::to_string(i), { makeStep(2) }), { now } }, {});
        now += 100;
        rate.update(store, { now });
    }
    REQUIRE(rate.rateOf("pool") > 9000);
    REQUIRE(rate.rateOf("pool") < 11500);
    rate.update(store, { now + 5000 });
    REQUIRE(rate.rateOf("pool") < 200);
}

// Long-running tasks must not count as work that arrives repeatedly.
TEST_CASE("Long-running steps are not work with an end", "[pools]")
{
    auto step = makeStep(5);
    step.isLongRunning = true;
    REQUIRE(estimatedWork(makeJob("a", { step })) == 0);
}
