#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/fleet/FleetOperations.h"

#include <algorithm>

namespace celeryline::detail {

namespace {

bool isFinished(JobPhase phase)
{
    return phase != JobPhase::Queued && phase != JobPhase::Placed && phase != JobPhase::Running;
}

void finishJob(FleetDraft& draft, Job job, JobPhase phase, const std::string& reason)
{
    job.phase = phase;
    job.reason = reason;
    job.ended = draft.now;
    draft.update(std::move(job));
}

/// Removes the oldest finished jobs in excess of maxFinishedJobs.
void pruneFinishedJobs(FleetDraft& draft)
{
    std::vector<std::pair<std::uint64_t, std::string>> finished;
    for (const auto& [id, job] : draft.jobs.read()) {
        if (isFinished(job.phase)) {
            finished.emplace_back(job.revision, id);
        }
    }
    if (finished.size() <= maxFinishedJobs) {
        return;
    }
    auto end = finished.begin() + static_cast<std::ptrdiff_t>(finished.size() - maxFinishedJobs);
    std::nth_element(finished.begin(), end, finished.end());
    for (auto it = finished.begin(); it != end; ++it) {
        draft.jobs.write().erase(it->second);
    }
}

/// Applies a placement change.
/// @return why the change was rejected; empty if it was applied.
std::string applyPlacement(FleetDraft& draft, const JobPlacementChange& change)
{
    const auto* found = draft.jobs.find(change.job);
    if (!found) {
        return "it does not exist";
    }
    Job job = *found;
    bool isPlaced = job.phase == JobPhase::Placed || job.phase == JobPhase::Running;
    if (isFinished(job.phase) || isPlaced != change.requeue) {
        return std::string("its phase is ") + nameOf(job.phase);
    }
    if (change.refuse) {
        finishJob(draft, job, JobPhase::Refused, change.reason);
        return "";
    }
    if (!change.worker.empty()) {
        const auto* worker = draft.instances.find(change.worker);
        if (!worker || worker->phase != InstancePhase::Serving || worker->pool != job.pool) {
            return "worker \"" + change.worker + "\" does not serve in pool \"" + job.pool + "\"";
        }
        job.phase = JobPhase::Placed;
        job.worker = change.worker;
        job.fence = draft.nextRevision();
    } else if (change.requeue) {
        job.phase = JobPhase::Queued;
        job.worker.clear();
    } else if (job.reason == change.reason) {
        return "";
    }
    job.reason = change.reason;
    draft.update(std::move(job));
    return "";
}

} // namespace

OperationResult submitJob(FleetDraft& draft, const FleetCommand& command)
{
    Job job = command.job;
    if (draft.jobs.find(job.id)) {
        throw Error(ErrorKind::Conflict, "job \"" + job.id + "\" exists already", "choose another id");
    }
    if (!draft.pools.find(job.pool)) {
        throw Error(ErrorKind::InvalidInput,
            "job \"" + job.id + "\" names the pool \"" + job.pool + "\", which does not exist",
            "list pools with: celeryline get pools");
    }
    job.phase = JobPhase::Queued;
    job.worker.clear();
    job.fence = 0;
    job.submitted = draft.now;
    job.ended = {};
    draft.update(std::move(job));
    return {};
}

OperationResult cancelJobs(FleetDraft& draft, const FleetCommand& command)
{
    int cancelled = 0;
    Poco::JSON::Array::Ptr unknown = new Poco::JSON::Array;
    for (const auto& id : command.jobs) {
        const auto* job = draft.jobs.find(id);
        if (!job) {
            unknown->add(id);
        } else if (!isFinished(job->phase)) {
            finishJob(draft, *job, JobPhase::Cancelled, "cancelled by an operator");
            ++cancelled;
        }
    }
    if (unknown->size() == command.jobs.size()) {
        throw Error(ErrorKind::NotFound, "job \"" + command.jobs.front() + "\" does not exist",
            "list jobs with: celeryline get jobs");
    }
    if (cancelled != 0) {
        pruneFinishedJobs(draft);
    }
    OperationResult result = new Poco::JSON::Object;
    result->set("cancelled", cancelled);
    result->set("unknown", unknown);
    return result;
}

OperationResult placeJobs(FleetDraft& draft, const FleetCommand& command)
{
    Poco::JSON::Array::Ptr refused = new Poco::JSON::Array;
    for (const auto& change : command.placements) {
        auto reason = applyPlacement(draft, change);
        if (!reason.empty()) {
            Poco::JSON::Object::Ptr item = new Poco::JSON::Object;
            item->set("job", change.job);
            item->set("reason", reason);
            refused->add(item);
        }
    }
    if (draft.jobs.isChanged()) {
        pruneFinishedJobs(draft);
    }
    OperationResult result = new Poco::JSON::Object;
    result->set("refused", refused);
    return result;
}

OperationResult jobEnded(FleetDraft& draft, const FleetCommand& command)
{
    const auto* found = draft.jobs.find(command.name);
    if (!found) {
        throw Error(ErrorKind::NotFound, "job \"" + command.name + "\" does not exist",
            "list jobs with: celeryline get jobs");
    }
    Job job = *found;
    // A report with another fence refers to an earlier placement and is ignored.
    bool isPlaced = job.phase == JobPhase::Placed || job.phase == JobPhase::Running;
    if (!isPlaced || job.fence != command.fence || job.phase == command.outcome) {
        return {};
    }
    if (isFinished(command.outcome)) {
        finishJob(draft, std::move(job), command.outcome, command.reason);
        pruneFinishedJobs(draft);
        return {};
    }
    if (command.outcome == JobPhase::Queued && !job.repeatable) {
        finishJob(
            draft, std::move(job), JobPhase::Failed, "its worker stopped and the job is not repeatable");
        return {};
    }
    job.phase = command.outcome;
    job.worker = command.outcome == JobPhase::Queued ? "" : job.worker;
    job.reason = command.reason;
    draft.update(std::move(job));
    return {};
}

} // namespace celeryline::detail
