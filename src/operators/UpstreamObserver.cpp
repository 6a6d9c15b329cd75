#include "celeryline/operators/UpstreamObserver.h"

#include "celeryline/base/Error.h"
#include "celeryline/operators/OperatorCommands.h"
#include "celeryline/settings/Logging.h"

#include <algorithm>

namespace celeryline {

namespace {

FleetCommand makeCommand(FleetOperation operation, const Announcement& upstream)
{
    FleetCommand command;
    command.operation = operation;
    command.name = upstream.name;
    command.bootEpoch = upstream.bootEpoch;
    return command;
}

FleetCommand makeRegistration(const Announcement& upstream)
{
    auto command = makeCommand(FleetOperation::RegisterInstance, upstream);
    command.instance.name = upstream.name;
    command.instance.kind = upstream.kind;
    command.instance.dataCentre = upstream.dataCentre;
    command.instance.rack = upstream.rack;
    command.instance.labels = upstream.labels;
    command.instance.capacity = upstream.capacity;
    command.instance.bootEpoch = upstream.bootEpoch;
    return command;
}

bool isDrained(const Instance& instance, const Announcement& upstream)
{
    bool isLeavingPool = instance.phase == InstancePhase::Draining || instance.phase == InstancePhase::Moving;
    return isLeavingPool && !instance.drained && upstream.draining && upstream.usage.cpuMilli == 0;
}

bool isLive(const UpstreamSnapshot& upstreams, const std::string& name)
{
    const auto& all = upstreams.upstreams;
    auto it = std::lower_bound(all.begin(), all.end(), name,
        [](const Announcement& upstream, const std::string& wanted) { return upstream.name < wanted; });
    return it != all.end() && it->name == name;
}

/// @return whether the expiry of the instance's lease changes its phase.
bool canBecomeLost(const FleetState& fleet, const Instance& instance)
{
    auto permit = fleet.permits->find(instance.name);
    bool isDrainedByOperator = instance.phase == InstancePhase::Draining
        && (permit == fleet.permits->end() || permit->second.wave.empty());
    return instance.phase != InstancePhase::Failed && instance.phase != InstancePhase::Rebooting
        && !isDrainedByOperator;
}

} // namespace

std::vector<FleetCommand> reconcile(
    const FleetState& fleet, const UpstreamSnapshot& upstreams, const std::set<std::string>& expired)
{
    std::vector<FleetCommand> commands;
    for (const auto& upstream : upstreams.upstreams) {
        auto it = fleet.instances->find(upstream.name);
        if (it == fleet.instances->end()) {
            commands.push_back(makeRegistration(upstream));
            continue;
        }
        const auto& instance = it->second;
        bool hasChanged = instance.dataCentre != upstream.dataCentre || instance.rack != upstream.rack
            || instance.kind != upstream.kind || !(instance.capacity == upstream.capacity);
        if (hasChanged) {
            commands.push_back(makeRegistration(upstream));
        } else if (instance.bootEpoch != upstream.bootEpoch || instance.phase == InstancePhase::Failed) {
            commands.push_back(makeCommand(FleetOperation::InstanceReturned, upstream));
        } else if (isDrained(instance, upstream)) {
            commands.push_back(makeCommand(FleetOperation::InstanceDrained, upstream));
        }
    }
    for (const auto& name : expired) {
        auto it = fleet.instances->find(name);
        if (it != fleet.instances->end() && canBecomeLost(fleet, it->second)) {
            FleetCommand command;
            command.operation = FleetOperation::InstanceLost;
            command.name = name;
            command.bootEpoch = it->second.bootEpoch;
            commands.push_back(command);
        }
    }
    return commands;
}

UpstreamObserver::UpstreamObserver(
    const ObserverOptions& options, Store& store, const FleetReader& fleet, const UpstreamView& upstreams)
    : m_options(options)
    , m_store(store)
    , m_fleet(fleet)
    , m_upstreams(upstreams)
{
}

std::set<std::string> UpstreamObserver::findExpiredInstances(
    const FleetState& fleet, const UpstreamSnapshot& upstreams, Millis now)
{
    for (const auto& upstream : upstreams.upstreams) {
        m_seenLive.insert(upstream.name);
    }
    std::set<std::string> expired;
    std::map<std::string, Millis> absentSince;
    for (const auto& [name, instance] : *fleet.instances) {
        if (instance.dataCentre != m_options.dataCentre || isLive(upstreams, name)) {
            continue;
        }
        auto before = m_absentSince.find(name);
        auto since = before == m_absentSince.end() ? now : before->second;
        absentSince[name] = since;
        // The registry keeps an upstream until its lease expires, so one that was seen live and is now absent
        // is lost.
        if (m_seenLive.count(name) != 0 || now - since >= m_options.absenceGracePeriod) {
            expired.insert(name);
        }
    }
    m_absentSince = std::move(absentSince);
    return expired;
}

bool UpstreamObserver::submit(const FleetCommand& command, Millis now)
{
    const std::string key = std::string(nameOf(command.operation)) + "/" + command.name;
    auto rejected = m_rejectedAt.find(key);
    if (rejected != m_rejectedAt.end() && now - rejected->second < m_options.rejectedRetryDelay) {
        return true;
    }
    try {
        auto result = m_store.submit(encodeFleetCommand(newCommandId(), command), m_options.submitTimeout);
        if (result.accepted) {
            m_rejectedAt.erase(key);
            LOG4CXX_INFO(logger("fleet"), key << " at revision " << result.revision);
        } else {
            m_rejectedAt[key] = now;
            LOG4CXX_WARN(logger("fleet"), key << " was rejected: " << result.body);
        }
        return true;
    } catch (const Error& e) {
        // The next step computes the command again.
        LOG4CXX_DEBUG(logger("fleet"), key << " was not submitted: " << e.what());
        return false;
    }
}

void UpstreamObserver::step(Millis now, bool isRegistryComplete)
{
    auto upstreams = m_upstreams.upstreams();
    auto fleet = m_fleet.fleet();
    auto expired = findExpiredInstances(*fleet, *upstreams, now);
    submitTaskStates(now);
    const auto& live = upstreams->liveInstances;
    if (!isRegistryComplete || live.empty() || live.front() != m_options.name) {
        return;
    }
    for (const auto& command : reconcile(*fleet, *upstreams, expired)) {
        if (!submit(command, now)) {
            return;
        }
    }
}

void UpstreamObserver::recordTaskReports(const std::vector<ReportedTask>& tasks)
{
    if (tasks.empty()) {
        return;
    }
    auto fleet = m_fleet.fleet();
    std::lock_guard<std::mutex> lock(m_tasksMutex);
    for (const auto& task : tasks) {
        auto job = fleet->jobs->find(task.id);
        bool isCurrent = job != fleet->jobs->end() && job->second.fence == task.fence;
        bool hasEnded = task.state == "done" || task.state == "failed";
        bool isPhaseChange = isCurrent
            && (job->second.phase == JobPhase::Placed
                || (job->second.phase == JobPhase::Running && hasEnded));
        if (isPhaseChange) {
            m_taskStates[{ task.id, task.fence }] = task.state;
        }
    }
}

void UpstreamObserver::submitTaskStates(Millis now)
{
    std::map<std::pair<std::string, std::uint64_t>, std::string> tasks;
    {
        std::lock_guard<std::mutex> lock(m_tasksMutex);
        tasks.swap(m_taskStates);
    }
    for (const auto& [key, state] : tasks) {
        FleetCommand command;
        command.operation = FleetOperation::JobEnded;
        command.name = key.first;
        command.fence = key.second;
        command.outcome = state == "done" ? JobPhase::Done
            : state == "failed"           ? JobPhase::Failed
                                          : JobPhase::Running;
        // The worker reports the task again, so a failed submission is retried.
        if (!submit(command, now)) {
            return;
        }
    }
}

} // namespace celeryline
