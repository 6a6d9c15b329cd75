#include "celeryline/jobs/JobEvents.h"

#include <cmath>
#include <set>

namespace celeryline {
namespace {

const char* endName(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Done:
        return "done";
    case RunOutcome::Failed:
        return "failed";
    case RunOutcome::Stopped:
        return "stopped";
    case RunOutcome::Lapsed:
        return "lapsed";
    case RunOutcome::Broken:
        return "broken";
    case RunOutcome::Alone:
        return "alone";
    case RunOutcome::Refused:
        return "refused";
    case RunOutcome::Lost:
        return "lost";
    }
    return "";
}

const char* phaseName(JobPhase phase)
{
    switch (phase) {
    case JobPhase::Open:
        return "open";
    case JobPhase::Completed:
        return "completed";
    case JobPhase::Failed:
        return "failed";
    case JobPhase::Cancelled:
        return "cancelled";
    }
    return "";
}

const char* latenessName(JobLateness lateness)
{
    switch (lateness) {
    case JobLateness::InTime:
        return "in-time";
    case JobLateness::Late:
        return "late";
    case JobLateness::Expired:
        return "expired";
    }
    return "";
}

std::int64_t permille(double fraction)
{
    constexpr double perUnit = 1000;
    return std::llround(fraction * perUnit);
}

} // namespace

Event describeRun(const char* name, const RunName& run)
{
    Event event(name);
    event.with("job", run.task.job.text())
        .with("occurrence", run.task.occurrence)
        .with("step", run.task.step)
        .with("index", run.task.index)
        .with("run", run.run);
    return event;
}

Event describeStep(const char* name, const TaskName& step)
{
    Event event(name);
    event.with("job", step.job.text()).with("occurrence", step.occurrence).with("step", step.step);
    return event;
}

Event describeAnswer(const TaskName& step, const std::optional<PlacementAdvice>& advice, Millis duration)
{
    auto event = describeStep("advice-answered", step);
    event.with("tookMs", duration);
    if (!advice)
        return event.with("outcome", "failed");
    return event.with("outcome", "answered")
        .with("approved", advice->tickets.size())
        .with("validMs", advice->validFor);
}

Event describeCommand(const JobCommand& command)
{
    if (const auto* submit = std::get_if<SubmitJob>(&command)) {
        Event event("job-submitted");
        event.with("job", submit->job.id.text())
            .with("queue", submit->job.queue)
            .with("customer", submit->job.customer)
            .with("steps", submit->job.steps.size());
        return event;
    }
    if (const auto* cancel = std::get_if<CancelJob>(&command)) {
        Event event("job-cancelled");
        event.with("job", cancel->job.text());
        return event;
    }
    if (const auto* accept = std::get_if<AcceptConfiguration>(&command)) {
        Event event("configuration");
        event.with("version", accept->configuration.version)
            .with("queues", accept->configuration.queues.size())
            .with("customers", accept->configuration.customers.size());
        return event;
    }
    if (const auto* wave = std::get_if<StartWave>(&command)) {
        Event event("wave");
        event.with("wave", wave->wave)
            .with("machines", wave->machines.size())
            .with("atOnce", wave->maxAtOnce)
            .with("deadlineMs", wave->deadline);
        return event;
    }
    return Event("request");
}

Event describeWait(const PoolWait& wait)
{
    Event event("task-waits");
    event.with("job", wait.task.job.text())
        .with("occurrence", wait.task.occurrence)
        .with("step", wait.task.step)
        .with("pool", wait.pool)
        .with("tasks", wait.tasksWaiting)
        .with("isGang", wait.isGang)
        .with("waitedMs", wait.waited)
        .with("ageMs", wait.age)
        .with("lateness", latenessName(wait.lateness))
        .with("milliCores", wait.demand.cpuMilli)
        .with("memoryMb", wait.demand.memoryMb)
        .with("accelerators", wait.demand.accelerators);
    if (!wait.customer.empty()) {
        event.with("customer", wait.customer)
            .with("heldBackBy", wait.hold == WaitReason::HasRoom ? "capacity" : waitReasonName(wait.hold))
            .with("customerMilliCores", wait.customerRunning.cpuMilli)
            .with("customerMemoryMb", wait.customerRunning.memoryMb)
            .with("customerAccelerators", wait.customerRunning.accelerators)
            .with("customerPermille", permille(wait.customerFraction))
            .with("sharePermille", permille(wait.customerShare))
            .with("limitMilliCores", wait.customerLimit.cpuMilli)
            .with("limitMemoryMb", wait.customerLimit.memoryMb)
            .with("limitAccelerators", wait.customerLimit.accelerators);
    }
    // If none of these fields is present, the leader knows no runner of the pool.
    for (const auto& [reason, count] : wait.runners)
        event.with(waitReasonName(reason), count);
    return event;
}

void logEnds(const JobStore& store, const std::vector<JobCommand>& commands, const std::string& runner)
{
    std::set<JobId> jobs;
    for (const auto& command : commands) {
        const auto* end = std::get_if<EndRun>(&command);
        if (end == nullptr)
            continue;
        jobs.insert(end->run.task.job);
        describeRun("end", end->run)
            .with("how", endName(end->outcome))
            .with("runner", runner)
            .write(EventKind::Task);
    }
    for (const auto& id : jobs) {
        const auto* job = store.findJob(id);
        // The tasks of an ended job are released once it has no active runs.
        if (job == nullptr || job->phase == JobPhase::Open || !job->occurrences.empty())
            continue;
        Event("job-ended")
            .with("job", id.text())
            .with("queue", job->spec.queue)
            .with("phase", phaseName(job->phase))
            .with("ageMs", job->endedAt - job->submittedAt)
            .write();
    }
}

} // namespace celeryline
