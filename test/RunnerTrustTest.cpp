#include "celeryline/jobs/RunnerTrust.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

TaskName stepOf(const std::string& job) { return { job, 0, 0, 0 }; }

RunnerIncarnation incarnation(const std::string& runner) { return { runner, { 1 } }; }

void recordResult(
    RunnerTrust& trust, const std::string& runner, const std::string& job, bool hasFailed, std::int64_t at)
{
    trust.recordResult(incarnation(runner), "pool", stepOf(job), hasFailed, Millis { at });
}

} // namespace

// Guards against workers that fail all tasks, and therefore always have capacity for more.
TEST_CASE("A runner that fails tasks of several jobs gets no more tasks for a while", "[trust]")
{
    RunnerTrust trust;
    for (const char* job : { "a", "b", "c" }) {
        recordResult(trust, "good", job, false, 1000);
        recordResult(trust, "bad", job, true, 1000);
    }
    REQUIRE(trust.trust(incarnation("bad")) == WorkerTrust::Quarantined);
    REQUIRE(trust.trust(incarnation("good")) == WorkerTrust::Trusted);
    trust.refresh({ 2000 });
    REQUIRE(trust.trust(incarnation("bad")) == WorkerTrust::Quarantined);
    trust.refresh({ 4000 });
    REQUIRE(trust.trust(incarnation("bad")) == WorkerTrust::Probation);
    for (const char* job : { "d", "e", "f" })
        recordResult(trust, "bad", job, false, 4100);
    REQUIRE(trust.trust(incarnation("bad")) == WorkerTrust::Trusted);
}

// Guards against quarantine because of jobs that always fail, whose tasks fail concurrently on any runner.
TEST_CASE("Tasks of a job that can't be done put no runner into quarantine", "[trust]")
{
    RunnerTrust trust;
    for (int i = 0; i < 6; ++i) {
        recordResult(trust, "r1", "poison", true, 1000 + i);
        recordResult(trust, "r2", "poison", true, 1000 + i);
    }
    REQUIRE(trust.trust(incarnation("r1")) == WorkerTrust::Trusted);
    REQUIRE(trust.trust(incarnation("r2")) == WorkerTrust::Trusted);
    REQUIRE(trust.failuresInARow(incarnation("r1")) == 6);
    recordResult(trust, "r1", "a", false, 1100);
    REQUIRE(trust.failuresInARow(incarnation("r1")) == 0);
}

// Guards against a probation that never ends: gangs don't start on a runner that takes a single task, so no
// success can end it.
TEST_CASE("A probation without a failure ends by itself", "[trust]")
{
    RunnerTrust trust;
    for (const char* job : { "a", "b", "c" })
        recordResult(trust, "bad", job, true, 1000);
    trust.refresh({ 4000 });
    REQUIRE(trust.trust(incarnation("bad")) == WorkerTrust::Probation);
    trust.refresh({ 6000 });
    REQUIRE(trust.trust(incarnation("bad")) == WorkerTrust::Probation);
    trust.refresh({ 6500 });
    REQUIRE(trust.trust(incarnation("bad")) == WorkerTrust::Trusted);
}

// Guards against a restarted runner that inherits the assessment of its earlier incarnation.
TEST_CASE("A new incarnation of a runner is trusted", "[trust]")
{
    RunnerTrust trust;
    for (const char* job : { "a", "b", "c", "d" })
        recordResult(trust, "bad", job, true, 1000);
    REQUIRE(trust.trust(incarnation("bad")) == WorkerTrust::Quarantined);
    REQUIRE(trust.trust({ "bad", { 2 } }) == WorkerTrust::Trusted);
}
