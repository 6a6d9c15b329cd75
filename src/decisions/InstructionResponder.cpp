#include "celeryline/decisions/InstructionResponder.h"

#include <algorithm>

namespace celeryline {

namespace {

bool isPlaced(const Job& job) { return job.phase == JobPhase::Placed || job.phase == JobPhase::Running; }

/// @return whether the instance may leave its pool: a guarded pool requires a permit.
bool mayLeavePool(const FleetState& fleet, const Instance& instance)
{
    auto pool = fleet.pools->find(instance.pool);
    bool isGuarded = pool != fleet.pools->end() && pool->second.guarded;
    return !isGuarded || fleet.permits->count(instance.name) != 0;
}

std::string instructionOf(
    const FleetState& fleet, const Instance& instance, const Announcement& upstream, bool isCurrent)
{
    switch (instance.phase) {
    case InstancePhase::Draining:
        return isCurrent || upstream.draining ? "drain" : "serve";
    case InstancePhase::Moving:
        return mayLeavePool(fleet, instance) && (isCurrent || upstream.draining) ? "drain" : "serve";
    case InstancePhase::Rebooting:
        // A new boot epoch shows that it has already restarted; another instruction would restart it again.
        if (upstream.bootEpoch != instance.bootEpoch) {
            return "serve";
        }
        return isCurrent ? "reboot" : "drain";
    case InstancePhase::Serving:
    case InstancePhase::Failed:
        return "serve";
    }
    return "serve";
}

} // namespace

AnnounceReply instructionFor(const FleetState& fleet, const Announcement& upstream, bool isCurrent)
{
    AnnounceReply reply;
    reply.revision = fleet.revision;
    auto instance = fleet.instances->find(upstream.name);
    if (instance != fleet.instances->end()) {
        reply.instruction = instructionOf(fleet, instance->second, upstream, isCurrent);
    }
    auto permit = fleet.permits->find(upstream.name);
    if (permit != fleet.permits->end() && reply.instruction != "serve") {
        reply.permit = permit->second.revision;
    }
    return reply;
}

LabelSet labelsFor(const FleetState& fleet, const Announcement& upstream)
{
    auto instance = fleet.instances->find(upstream.name);
    return instance == fleet.instances->end() ? upstream.labels : instance->second.labels;
}

InstructionResponder::InstructionResponder(const FleetReader& fleet)
    : m_fleet(fleet)
{
}

std::shared_ptr<const InstructionResponder::JobsByWorker> InstructionResponder::jobsByWorker(
    const FleetState& fleet) const
{
    std::lock_guard<std::mutex> guard(m_mutex);
    if (m_indexedJobs != fleet.jobs) {
        auto index = std::make_shared<JobsByWorker>();
        for (const auto& [id, job] : *fleet.jobs) {
            if (isPlaced(job)) {
                (*index)[job.worker].push_back(&job);
            }
        }
        m_indexedJobs = fleet.jobs;
        m_index = index;
    }
    return m_index;
}

AnnounceReply InstructionResponder::answer(
    const Announcement& upstream, const std::vector<ReportedTask>& tasks, bool isCurrent) const
{
    auto fleet = m_fleet.fleet();
    auto reply = instructionFor(*fleet, upstream, isCurrent);
    if (upstream.kind != UpstreamKind::Worker) {
        return reply;
    }
    auto index = jobsByWorker(*fleet);
    auto jobs = index->find(upstream.name);
    static const std::vector<const Job*> none;
    const auto& placed = jobs == index->end() ? none : jobs->second;
    for (const auto* job : placed) {
        auto isSame
            = [&](const ReportedTask& task) { return task.id == job->id && task.fence == job->fence; };
        bool isKnown = std::any_of(tasks.begin(), tasks.end(), isSame);
        if (!isKnown && job->phase == JobPhase::Placed) {
            reply.tasks.push_back({ job->id, "start", job->fence });
        }
    }
    for (const auto& task : tasks) {
        auto isSame = [&](const Job* job) { return job->id == task.id && job->fence == task.fence; };
        bool hasEnded = task.state == "done" || task.state == "failed";
        // A newer fence belongs to a placement that this entry instance hasn't applied yet.
        bool isNewer = task.fence > fleet->revision;
        if (!hasEnded && !isNewer && std::none_of(placed.begin(), placed.end(), isSame)) {
            reply.tasks.push_back({ task.id, "stop", task.fence });
        }
    }
    return reply;
}

} // namespace celeryline
