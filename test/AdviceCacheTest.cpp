#include "celeryline/jobs/AdviceCache.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

#include <set>
#include <utility>

using namespace celeryline;
using namespace celeryline::test;

namespace {

const TaskName step { "a", 0, 1, 0 };

/// A call at time 0.
AdviceCall call(std::vector<std::string> runners) { return { step, "q", std::move(runners), { 0 } }; }

/// An advisor that approves one runner.
class OneRunnerAdvisor final : public PlacementAdvisor {
public:
    explicit OneRunnerAdvisor(std::string runner)
        : m_runner(std::move(runner))
    {
    }

    void ask(const TaskName&, const std::vector<std::string>&, Millis, Callback done) override
    {
        ++calls;
        done(PlacementAdvice { { { m_runner, "ticket" } }, { 3000 } });
    }

    int calls = 0;

private:
    std::string m_runner;
};

} // namespace

// Guards against starts with a ticket that has expired by the time it arrives.
TEST_CASE("A ticket is valid from when it was requested until it expires", "[advice]")
{
    AdviceCache cache;
    REQUIRE(cache.mayAsk(step, { 0 }));
    cache.markAsked(step);
    REQUIRE_FALSE(cache.mayAsk(step, { 100 }));
    cache.storeAnswer(call({ "r" }), PlacementAdvice { { { "r", "t" } }, { 3000 } }, { 1000 });
    REQUIRE(*cache.ticket(step, "r", { 2000 }) == "t");
    REQUIRE(cache.ticket(step, "other", { 2000 }) == nullptr);
    REQUIRE(cache.ticket(step, "r", { 2800 }) == nullptr);
    REQUIRE(*cache.latestTicket(step, "r") == "t");
    REQUIRE(cache.latestTicket(step, "other") == nullptr);
    REQUIRE(cache.mayAsk(step, { 2800 }));
    REQUIRE(cache.adviceOn(step, "r", { 2800 }) == RunnerAdvice::Expired);
}

// Guards against flooding a failing service with requests.
TEST_CASE("After a failed request the service isn't asked for a while", "[advice]")
{
    AdviceCache cache;
    cache.markAsked(step);
    cache.storeAnswer(call({ "r" }), std::nullopt, { 1000 });
    REQUIRE_FALSE(cache.mayAsk(step, { 1100 }));
    REQUIRE(cache.mayAsk(step, { 1200 }));
}

// Guards against calls for a step that the service fails again and again, in place of calls for other steps.
TEST_CASE("The delay after failed requests for a step grows", "[advice]")
{
    AdviceCache cache;
    for (int i = 0; i < 2; ++i) {
        cache.markAsked(step);
        cache.storeAnswer(call({ "r" }), std::nullopt, { 1000 });
    }
    REQUIRE_FALSE(cache.mayAsk(step, { 1399 }));
    REQUIRE(cache.mayAsk(step, { 1400 }));
}

// Guards against calls that name runners for which the answer is known.
TEST_CASE("A refused runner is remembered until it restarts or much time has passed", "[advice]")
{
    AdviceCache cache;
    REQUIRE(cache.adviceOn(step, "r", { 0 }) == RunnerAdvice::Unknown);
    cache.storeAnswer(call({ "r", "s" }), PlacementAdvice { {}, { 3000 } }, { 1000 });
    REQUIRE(cache.adviceOn(step, "r", { 9000 }) == RunnerAdvice::Refused);
    REQUIRE_FALSE(cache.mayAskAgain(step, "r", { 10999 }));
    REQUIRE(cache.mayAskAgain(step, "r", { 11000 }));
    cache.removeRunner("r");
    REQUIRE(cache.adviceOn(step, "r", { 9000 }) == RunnerAdvice::Unknown);
    REQUIRE(cache.adviceOn(step, "s", { 9000 }) == RunnerAdvice::Refused);
}

// Guards against starts that are refused because their ticket was issued for an earlier life of the runner.
TEST_CASE("An answer about a runner that restarted during the call isn't used", "[advice]")
{
    AdviceCache cache;
    cache.markAsked(step);
    cache.removeRunner("r");
    cache.storeAnswer(
        call({ "r", "s" }), PlacementAdvice { { { "r", "t" }, { "s", "u" } }, { 3000 } }, { 1000 });
    REQUIRE(cache.adviceOn(step, "r", { 1000 }) == RunnerAdvice::Unknown);
    REQUIRE(cache.adviceOn(step, "s", { 1000 }) == RunnerAdvice::Approved);
    cache.markAsked(step);
    cache.storeAnswer(call({ "r" }), PlacementAdvice { { { "r", "t" } }, { 3000 } }, { 1500 });
    REQUIRE(cache.adviceOn(step, "r", { 1500 }) == RunnerAdvice::Approved);
}

// Guards against starts that a runner refuses again and again with the same ticket.
TEST_CASE("A ticket that a runner refused isn't used again", "[advice]")
{
    AdviceCache cache;
    cache.storeAnswer(call({ "r" }), PlacementAdvice { { { "r", "t" } }, { 30000 } }, { 1000 });
    cache.refuseTicket(step, "r", { 1500 });
    REQUIRE(cache.ticket(step, "r", { 1500 }) == nullptr);
    REQUIRE(cache.adviceOn(step, "r", { 1500 }) == RunnerAdvice::Expired);
}

// Guards against a step that never starts because a slow service answers only after its tickets' validity,
// and against refused starts if the service counts the validity from the call.
TEST_CASE("A ticket that comes late is used at once unless a runner has refused one", "[advice]")
{
    AdviceCache cache;
    const PlacementAdvice advice { { { "r", "t" } }, { 3000 } };
    cache.storeAnswer(call({ "r" }), advice, { 4000 });
    REQUIRE(cache.ticket(step, "r", { 4500 }) != nullptr);
    REQUIRE(cache.ticket(step, "r", { 4501 }) == nullptr);
    cache.refuseTicket(step, "r", { 4200 });
    cache.storeAnswer(call({ "r" }), advice, { 8000 });
    REQUIRE(cache.ticket(step, "r", { 8000 }) == nullptr);
    cache.storeAnswer(call({ "r" }), advice, { 14200 });
    REQUIRE(cache.ticket(step, "r", { 14200 }) != nullptr);
}

// Guards against a wait for advice that the log doesn't explain.
TEST_CASE("What is known about a step tells why it waits", "[advice]")
{
    AdviceCache cache;
    REQUIRE(cache.adviceOn(step, { 0 }) == StepAdvice::NotAsked);
    cache.markAsked(step);
    REQUIRE(cache.adviceOn(step, { 0 }) == StepAdvice::Asking);
    cache.storeAnswer(call({ "r" }), std::nullopt, { 1000 });
    REQUIRE(cache.adviceOn(step, { 1000 }) == StepAdvice::Failing);
    cache.storeAnswer(call({ "r" }), PlacementAdvice { {}, { 3000 } }, { 1000 });
    REQUIRE(cache.adviceOn(step, { 1000 }) == StepAdvice::Refused);
    cache.storeAnswer(call({ "s" }), PlacementAdvice { { { "s", "t" } }, { 3000 } }, { 1000 });
    REQUIRE(cache.adviceOn(step, { 1000 }) == StepAdvice::Approved);
    REQUIRE(cache.adviceOn(step, { 3000 }) == StepAdvice::Expired);
}

// Guards against calls for so few or so many runners that each step needs several or takes very long.
TEST_CASE("The approved share of a queue follows the answers", "[advice]")
{
    AdviceCache cache;
    REQUIRE(cache.approvedShare("q") == Approx(0.5));
    auto asked = call({ "a", "b", "c", "d", "e", "f", "g", "h" });
    cache.storeAnswer(asked, PlacementAdvice { { { "a", "t" } }, { 3000 } }, { 1000 });
    REQUIRE(cache.approvedShare("q") == Approx(0.2));
    REQUIRE(cache.approvedShare("other") == Approx(0.5));
}

// Guards against a start on a runner that the service didn't approve, and against one without its ticket.
TEST_CASE("A step of a queue that needs advice starts on an approved runner with its ticket", "[advice]")
{
    JobMasterFixture kit;
    auto configuration = makeConfiguration(2);
    configuration.queues[0].needsAdvice = true;
    kit.store.apply(AcceptConfiguration { configuration }, {});
    kit.report(makeReport("x", 1));
    kit.report(makeReport("y", 1));
    kit.submit(makeJob("a", { makeStep(1) }));
    REQUIRE(kit.store.allocations().empty()); // No advisor yet.
    OneRunnerAdvisor advisor("y");
    kit.master.setAdvisor(advisor);
    kit.master.plan();
    kit.master.plan();
    REQUIRE(kit.store.allocations().size() == 1);
    auto orders = kit.report(makeReport("y", 2));
    REQUIRE(orders->starts.at(0).ticket == "ticket");
    REQUIRE(advisor.calls == 1);
}

namespace {

/// An advisor that approves no runner and answers on demand.
class RefusingAdvisor final : public PlacementAdvisor {
public:
    void ask(const TaskName& step, const std::vector<std::string>& runners, Millis, Callback done) override
    {
        asked.push_back(step.job.text());
        lastRunners = runners;
        m_calls.push_back(std::move(done));
    }

    void answerAll()
    {
        for (auto& done : std::exchange(m_calls, {}))
            done(PlacementAdvice { {}, { 1000 } });
    }

    std::vector<std::string> asked; ///< Requested jobs, in the order of the calls.
    std::vector<std::string> lastRunners;

private:
    std::vector<Callback> m_calls;
};

void requireAdvice(JobMasterFixture& kit)
{
    auto configuration = makeConfiguration(2);
    configuration.queues.front().needsAdvice = true;
    kit.store.apply(AcceptConfiguration { configuration }, {});
}

} // namespace

// Guards against starvation: jobs with smaller ids would be requested first each time their advice expires.
TEST_CASE("Each waiting job gets its turn at the advice service", "[advice]")
{
    JobMasterFixture kit;
    requireAdvice(kit);
    RefusingAdvisor advisor;
    kit.master.setAdvisor(advisor);
    std::uint64_t sequence = 0;
    kit.report(makeReport("r", ++sequence));
    constexpr int jobs = 40;
    for (int i = 0; i < jobs; ++i)
        kit.submit(makeJob("job" + std::to_string(i), { makeStep(1) }));
    // Each call takes so long that the earlier answers expire before all jobs are requested.
    for (int i = 0; i < jobs; ++i) {
        kit.advance({ 500 });
        kit.report(makeReport("r", ++sequence));
        advisor.answerAll();
    }
    std::set<std::string> asked(advisor.asked.begin(), advisor.asked.end());
    REQUIRE(asked.size() == jobs);
}

// Guards against requests that name only full runners of a pool that exceeds the limit of one call.
TEST_CASE("Advice is requested for the runners with the most free capacity", "[advice]")
{
    JobMasterFixture kit;
    requireAdvice(kit);
    RefusingAdvisor advisor;
    kit.master.setAdvisor(advisor);
    for (std::size_t i = 0; i < PlacementAdvisor::maxRunners; ++i) {
        auto report = makeReport("small" + std::to_string(i), 1);
        report.capacity.cpuMilli = 500;
        kit.report(report);
    }
    kit.report(makeReport("large", 1));
    kit.submit(makeJob("a", { makeStep(1) }));
    // The others have no room for the task.
    REQUIRE(advisor.lastRunners == std::vector<std::string> { "large" });
}
