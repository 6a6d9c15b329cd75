#include "celeryline/jobs/JobMaster.h"

#include "JobKit.h"

#include <catch2/catch.hpp>

#include <string>

using namespace celeryline;
using namespace celeryline::test;

namespace {

/// A JobMaster with a customer of weight 1 and a runner of four cores.
struct AdmissionKit {
    explicit AdmissionKit(bool hasCustomers = true)
    {
        auto configuration = makeConfiguration(2);
        if (hasCustomers)
            configuration.customers.push_back({ "small", {}, 1, 0, {} });
        kit.store.apply(AcceptConfiguration { configuration }, {});
        advance(3000);
    }

    /// Advances the time, with a report every half second that lists no run.
    void advance(std::int64_t milliseconds)
    {
        for (std::int64_t i = 0; i < milliseconds; i += 500) {
            kit.report(makeReport("r", ++sequence));
            kit.advance({ 500 });
        }
    }

    /// @return a job of two core-seconds.
    static JobSpec job(const std::string& id)
    {
        auto job = makeJob(id, { makeStep(4) });
        job.customer = "small";
        return job;
    }

    /// Offers jobs at once and submits the accepted ones.
    /// @return the number of accepted ones.
    int offer(int count)
    {
        int accepted = 0;
        for (int i = 0; i < count; ++i) {
            auto next = job("j" + std::to_string(++jobs));
            last = kit.master.admit(next);
            if (last.refusal)
                continue;
            kit.submit(next);
            ++accepted;
        }
        return accepted;
    }

    JobMasterFixture kit;
    JobAdmission last;
    std::uint64_t sequence = 0;
    int jobs = 0;
};

} // namespace

// Guards against a leader that accepts more than its runners can complete in time.
TEST_CASE("JobMaster refuses jobs once the pool has work beyond the objective", "[admission][master]")
{
    AdmissionKit kit;
    // Four cores complete a job in 0.56 s; the objective is 3.5 s.
    auto accepted = kit.offer(50);
    REQUIRE(accepted >= 3);
    REQUIRE(accepted <= 6);
    REQUIRE(kit.last.refusal == JobRefusal::Rate);
    const auto& counts = kit.kit.master.admission().counts();
    REQUIRE(counts.accepted == static_cast<std::uint64_t>(accepted));
    REQUIRE(counts.refusedByRate + counts.refusedByCapacity == static_cast<std::uint64_t>(50 - accepted));
    REQUIRE(kit.kit.master.longestExpectedWait() > Millis { 1000 });
    kit.advance(1000);
    REQUIRE(kit.kit.master.longestExpectedWait() == Millis {});
}

// Guards against a change for deployments without customers.
TEST_CASE("Without customers every job is accepted", "[admission][master]")
{
    AdmissionKit kit(false);
    REQUIRE(kit.offer(50) == 50);
    REQUIRE(kit.kit.master.admission().counts().accepted == 0);
}

// Guards against refusals of jobs that no estimate applies to, and of repeated submissions.
TEST_CASE("Known, long-running and scheduled jobs are not refused", "[admission][master]")
{
    AdmissionKit kit;
    kit.offer(50);
    REQUIRE(kit.last.refusal);
    REQUIRE_FALSE(kit.kit.master.admit(AdmissionKit::job("j1")).refusal);
    auto longRunning = AdmissionKit::job("long");
    longRunning.steps[0].isLongRunning = true;
    REQUIRE_FALSE(kit.kit.master.admit(longRunning).refusal);
    auto scheduled = AdmissionKit::job("due");
    scheduled.occurrences = 1;
    REQUIRE_FALSE(kit.kit.master.admit(scheduled).refusal);
    REQUIRE(kit.kit.master.admit(AdmissionKit::job("new")).refusal);
}

// Guards against a repeated submission that counts twice while the first one is being committed.
TEST_CASE("A submission that is being committed is not judged again", "[admission][master]")
{
    AdmissionKit kit;
    kit.kit.log.commitsImmediately = false;
    REQUIRE_FALSE(kit.kit.master.admit(AdmissionKit::job("a")).refusal);
    for (int i = 0; i < 20; ++i)
        REQUIRE_FALSE(kit.kit.master.admit(AdmissionKit::job("a")).refusal);
    REQUIRE(kit.kit.master.admission().counts().accepted == 1);
    // Accepted jobs count before they are committed.
    kit.offer(50);
    REQUIRE(kit.last.refusal);
    kit.kit.advance({ 300 }); // The next refresh finds none of them in the state.
    REQUIRE(kit.kit.master.admit(AdmissionKit::job("b")).refusal);
}

// Guards against a new leader that refuses jobs because no runner has reported to it yet, or accepts
// everything although its predecessor's pool was full.
TEST_CASE("A new leader judges a pool by its runs until the runners have reported", "[admission][master]")
{
    AdmissionKit idle;
    ++idle.kit.log.currentTerm;
    idle.kit.master.startTerm();
    REQUIRE(idle.offer(10) == 10);

    AdmissionKit full;
    full.offer(50);
    full.advance(500);
    ++full.kit.log.currentTerm;
    full.kit.master.startTerm();
    REQUIRE(full.offer(50) <= 6);
    REQUIRE(full.last.refusal);
}

// Guards against refusals at a peak for which machines are already on their way.
TEST_CASE("Reachable capacity counts", "[admission][master]")
{
    AdmissionKit kit;
    auto alone = kit.offer(50);
    AdmissionKit helped;
    auto arrival = helped.kit.moment.steady + Millis { 1000 };
    helped.kit.master.setReachableCapacity({ { "pool", { { arrival, { 40000, 80000, 0 } } } } });
    REQUIRE(helped.offer(50) > alone);
}
