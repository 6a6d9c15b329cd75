#include "celeryline/jobs/AdviceBook.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

#include <set>
#include <utility>

using namespace celeryline;
using namespace celeryline::test;

namespace {

const TaskName step { "a", 0, 1, 0 };

/// An advisor that approves one runner.
class OneRunnerAdvisor final : public PlacementAdvisor {
public:
    explicit OneRunnerAdvisor(std::string runner)
        : m_runner(std::move(runner))
    {
    }

    void ask(const TaskName&, const std::vector<std::string>&, Callback done) override
    {
        ++calls;
        done(PlacementAdvice { { { m_runner, "ticket" } }, { 3000 } });
    }

    int calls = 0;

private:
    std::string m_runner;
};

} // namespace

// Guards against starts with a ticket that is not valid any more when it arrives.
TEST_CASE("A ticket is given out while it is valid, from when it was asked for", "[advice]")
{
    AdviceBook book;
    REQUIRE(book.mustAsk(step, { 0 }));
    book.noteAsked(step, { 0 });
    REQUIRE_FALSE(book.mustAsk(step, { 100 }));
    book.note(step, PlacementAdvice { { { "r", "t" } }, { 3000 } }, { 0 }, { 1000 });
    REQUIRE(*book.ticket(step, "r", { 2000 }) == "t");
    REQUIRE(book.ticket(step, "other", { 2000 }) == nullptr);
    REQUIRE(book.ticket(step, "r", { 2800 }) == nullptr);
    REQUIRE(book.mustAsk(step, { 2800 }));
}

// Guards against a service that is asked again and again while it refuses.
TEST_CASE("After no answer the service is left alone for a while", "[advice]")
{
    AdviceBook book;
    book.noteAsked(step, { 0 });
    book.note(step, std::nullopt, { 0 }, { 1000 });
    REQUIRE_FALSE(book.mustAsk(step, { 1100 }));
    REQUIRE(book.mustAsk(step, { 1200 }));
}

// Guards against a start on a runner that the queue's policy forbids, and one without its ticket.
TEST_CASE("A step of a queue that needs advice starts on an approved runner with its ticket", "[advice]")
{
    JobMasterFixture kit;
    auto configuration = makeConfiguration(2);
    configuration.queues[0].needsAdvice = true;
    kit.store.apply(AcceptConfiguration { configuration }, {});
    kit.report(makeReport("x", 1));
    kit.report(makeReport("y", 1));
    kit.submit(makeJob("a", { makeStep(1) }));
    REQUIRE(kit.store.holdings().empty()); // Nobody has been asked yet.
    OneRunnerAdvisor advisor("y");
    kit.master.setAdvisor(advisor);
    kit.master.plan();
    kit.master.plan();
    REQUIRE(kit.store.holdings().size() == 1);
    auto orders = kit.report(makeReport("y", 2));
    REQUIRE(orders->starts.at(0).ticket == "ticket");
    REQUIRE(advisor.calls == 1);
}

namespace {

/// An advisor that approves no runner, and answers when it is told to.
class RefusingAdvisor final : public PlacementAdvisor {
public:
    void ask(const TaskName& step, const std::vector<std::string>& runners, Callback done) override
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

    std::vector<std::string> asked; ///< Jobs, in the order of the calls.
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

// Guards against jobs that are never asked for, because those with smaller ids ask again first each time that
// their advice is out of date.
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
    // Each call takes so long that only some of the jobs are asked for while an answer is valid.
    for (int i = 0; i < jobs; ++i) {
        kit.advance({ 500 });
        kit.report(makeReport("r", ++sequence));
        advisor.answerAll();
    }
    std::set<std::string> asked(advisor.asked.begin(), advisor.asked.end());
    REQUIRE(asked.size() == jobs);
}

// Guards against a service that is asked only for full runners of a pool that is larger than one call.
TEST_CASE("The advice service is asked for the runners with the most room", "[advice]")
{
    JobMasterFixture kit;
    requireAdvice(kit);
    RefusingAdvisor advisor;
    kit.master.setAdvisor(advisor);
    for (std::size_t i = 0; i < PlacementAdvisor::mostRunners; ++i) {
        auto report = makeReport("small" + std::to_string(i), 1);
        report.capacity.cpuMilli = 500;
        kit.report(report);
    }
    kit.report(makeReport("large", 1));
    kit.submit(makeJob("a", { makeStep(1) }));
    REQUIRE(advisor.lastRunners.size() == PlacementAdvisor::mostRunners);
    REQUIRE(advisor.lastRunners.front() == "large");
}
