#include "celeryline/jobs/WorkerHealth.h"

#include <catch2/catch.hpp>

#include <random>

using namespace celeryline;
using Catch::Matchers::Contains;

namespace {

WorkerRecord record(int failures, int succeededElsewhere, int failedElsewhere)
{
    WorkerRecord record;
    record.poolWorkers = 40;
    for (int i = 0; i < failures; ++i) {
        record.attempts.push_back(
            { "j" + std::to_string(i), true, Millis { i }, succeededElsewhere, failedElsewhere });
    }
    return record;
}

} // namespace

TEST_CASE("Few failures of jobs that succeed elsewhere put a worker into quarantine", "[WorkerHealth]")
{
    HealthSettings settings;
    CHECK(assessWorker(record(1, 1, 0), Millis { 9 }, settings).action == HealthAction::Keep);
    auto decision = assessWorker(record(2, 1, 0), Millis { 9 }, settings);
    CHECK(decision.action == HealthAction::Quarantine);
    CHECK(decision.unchargedJobs.size() == 2);
    CHECK(assessWorker(record(20, 0, 3), Millis { 9 }, settings).action == HealthAction::Keep);
    auto many = record(5, 1, 0);
    many.poolQuarantined = 4;
    auto held = assessWorker(many, Millis { 9 }, settings);
    CHECK(held.action == HealthAction::Keep);
    CHECK_THAT(held.reason, Contains("common cause"));
}

TEST_CASE("Quarantine ends in probation, which a failure ends in a longer quarantine", "[WorkerHealth]")
{
    HealthSettings settings;
    auto worker = record(2, 1, 0);
    worker.trust = WorkerTrust::Quarantined;
    CHECK(assessWorker(worker, Millis { 599999 }, settings).action == HealthAction::Keep);
    CHECK(assessWorker(worker, Millis { 600000 }, settings).action == HealthAction::StartProbation);
    worker.quarantines = 1;
    CHECK(assessWorker(worker, Millis { 600000 }, settings).action == HealthAction::Keep);
    worker.trust = WorkerTrust::Probation;
    worker.since = Millis { 600000 };
    for (int i = 0; i < 3; ++i) {
        CHECK(assessWorker(worker, Millis { 700000 }, settings).action == HealthAction::Keep);
        worker.attempts.push_back({ "p", false, Millis { 650000 }, 0, 0 });
    }
    CHECK(assessWorker(worker, Millis { 700000 }, settings).action == HealthAction::Release);
    worker.attempts.back().failed = true;
    auto again = assessWorker(worker, Millis { 700000 }, settings);
    CHECK(again.action == HealthAction::Quarantine);
    CHECK(again.unchargedJobs.size() == 1);
    worker.trust = WorkerTrust::Trusted; // Failures from before the release no longer count.
    worker.since = Millis { 700000 };
    worker.attempts = record(2, 1, 0).attempts;
    CHECK(assessWorker(worker, Millis { 700000 }, settings).action == HealthAction::Keep);
}

TEST_CASE("Bad workers are found and good ones kept although 10% of the jobs always fail", "[WorkerHealth]")
{
    HealthSettings settings;
    int found = 0;
    int wrong = 0;
    std::mt19937 random(7);
    for (int worker = 0; worker < 2000; ++worker) {
        bool bad = worker < 1000;
        WorkerRecord history;
        history.poolWorkers = 1000;
        bool quarantined = false;
        for (int i = 0; i < 20 && !quarantined; ++i) {
            bool badJob = random() % 10 == 0;
            history.attempts.push_back(
                { std::to_string(i), bad || badJob, Millis { i }, badJob ? 0 : 1, badJob ? 1 : 0 });
            quarantined = assessWorker(history, Millis { i }, settings).action == HealthAction::Quarantine;
        }
        (bad ? found : wrong) += quarantined ? 1 : 0;
    }
    CHECK(found == 1000);
    CHECK(wrong == 0);
}
