#include "celeryline/jobs/AdvicePlan.h"

#include "AdviceSimulation.h"
#include "CustomerKit.h"
#include "celeryline/jobs/StartPlan.h"

#include <catch2/catch.hpp>

using namespace celeryline;
using namespace celeryline::test;

// Guards against calls that last longer than the tickets that they return are valid.
TEST_CASE("A call names only runners for which half of the tickets' validity remains", "[advice]")
{
    REQUIRE(maxAdvisedRunners({ { 400 }, { 50 }, { 3000 } }) == 26);
    REQUIRE(adviceDuration({ { 400 }, { 50 }, { 3000 } }, 26) == Millis { 1700 });
    REQUIRE(maxAdvisedRunners({ { 400 }, { 1 }, { 3000 } }) == PlacementAdvisor::maxRunners);
    REQUIRE(maxAdvisedRunners({ { 400 }, { 5000 }, { 3000 } }) == 1);
    REQUIRE(maxAdvisedRunners({ { 4000 }, { 50 }, { 3000 } }) == 1);
    REQUIRE(maxAdvisedRunners({}) == PlacementAdvisor::maxRunners);
}

// Guards against calls that all time out behind those that timed out before and are still worked on.
TEST_CASE("A call has more time after failed ones", "[advice]")
{
    AdviceTiming timing { { 400 }, { 50 }, { 3000 } };
    REQUIRE(adviceTimeout(timing, 2, 0) == Millis { 2000 });
    REQUIRE(adviceTimeout(timing, 2, 1) == Millis { 4000 });
    REQUIRE(adviceTimeout(timing, 2, 100) == Millis { 30000 });
    REQUIRE(adviceTimeout({}, 2, 0) == Millis { 5000 });
}

namespace {

constexpr Millis now { 1000 };
constexpr Millis wallNow { 100000 };

/// A store with two queues that need advice, each with a pool, and one runner in each pool.
struct TwoPools {
    TwoPools()
    {
        auto configuration = makeConfiguration(2);
        configuration.queues.front().needsAdvice = true;
        auto other = configuration.queues.front();
        other.key = "host/other/";
        other.service = "other-pool";
        configuration.queues.push_back(other);
        store.apply(AcceptConfiguration { configuration }, {});
        addRunner("r", "pool", 4000);
        addRunner("s", "other-pool", 4000);
    }

    void addRunner(const std::string& runner, const std::string& pool, std::int64_t freeCpuMilli)
    {
        PlacementCandidate candidate;
        candidate.incarnation = { runner, { 1 } };
        candidate.service = pool;
        candidate.free = { freeCpuMilli, 8000, 0 };
        candidates.set(candidate);
    }

    void submit(const std::string& id, std::vector<StepSpec> steps, const std::string& queue = "host/queue/",
        Millis submittedAt = wallNow)
    {
        auto job = makeJob(id, std::move(steps));
        job.queue = queue;
        store.apply(SubmitJob { job, submittedAt }, {});
    }

    /// @return the job and step of the next call; "none" if there is none.
    std::string next(Millis wall = wallNow)
    {
        auto call = chooseAdviceCall(store, candidates, cache, wall, now);
        return call ? call->step.job.text() + "." + std::to_string(call->step.step) : "none";
    }

    JobStore store;
    CandidateIndex candidates;
    AdviceCache cache;
};

std::vector<StepSpec> twoSteps()
{
    auto second = makeStep(1);
    second.after = { 0 };
    return { makeStep(1), second };
}

} // namespace

// Guards against calls whose tickets expire without use, because no runner has room, while another pool
// waits.
TEST_CASE("A step that could start is asked about before one without room", "[advice]")
{
    TwoPools pools;
    pools.addRunner("r", "pool", 0);
    pools.submit("a", { makeStep(1) });
    pools.submit("b", { makeStep(1) }, "host/other/");
    REQUIRE(pools.next() == "b.0");
    pools.cache.markAsked({ "b", 0, 0, 0 });
    REQUIRE(pools.next() == "a.0"); // Its tickets may be of use when room appears.
}

// Guards against jobs that miss their objective because the service was asked about others first.
TEST_CASE("The service is asked about steps in the order in which the plan starts them", "[advice]")
{
    TwoPools pools;
    pools.submit("a", { makeStep(1) });
    pools.submit("b", { makeStep(1) }, "host/queue/", wallNow - Millis { 1000 });
    REQUIRE(pools.next() == "b.0");
    auto late = wallNow + Millis { 2500 }; // Only b can't meet its objective of 3 s any more.
    REQUIRE(pools.next(late) == "a.0");
}

// Guards against calls for a customer at its limit, whose tickets expire while steps of others wait.
TEST_CASE("The service isn't asked about steps of a customer at its limit", "[advice][quota]")
{
    TwoPools pools;
    auto configuration = pools.store.configuration();
    configuration.version = 3;
    configuration.customers = makeCustomerConfiguration({ "a", "b" }).customers;
    configuration.customers[0].limit.cpuMilli = 1500;
    pools.store.apply(AcceptConfiguration { configuration }, {});
    auto submit = [&](const std::string& id, const std::string& customer, Millis submittedAt) {
        pools.store.apply(SubmitJob { makeCustomerJob(id, customer, { makeStep(1) }), submittedAt }, {});
    };
    submit("running", "a", wallNow);
    submit("held", "a", wallNow - Millis { 200 });
    submit("other", "b", wallNow - Millis { 100 });
    REQUIRE(pools.next() == "held.0");
    pools.store.apply(StartRun { { { "running", 0, 0, 0 }, 1 }, { "r", { 1 } } }, {});
    REQUIRE(pools.next() == "other.0");
}

// Guards against tickets for steps whose turn comes only after the tickets have expired.
TEST_CASE("A step is asked about in advance once all tasks before it have started", "[advice]")
{
    TwoPools pools;
    pools.submit("a", twoSteps());
    REQUIRE(pools.next() == "a.0");
    pools.cache.markAsked({ "a", 0, 0, 0 });
    REQUIRE(pools.next() == "none");
    pools.store.apply(StartRun { { { "a", 0, 0, 0 }, 1 }, { "r", { 1 } } }, {});
    pools.submit("b", { makeStep(1) });
    REQUIRE(pools.next() == "b.0"); // It can start now.
    pools.cache.markAsked({ "b", 0, 0, 0 });
    REQUIRE(pools.next() == "a.1");
    // It is asked about in advance only once.
    pools.cache.markAsked({ "a", 0, 1, 0 });
    pools.cache.storeAnswer({ { "a", 0, 1, 0 }, "host/queue/", { "r" }, now }, std::nullopt, { 0 });
    REQUIRE(pools.next() == "none");
}

// Guards against a search that ends the process, or hides later steps for good, after many steps about which
// there is nothing to ask.
TEST_CASE("Many steps without anything to ask don't hide another one", "[advice]")
{
    TwoPools pools;
    pools.candidates.remove("r");
    for (int i = 0; i < 300; ++i)
        pools.submit("waiting" + std::to_string(i), { makeStep(1) });
    pools.submit(
        "z", { makeStep(1) }, "host/other/", wallNow + Millis { 1 }); // Its latest start is the latest.
    REQUIRE(pools.next() == "none");
    REQUIRE(pools.next() == "none");
    REQUIRE(pools.next() == "z.0");
}

// Guards against starvation of a job with tickets because hundreds of jobs before it in its queue have none.
TEST_CASE("Jobs that wait for advice don't hold up others of their queue", "[advice]")
{
    TwoPools pools;
    for (int i = 0; i < 300; ++i) {
        pools.submit(
            "waiting" + std::to_string(i), { makeStep(1) }, "host/queue/", wallNow - Millis { 1000 });
    }
    pools.submit("with-ticket", { makeStep(1) });
    AdviceCheck advice;
    advice.hasTicket = [](const TaskName& step) { return step.job == JobId("with-ticket"); };
    advice.isAdvised
        = [](const TaskName& step, const std::string&) { return step.job == JobId("with-ticket"); };
    auto starts = planStarts(pools.store, pools.candidates, wallNow, {}, advice);
    REQUIRE(starts.size() == 1);
    REQUIRE(starts[0].run.task.job == "with-ticket");
}
