#include "celeryline/operators/Explain.h"

#include "celeryline/base/Error.h"
#include "celeryline/fleet/FleetCodec.h"
#include "celeryline/fleet/PoolMembership.h"

#include <algorithm>

namespace celeryline {

namespace {

constexpr std::size_t maxNames = 3;

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

/// @return the first names and how many more there are.
std::string namesOf(const std::vector<std::string>& names)
{
    std::string text;
    for (std::size_t i = 0; i < names.size() && i < maxNames; ++i) {
        text += (i == 0 ? "" : ", ") + names[i];
    }
    return names.size() > maxNames ? text + " and " + std::to_string(names.size() - maxNames) + " more"
                                   : text;
}

const Service* guardedServiceOf(const FleetState& fleet, const Instance& instance)
{
    auto pool = fleet.pools->find(instance.pool);
    if (pool == fleet.pools->end() || !pool->second.guarded) {
        return nullptr;
    }
    auto service = fleet.services->find(pool->second.service);
    return service == fleet.services->end() ? nullptr : &service->second;
}

/// @return the service's budget and what uses it.
std::string budgetText(const FleetState& fleet, const Service& service)
{
    auto budget = budgetOf(*fleet.pools, *fleet.instances, *fleet.permits, service);
    std::vector<std::string> down;
    for (const auto& [name, instance] : *fleet.instances) {
        const auto* own = guardedServiceOf(fleet, instance);
        if (own && own->name == service.name && isDown(instance, fleet.permits->count(name) != 0)) {
            down.push_back(name + " " + nameOf(instance.phase));
        }
    }
    std::string text = "service " + quoted(service.name) + " has " + std::to_string(budget.down) + " of "
        + std::to_string(budget.total) + " instances down";
    text += down.empty() ? "" : " (" + namesOf(down) + ")";
    return text + " and its budget allows " + std::to_string(budget.allowedDown);
}

std::string permitWaitText(const FleetState& fleet, const Instance& instance)
{
    const auto* service = guardedServiceOf(fleet, instance);
    if (!service) {
        return "no budget limits it, so a permit follows soon";
    }
    auto budget = budgetOf(*fleet.pools, *fleet.instances, *fleet.permits, *service);
    std::string remedy = budget.allowedDown > 0
        ? ""
        : ", so none may ever stop; raise maxUnavailablePercent or lower minAvailable";
    return budgetText(fleet, *service) + remedy;
}

/// @return the open wave that waits for the instance, or nullptr.
const Wave* waveWaitingFor(const FleetState& fleet, const std::string& name)
{
    for (const auto& [key, wave] : *fleet.waves) {
        if (wave.state != WaveState::Done && wave.pending.count(name) != 0) {
            return &wave;
        }
    }
    return nullptr;
}

std::string drainText(const FleetState& fleet, const Instance& instance, const std::string& since)
{
    auto permit = fleet.permits->find(instance.name);
    std::string wave = permit == fleet.permits->end() ? "" : permit->second.wave;
    std::string cause = wave.empty() ? "by an operator" : "for wave " + quoted(wave);
    if (!instance.drained) {
        return "drains since " + since + " " + cause + " and waits until its work in progress ends";
    }
    return "is drained " + cause
        + (wave.empty() ? " and stays so until: celeryline undrain " + instance.name
                        : " and is told to reboot next");
}

std::string servingText(const FleetState& fleet, const Instance& instance)
{
    std::string text = "serves in " + (instance.pool.empty() ? "no pool" : "pool " + quoted(instance.pool));
    if (instance.pool.empty()) {
        return text + ", because no pool's selector matches its labels";
    }
    const auto* wave = waveWaitingFor(fleet, instance.name);
    if (!wave) {
        return text + " and waits for nothing";
    }
    if (wave->state == WaveState::Paused) {
        return text + " and waits for maintenance, because wave " + quoted(wave->name) + " is paused";
    }
    return text + " and waits for a permit of wave " + quoted(wave->name) + ": "
        + permitWaitText(fleet, instance);
}

std::string movingText(const FleetState& fleet, const Instance& instance, const std::string& since)
{
    std::string text = "moves since " + since + " from pool " + quoted(instance.pool) + " to "
        + (instance.nextPool.empty() ? "no pool" : "pool " + quoted(instance.nextPool));
    if (instance.drained) {
        return text + " and is handed over next";
    }
    if (fleet.permits->count(instance.name) != 0 || !guardedServiceOf(fleet, instance)) {
        return text + " and waits until its work in progress ends";
    }
    return text + " and waits for a permit to drain: " + permitWaitText(fleet, instance);
}

/// @return how many workers of the job's pool serve and match, in words.
std::string workersText(const FleetState& fleet, const Job& job)
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
        + quoted(job.pool) + " match it";
}

std::string queueText(const FleetState& fleet, const Job& job, Millis now)
{
    int ahead = 0;
    for (const auto& [id, other] : *fleet.jobs) {
        bool isBefore = other.urgent != job.urgent ? other.urgent : other.submitted < job.submitted;
        ahead += other.phase == JobPhase::Queued && other.pool == job.pool && isBefore ? 1 : 0;
    }
    std::string text = "is queued since " + secondsSince(job.submitted, now) + " behind "
        + std::to_string(ahead) + " jobs; " + workersText(fleet, job);
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
        return text + servingText(fleet, instance);
    case InstancePhase::Draining:
        return text + drainText(fleet, instance, since);
    case InstancePhase::Rebooting:
        return text + "was told to reboot " + since + " ago and hasn't announced a new start yet";
    case InstancePhase::Moving:
        return text + movingText(fleet, instance, since);
    case InstancePhase::Failed:
        return text + "failed " + since + " ago: its lease lapsed or it did not come back from a reboot; "
            + "it serves again as soon as it announces itself";
    }
    return text;
}

std::string explainJob(const FleetState& fleet, const std::string& id, Millis now)
{
    const auto& job = find(fleet.jobs, "job", id);
    std::string text = "job " + quoted(id) + " ";
    switch (job.phase) {
    case JobPhase::Queued:
        return text + queueText(fleet, job, now);
    case JobPhase::Placed:
        return text + "is placed on worker " + quoted(job.worker) + ", which hasn't started it yet";
    case JobPhase::Running:
        return text + "runs on worker " + quoted(job.worker);
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
    text += inProgress.empty() ? "" : " (" + namesOf(inProgress) + ")";
    if (wave.state == WaveState::Done) {
        return text + "; it took " + secondsSince(wave.started, wave.ended);
    }
    text += ", started " + secondsSince(wave.started, now) + " ago";
    if (wave.state == WaveState::Paused) {
        return text + "; it goes on after: celeryline wave resume " + name;
    }
    if (!waiting) {
        return text;
    }
    std::string next = "; " + waiting->name;
    if (waiting->phase != InstancePhase::Serving) {
        return text + next + " waits because it is " + nameOf(waiting->phase);
    }
    return text + next + " waits: " + permitWaitText(fleet, *waiting);
}

} // namespace celeryline
