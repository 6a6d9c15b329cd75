#include "celeryline/operators/UpstreamObserver.h"

#include "celeryline/base/Error.h"
#include "celeryline/operators/OperatorCommands.h"
#include "celeryline/settings/Logging.h"

#include <algorithm>

namespace celeryline {

namespace {

FleetCommand commandOn(FleetOperation operation, const Announcement& upstream)
{
    FleetCommand command;
    command.operation = operation;
    command.name = upstream.name;
    command.bootEpoch = upstream.bootEpoch;
    return command;
}

FleetCommand registrationOf(const Announcement& upstream)
{
    auto command = commandOn(FleetOperation::RegisterInstance, upstream);
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
    bool leaves = instance.phase == InstancePhase::Draining || instance.phase == InstancePhase::Moving;
    return leaves && !instance.drained && upstream.draining && upstream.usage.cpuMilli == 0;
}

bool isLive(const UpstreamSnapshot& upstreams, const std::string& name)
{
    const auto& all = upstreams.upstreams;
    auto it = std::lower_bound(all.begin(), all.end(), name,
        [](const Announcement& upstream, const std::string& wanted) { return upstream.name < wanted; });
    return it != all.end() && it->name == name;
}

/// @return whether the end of the instance's lease is news.
bool canBeLost(const FleetState& fleet, const Instance& instance)
{
    auto permit = fleet.permits->find(instance.name);
    bool isDrainedByOperator = instance.phase == InstancePhase::Draining
        && (permit == fleet.permits->end() || permit->second.wave.empty());
    return instance.phase != InstancePhase::Failed && instance.phase != InstancePhase::Rebooting
        && !isDrainedByOperator;
}

} // namespace

std::vector<FleetCommand> observe(
    const FleetState& fleet, const UpstreamSnapshot& upstreams, const std::set<std::string>& lapsed)
{
    std::vector<FleetCommand> commands;
    for (const auto& upstream : upstreams.upstreams) {
        auto it = fleet.instances->find(upstream.name);
        if (it == fleet.instances->end()) {
            commands.push_back(registrationOf(upstream));
            continue;
        }
        const auto& instance = it->second;
        bool isOther = instance.dataCentre != upstream.dataCentre || instance.rack != upstream.rack
            || instance.kind != upstream.kind || !(instance.capacity == upstream.capacity);
        if (isOther) {
            commands.push_back(registrationOf(upstream));
        } else if (instance.bootEpoch != upstream.bootEpoch || instance.phase == InstancePhase::Failed) {
            commands.push_back(commandOn(FleetOperation::InstanceReturned, upstream));
        } else if (isDrained(instance, upstream)) {
            commands.push_back(commandOn(FleetOperation::InstanceDrained, upstream));
        }
    }
    for (const auto& name : lapsed) {
        auto it = fleet.instances->find(name);
        if (it != fleet.instances->end() && canBeLost(fleet, it->second)) {
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

std::set<std::string> UpstreamObserver::lapsedInstances(
    const FleetState& fleet, const UpstreamSnapshot& upstreams, Millis now)
{
    for (const auto& upstream : upstreams.upstreams) {
        m_seen.insert(upstream.name);
    }
    std::set<std::string> lapsed;
    std::map<std::string, Millis> absentSince;
    for (const auto& [name, instance] : *fleet.instances) {
        if (instance.dataCentre != m_options.dataCentre || isLive(upstreams, name)) {
            continue;
        }
        auto before = m_absentSince.find(name);
        auto since = before == m_absentSince.end() ? now : before->second;
        absentSince[name] = since;
        // The registry keeps an upstream until its lease has lapsed, so a seen one is lost when it is absent.
        if (m_seen.count(name) != 0 || now - since >= m_options.absenceGrace) {
            lapsed.insert(name);
        }
    }
    m_absentSince = std::move(absentSince);
    return lapsed;
}

bool UpstreamObserver::submit(const FleetCommand& command, Millis now)
{
    const std::string key = std::string(nameOf(command.operation)) + "/" + command.name;
    auto refused = m_refusedAt.find(key);
    if (refused != m_refusedAt.end() && now - refused->second < m_options.refusalPause) {
        return true;
    }
    try {
        auto result = m_store.submit(encodeFleetCommand(newCommandId(), command), m_options.submitTimeout);
        if (result.accepted) {
            m_refusedAt.erase(key);
            LOG4CXX_INFO(logger("fleet"), key << " at revision " << result.revision);
        } else {
            m_refusedAt[key] = now;
            LOG4CXX_WARN(logger("fleet"), key << " was refused: " << result.body);
        }
        return true;
    } catch (const Error& e) {
        // The next step compares again, so nothing is lost.
        LOG4CXX_DEBUG(logger("fleet"), key << " was not submitted: " << e.what());
        return false;
    }
}

void UpstreamObserver::step(Millis now, bool isComplete)
{
    auto upstreams = m_upstreams.upstreams();
    auto fleet = m_fleet.fleet();
    auto lapsed = lapsedInstances(*fleet, *upstreams, now);
    submitTaskStates(now);
    const auto& live = upstreams->liveInstances;
    if (!isComplete || live.empty() || live.front() != m_options.name) {
        return;
    }
    for (const auto& command : observe(*fleet, *upstreams, lapsed)) {
        if (!submit(command, now)) {
            return;
        }
    }
}

void UpstreamObserver::noteTasks(const std::vector<ReportedTask>& tasks)
{
    if (tasks.empty()) {
        return;
    }
    auto fleet = m_fleet.fleet();
    std::lock_guard<std::mutex> guard(m_lock);
    for (const auto& task : tasks) {
        auto job = fleet->jobs->find(task.id);
        bool isCurrent = job != fleet->jobs->end() && job->second.fence == task.fence;
        bool hasEnded = task.state == "done" || task.state == "failed";
        bool isNews = isCurrent
            && (job->second.phase == JobPhase::Placed
                || (job->second.phase == JobPhase::Running && hasEnded));
        if (isNews) {
            m_tasks[{ task.id, task.fence }] = task.state;
        }
    }
}

void UpstreamObserver::submitTaskStates(Millis now)
{
    std::map<std::pair<std::string, std::uint64_t>, std::string> tasks;
    {
        std::lock_guard<std::mutex> guard(m_lock);
        tasks.swap(m_tasks);
    }
    for (const auto& [key, state] : tasks) {
        FleetCommand command;
        command.operation = FleetOperation::JobEnded;
        command.name = key.first;
        command.fence = key.second;
        command.outcome = state == "done" ? JobPhase::Done
            : state == "failed"           ? JobPhase::Failed
                                          : JobPhase::Running;
        // The worker reports the task until it is told to forget it, so a failed submission is repeated.
        if (!submit(command, now)) {
            return;
        }
    }
}

} // namespace celeryline
