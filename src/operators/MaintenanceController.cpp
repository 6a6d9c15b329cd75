#include "celeryline/operators/MaintenanceController.h"

#include "celeryline/base/Error.h"
#include "celeryline/operators/OperatorCommands.h"
#include "celeryline/settings/Logging.h"

namespace celeryline {

namespace {

constexpr Millis submitTimeout { 2000 };

FleetCommand makeCommand(FleetOperation operation, const std::string& name)
{
    FleetCommand command;
    command.operation = operation;
    command.name = name;
    return command;
}

bool hasWavePermit(const FleetState& fleet, const std::string& name)
{
    auto permit = fleet.permits->find(name);
    return permit != fleet.permits->end() && !permit->second.wave.empty();
}

bool isGuarded(const FleetState& fleet, const Instance& instance)
{
    auto pool = fleet.pools->find(instance.pool);
    return pool != fleet.pools->end() && pool->second.guarded;
}

} // namespace

MaintenanceController::MaintenanceController(const MaintenanceSettings& settings, Store& store,
    const FleetReader& fleet, ReachableDataCentres reachable, Planner planner)
    : m_settings(settings)
    , m_store(store)
    , m_fleet(fleet)
    , m_reachableDataCentres(std::move(reachable))
    , m_planner(std::move(planner))
{
}

void MaintenanceController::step(Millis now)
{
    if (m_store.status().role != ConsensusRole::Leader) {
        m_phaseTimers.clear();
        m_haltReasons.clear();
        return;
    }
    try {
        updatePhaseTimers(*m_fleet.fleet(), now);
        advanceInstances();
        grantMovePermits(now);
        auto fleet = m_fleet.fleet();
        for (const auto& [name, wave] : *fleet->waves) {
            if (wave.state != WaveState::Done) {
                advanceWave(name, now);
            }
        }
    } catch (const Error& e) {
        // The next step starts from the latest state and makes up for what this one did not do.
        LOG4CXX_WARN(logger("maintenance"), "maintenance step aborted: " << e.what());
    }
}

void MaintenanceController::updatePhaseTimers(const FleetState& fleet, Millis now)
{
    std::map<std::string, PhaseTimer> timers;
    for (const auto& [name, instance] : *fleet.instances) {
        PhaseTimer timer { instance.phaseSince, instance.phase, now };
        auto previous = m_phaseTimers.find(name);
        if (previous != m_phaseTimers.end() && previous->second.loggedAt == timer.loggedAt
            && previous->second.phase == timer.phase) {
            timer.firstSeen = previous->second.firstSeen;
        }
        timers.emplace_hint(timers.end(), name, timer);
    }
    m_phaseTimers = std::move(timers);
}

FleetView MaintenanceController::makeFleetView(const FleetState& fleet, Millis now) const
{
    FleetView view;
    for (const auto& [name, instance] : *fleet.instances) {
        FleetInstance item;
        item.name = name;
        item.dataCentre = instance.dataCentre;
        item.rack = instance.rack;
        item.pool = instance.pool;
        auto pool = fleet.pools->find(instance.pool);
        item.service = pool == fleet.pools->end() ? "" : pool->second.service;
        // A moving instance keeps serving until it gets a permit.
        bool isStillServing = instance.phase == InstancePhase::Moving && fleet.permits->count(name) == 0;
        item.phase = isStillServing ? InstancePhase::Serving : instance.phase;
        auto timer = m_phaseTimers.find(name);
        bool isSamePhase = timer != m_phaseTimers.end() && timer->second.phase == instance.phase
            && timer->second.loggedAt == instance.phaseSince;
        item.phaseSince = isSamePhase ? timer->second.firstSeen : now;
        view.instances.push_back(item);
    }
    for (const auto& [name, service] : *fleet.services) {
        view.budgets[name] = { service.maxUnavailablePercent, service.minAvailable };
    }
    for (const auto& [name, permit] : *fleet.permits) {
        view.permits.push_back({ name, now + m_settings.permitLease });
    }
    view.reachableDataCentres = m_reachableDataCentres();
    return view;
}

void MaintenanceController::advanceInstances()
{
    auto fleet = m_fleet.fleet();
    for (const auto& [name, instance] : *fleet->instances) {
        if (!instance.drained) {
            continue;
        }
        if (instance.phase == InstancePhase::Moving) {
            submit(makeCommand(FleetOperation::FinishMove, name));
        } else if (instance.phase == InstancePhase::Draining && hasWavePermit(*fleet, name)) {
            submit(makeCommand(FleetOperation::InstanceRebooting, name));
        }
    }
}

void MaintenanceController::grantMovePermits(Millis now)
{
    auto fleet = m_fleet.fleet();
    std::vector<std::string> granted;
    FleetView view;
    for (const auto& [name, instance] : *fleet->instances) {
        if (instance.phase != InstancePhase::Moving || fleet->permits->count(name) != 0) {
            continue;
        }
        if (view.instances.empty()) {
            view = makeFleetView(*fleet, now);
        }
        if (!isGuarded(*fleet, instance) || mayStop(name, view, now).allowed) {
            granted.push_back(name);
            view.permits.push_back({ name, now + m_settings.permitLease });
        }
    }
    submitPermits("", granted, fleet->revision);
}

void MaintenanceController::advanceWave(const std::string& name, Millis now)
{
    auto fleet = m_fleet.fleet();
    auto it = fleet->waves->find(name);
    if (it == fleet->waves->end()) {
        return;
    }
    const auto& wave = it->second;
    auto decision = m_planner(
        { makeFleetView(*fleet, now), wave.pending, wave.completed, wave.abandoned }, now, m_settings);
    updateHaltReason(name, decision.halted && wave.state == WaveState::Running ? decision.haltReason : "");
    for (const auto& step : decision.abandons) {
        LOG4CXX_WARN(
            logger("maintenance"), "wave " << name << " abandons " << step.instance << ": " << step.reason);
        auto command = makeCommand(FleetOperation::AbandonInstance, step.instance);
        command.wave = name;
        command.reason = step.reason;
        submit(command);
    }
    if (wave.state == WaveState::Running) {
        std::vector<std::string> granted;
        for (const auto& step : decision.grants) {
            granted.push_back(step.instance);
        }
        submitPermits(name, granted, fleet->revision);
    }
    if (decision.done) {
        submit(makeCommand(FleetOperation::EndWave, name));
    }
}

void MaintenanceController::submitPermits(
    const std::string& wave, const std::vector<std::string>& instances, std::uint64_t revision)
{
    if (instances.empty()) {
        return;
    }
    FleetCommand command;
    command.operation = FleetOperation::GrantPermits;
    for (const auto& instance : instances) {
        command.permits.push_back({ instance, wave, revision, m_settings.permitLease });
    }
    submit(command);
}

void MaintenanceController::updateHaltReason(const std::string& wave, const std::string& reason)
{
    auto& previous = m_haltReasons[wave];
    if (previous != reason) {
        LOG4CXX_INFO(logger("maintenance"),
            "wave " << wave << (reason.empty() ? " is no longer halted" : " is halted: " + reason));
        previous = reason;
    }
    if (reason.empty()) {
        m_haltReasons.erase(wave);
    }
}

void MaintenanceController::submit(const FleetCommand& command)
{
    auto result = m_store.submit(encodeFleetCommand(newCommandId(), command), submitTimeout);
    if (!result.accepted) {
        LOG4CXX_INFO(logger("maintenance"),
            nameOf(command.operation) << " " << command.name << " was rejected: " << result.body);
    }
}

} // namespace celeryline
