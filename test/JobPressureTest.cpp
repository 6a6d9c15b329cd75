#include "celeryline/decisions/JobPressure.h"

#include <catch2/catch.hpp>

using namespace celeryline;

namespace {

WorkerJob makeWorkerJob(const std::string& id, std::uint64_t fence, std::int64_t cpu, std::int64_t memory)
{
    WorkerJob job;
    job.held = { id, fence, { cpu, memory, 0 }, false, true, false, "" };
    job.usage = { cpu, memory, 0 };
    job.checkpointable = true;
    return job;
}

} // namespace

TEST_CASE("Pressure throttles, then checkpoints, then stops, and spares urgent jobs", "[JobPressure]")
{
    WorkerPressure worker { "w", { 10000, 10000, 0 }, { 12000, 0, 0 },
        { makeWorkerJob("old", 1, 3000, 0), makeWorkerJob("young", 2, 3000, 0),
            makeWorkerJob("urgent", 3, 6000, 0) } };
    worker.jobs[2].held.urgent = true;
    Millis patience { 5000 };
    std::vector<JobAction> actions;
    for (std::int64_t at = 0; at < 20000; at += 2500) {
        for (const auto& instruction : relievePressure(worker, Millis { at }, patience)) {
            CHECK(instruction.job == "young");
            CHECK(at % patience.count == 0);
            worker.jobs[1].lastAction = instruction.action;
            worker.jobs[1].actionSince = Millis { at };
            actions.push_back(instruction.action);
        }
    }
    CHECK(actions == std::vector<JobAction> { JobAction::Throttle, JobAction::Checkpoint, JobAction::Stop });
    worker.jobs[0].held.borrowed = true;
    CHECK(relievePressure(worker, Millis { 0 }, patience).at(0).job == "old");
    worker.usage = { 9000, 9000, 0 };
    CHECK(relievePressure(worker, Millis { 0 }, patience).empty());
}

TEST_CASE("A non-repeatable job is throttled but never stopped", "[JobPressure]")
{
    WorkerPressure worker { "w", { 10000, 10000, 0 }, { 0, 12000, 0 },
        { makeWorkerJob("once", 1, 10, 12000) } };
    worker.jobs[0].held.repeatable = false;
    CHECK(relievePressure(worker, Millis { 0 }, Millis { 1 }).at(0).action == JobAction::Throttle);
    worker.jobs[0].lastAction = JobAction::Throttle;
    CHECK(relievePressure(worker, Millis { 1000 }, Millis { 1 }).empty());
}

TEST_CASE("A lost job never runs twice and a non-repeatable one never starts on a guess", "[JobPressure]")
{
    Job job;
    job.worker = "w";
    CHECK(decideAfterLoss({ job, false, false }).action == LossAction::Wait);
    CHECK(decideAfterLoss({ job, true, false }).action == LossAction::Requeue);
    job.repeatable = false;
    CHECK(decideAfterLoss({ job, false, false }).action == LossAction::Wait);
    CHECK(decideAfterLoss({ job, true, false }).action == LossAction::Fail);
    CHECK(decideAfterLoss({ job, true, true }).action == LossAction::Requeue);
    CHECK(acceptsFence(4, 5));
    CHECK_FALSE(acceptsFence(5, 4));
    CHECK_FALSE(acceptsFence(0, 0));
}
