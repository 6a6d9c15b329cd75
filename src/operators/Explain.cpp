#include "celeryline/operators/Explain.h"

#include "celeryline/base/Error.h"
#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/fleet/PoolMembership.h"

#include <algorithm>

namespace celeryline {

namespace {

constexpr std::size_t maxListedNames = 3;

std::string quoted(const std::string& name) { return "\"" + name + "\""; }

std::string secondsSince(Millis since, Millis now)
{
    return std::to_string(std::max<std::int64_t>(0, (now - since).count) / 1000) + " s";
}

template <typename T> const T& find(const ObjectMap<T>& map, const std::string& kind, const std::string& name)
{
    auto it = map->find(name);
    if (it == map->end()) {
        throw Error(ErrorKind::NotFound, kind + " " + quoted(name) + " does not exist",
            "list them with: celeryline get " + kind + "s");
    }
    return it->second;
}

/// @return the first maxListedNames names and the number of the others.
std::string joinNames(const std::vector<std::string>& names)
{
    std::string text;
    for (std::size_t i = 0; i < names.size() && i < maxListedNames; ++i) {
        text += (i == 0 ? "" : ", ") + names[i];
    }
    return names.size() > maxListedNames
        ? text + " and " + std::to_string(names.size() - maxListedNames) + " more"
        : text;
}

const Service* findGuardedService(const FleetState& fleet, const Instance& instance)
{
    auto pool = fleet.pools->find(instance.pool);
    if (pool == fleet.pools->end() || !pool->second.guarded) {
        return nullptr;
    }
    auto service = fleet.services->find(pool->second.service);
    return service == fleet.services->end() ? nullptr : &service->second;
}

/// @return the service's disruption budget and the instances that use it.
std::string describeBudget(const FleetState& fleet, const Service& service)
{
    auto budget = budgetOf(*fleet.pools, *fleet.instances, *fleet.permits, service);
    std::vector<std::string> down;
    for (const auto& [name, instance] : *fleet.instances) {
        const auto* guardedService = findGuardedService(fleet, instance);
        if (guardedService && guardedService->name == service.name
            && isDown(instance, fleet.permits->count(name) != 0)) {
            down.push_back(name + " " + nameOf(instance.phase));
        }
    }
    std::string text = "service " + quoted(service.name) + " has " + std::to_string(budget.down) + " of "
        + std::to_string(budget.total) + " instances down";
    text += down.empty() ? "" : " (" + joinNames(down) + ")";
    return text + " and its budget allows " + std::to_string(budget.allowedDown);
}

std::string describePermitWait(const FleetState& fleet, const Instance& instance)
{
    const auto* service = findGuardedService(fleet, instance);
    if (!service) {
        return "no budget applies, so it gets a permit soon";
    }
    auto budget = budgetOf(*fleet.pools, *fleet.instances, *fleet.permits, *service);
    std::string remedy = budget.allowedDown > 0
        ? ""
        : ", so no instance may stop; raise maxUnavailablePercent or lower minAvailable";
    return describeBudget(fleet, *service) + remedy;
}

/// @return the unfinished wave in which the instance is pending, or nullptr.
const Wave* findOpenWave(const FleetState& fleet, const std::string& name)
{
    for (const auto& [key, wave] : *fleet.waves) {
        if (wave.state != WaveState::Done && wave.pending.count(name) != 0) {
            return &wave;
        }
    }
    return nullptr;
}

std::string describeDrain(const FleetState& fleet, const Instance& instance, const std::string& since)
{
    auto permit = fleet.permits->find(instance.name);
    std::string wave = permit == fleet.permits->end() ? "" : permit->second.wave;
    std::string cause = wave.empty() ? "by an operator" : "for wave " + quoted(wave);
    if (!instance.drained) {
        return "has been draining for " + since + " " + cause
            + " and is waiting for work in progress to finish";
    }
    return "is drained " + cause
        + (wave.empty() ? "; to return it to service: celeryline undrain " + instance.name
                        : " and will be told to reboot next");
}

std::string describeServing(const FleetState& fleet, const Instance& instance)
{
    std::string text = "serves in " + (instance.pool.empty() ? "no pool" : "pool " + quoted(instance.pool));
    if (instance.pool.empty()) {
        return text + ", because no pool's selector matches its labels";
    }
    const auto* wave = findOpenWave(fleet, instance.name);
    if (!wave) {
        return text + " and is not waiting for anything";
    }
    if (wave->state == WaveState::Paused) {
        return text + " and is waiting for maintenance, because wave " + quoted(wave->name) + " is paused";
    }
    return text + " and is waiting for a permit of wave " + quoted(wave->name) + ": "
        + describePermitWait(fleet, instance);
}

std::string describeMove(const FleetState& fleet, const Instance& instance, const std::string& since)
{
    std::string text = "has been moving for " + since + " from pool " + quoted(instance.pool) + " to "
        + (instance.nextPool.empty() ? "no pool" : "pool " + quoted(instance.nextPool));
    if (instance.drained) {
        return text + " and joins the new pool next";
    }
    if (fleet.permits->count(instance.name) != 0 || !findGuardedService(fleet, instance)) {
        return text + " and is waiting for work in progress to finish";
    }
    return text + " and is waiting for a permit to drain: " + describePermitWait(fleet, instance);
}

/// @return text with the number of serving workers in the job's pool and how many match its selector.
std::string describeWorkers(const FleetState& fleet, const Job& job)
{
    int serving = 0;
    int matching = 0;
    for (const auto& [name, instance] : *fleet.instances) {
        bool isInPool = instance.kind == UpstreamKind::Worker && instance.pool == job.pool
            && instance.phase == InstancePhase::Serving;
        serving += isInPool ? 1 : 0;
        bool isMatch = job.selector.requirements.empty() || matches(job.selector, instance.labels);
        matching += isInPool && isMatch ? 1 : 0;
    }
    return std::to_string(matching) + " of the " + std::to_string(serving) + " serving workers of pool "
        + quoted(job.pool) + " match its selector";
}

std::string describeQueue(const FleetState& fleet, const Job& job, Millis now)
{
    int ahead = 0;
    for (const auto& [id, other] : *fleet.jobs) {
        bool isBefore = other.urgent != job.urgent ? other.urgent : other.submitted < job.submitted;
        ahead += other.phase == JobPhase::Queued && other.pool == job.pool && isBefore ? 1 : 0;
    }
    std::string text = "has been queued for " + secondsSince(job.submitted, now) + " behind "
        + std::to_string(ahead) + " jobs; " + describeWorkers(fleet, job);
    return job.reason.empty() ? text : text + "; " + job.reason;
}

} // namespace

std::string explainInstance(const FleetState& fleet, const std::string& name, Millis now)
{
    const auto& instance = find(fleet.instances, "instance", name);
    auto since = secondsSince(instance.phaseSince, now);
    std::string text = "instance " + quoted(name) + " ";
    switch (instance.phase) {
    case InstancePhase::Serving:
        return text + describeServing(fleet, instance);
    case InstancePhase::Draining:
        return text + describeDrain(fleet, instance, since);
    case InstancePhase::Rebooting:
        return text + "was told to reboot " + since + " ago and hasn't announced a new start yet";
    case InstancePhase::Moving:
        return text + describeMove(fleet, instance, since);
    case InstancePhase::Failed:
        return text + "failed " + since + " ago: its lease expired or it did not return from a reboot; "
            + "it returns to service with its next announcement";
    }
    return text;
}

std::string explainJob(const FleetState& fleet, const std::string& id, Millis now)
{
    const auto& job = find(fleet.jobs, "job", id);
    std::string text = "job " + quoted(id) + " ";
    switch (job.phase) {
    case JobPhase::Queued:
        return text + describeQueue(fleet, job, now);
    case JobPhase::Placed:
        return text + "is placed on worker " + quoted(job.worker) + ", which hasn't started it yet";
    case JobPhase::Running:
        return text + "is running on worker " + quoted(job.worker);
    case JobPhase::Done:
    case JobPhase::Failed:
    case JobPhase::Cancelled:
    case JobPhase::Refused:
        return text + "ended " + secondsSince(job.ended, now) + " ago as " + nameOf(job.phase)
            + (job.reason.empty() ? "" : ": " + job.reason);
    }
    return text;
}

std::string explainWave(const FleetState& fleet, const std::string& name, Millis now)
{
    const auto& wave = find(fleet.waves, "wave", name);
    auto total = wave.pending.size() + wave.completed.size() + wave.abandoned.size();
    std::vector<std::string> inProgress;
    const Instance* waiting = nullptr;
    for (const auto& pending : wave.pending) {
        auto permit = fleet.permits->find(pending);
        auto instance = fleet.instances->find(pending);
        if (permit != fleet.permits->end() && permit->second.wave == name
            && instance != fleet.instances->end()) {
            inProgress.push_back(pending + " " + nameOf(instance->second.phase));
        } else if (!waiting && instance != fleet.instances->end()) {
            waiting = &instance->second;
        }
    }
    std::string text = "wave " + quoted(name) + " is " + nameOf(wave.state) + ": "
        + std::to_string(wave.completed.size()) + " of " + std::to_string(total) + " instances done, "
        + std::to_string(wave.abandoned.size()) + " abandoned, " + std::to_string(inProgress.size())
        + " in progress";
    text += inProgress.empty() ? "" : " (" + joinNames(inProgress) + ")";
    if (wave.state == WaveState::Done) {
        return text + "; it took " + secondsSince(wave.started, wave.ended);
    }
    text += ", started " + secondsSince(wave.started, now) + " ago";
    if (wave.state == WaveState::Paused) {
        return text + "; to continue it: celeryline wave resume " + name;
    }
    if (!waiting) {
        return text;
    }
    std::string next = "; " + waiting->name;
    if (waiting->phase != InstancePhase::Serving) {
        return text + next + " is waiting because it is " + nameOf(waiting->phase);
    }
    return text + next + " is waiting: " + describePermitWait(fleet, *waiting);
}

} // namespace celeryline
