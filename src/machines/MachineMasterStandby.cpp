// MachineMaster: machines that are switched off by a move to a standby pool, and their return.
#include "celeryline/machines/MachineMaster.h"

#include "celeryline/settings/EventLog.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace celeryline {
namespace {

constexpr Millis observationInterval { 1000 };
constexpr Millis standbyLogInterval { 1000 };
constexpr Millis sendInterval { 1000 };
/// Full runners report every second, so a silence of one report is no loss.
constexpr Millis silenceLimit { 3000 };
/// Names of racks and labels are remembered for this time if no rotation is known.
constexpr Millis minNameRetention { 60000 };

void removeOlder(std::map<std::string, Millis>& names, Millis than)
{
    for (auto it = names.begin(); it != names.end();)
        it = it->second < than ? names.erase(it) : std::next(it);
}

} // namespace

std::string MachineMaster::standbyPool() const
{
    for (const auto& pool : m_store.configuration().pools) {
        if (pool.isStandby)
            return pool.service;
    }
    return {};
}

bool MachineMaster::usesStandbyPool() const
{
    return m_options.standbyPlan.isEnabled && !standbyPool().empty();
}

std::size_t MachineMaster::standbyMachines() const
{
    return static_cast<std::size_t>(std::count_if(m_machines.begin(), m_machines.end(),
        [this](const auto& entry) { return isStandbyPool(entry.second.info.pool); }));
}

void MachineMaster::observeDemand(const std::vector<PoolDemand>& demands)
{
    if (!usesStandbyPool())
        return;
    DemandByPool finite;
    for (const auto& demand : demands)
        finite[demand.pool] = finiteMilliCores(demand, m_options.poolPlan);
    auto now = m_clock().steady;
    m_demandHistory.add(finite, now);
    auto kept = std::max(minNameRetention, Millis { 3 * m_demandHistory.rotation().count });
    removeOlder(m_namedRacks, now - kept);
    removeOlder(m_namedLabels, now - kept);
}

void MachineMaster::followDemand()
{
    auto now = m_clock().steady;
    if (now < m_nextObservationAt || !usesStandbyPool())
        return;
    m_nextObservationAt = now + observationInterval;
    m_standbyPlan = {};
    m_arrivalRate.update(m_store, now);
    observeDemand(poolDemands());
}

void MachineMaster::noteNamed(const JobSpec& job)
{
    auto now = m_clock().steady;
    for (const auto& step : job.steps) {
        if (!step.dataRack.empty())
            m_namedRacks[step.dataRack] = now;
        if (!step.requiredLabel.empty())
            m_namedLabels[step.requiredLabel] = now;
        if (step.demand.accelerators > 0)
            m_namedLabels[""] = now;
    }
}

bool MachineMaster::isNamedKind(const MachineInfo& info) const
{
    if (info.capacity.accelerators > 0 && m_namedLabels.count("") != 0)
        return true;
    return std::any_of(info.labels.begin(), info.labels.end(), [this](const std::string& label) {
        bool isCommon = std::all_of(m_kinds.begin(), m_kinds.end(), [&](const MachineKind& kind) {
            return std::find(kind.labels.begin(), kind.labels.end(), label) != kind.labels.end();
        });
        return !isCommon && m_namedLabels.count(label) != 0;
    });
}

const RunnerState* MachineMaster::runnerStateOf(const std::string& machine) const
{
    const RunnerState* newest = nullptr;
    for (const auto& runner : runnersOn(machine)) {
        auto found = m_jobs.runners().runners().find(runner);
        if (found == m_jobs.runners().runners().end())
            continue;
        if (newest == nullptr || newest->lastReportAt < found->second.lastReportAt)
            newest = &found->second;
    }
    return newest;
}

bool MachineMaster::isSilent(const std::string& machine) const
{
    auto now = m_clock().steady;
    if (now < m_termStartedAt + silenceLimit || now < m_machines.at(machine).inPoolSince + silenceLimit)
        return false;
    const auto* state = runnerStateOf(machine);
    return state == nullptr || state->hasLeft || state->lastReportAt + silenceLimit < now;
}

void MachineMaster::noteSilentMachines(const std::vector<PoolMachine>& machines)
{
    std::set<std::string> silent;
    for (const auto& machine : machines) {
        if (machine.isStandby || m_operations.count(machine.machine) != 0 || !isSilent(machine.machine))
            continue;
        // A machine that stays silent must not keep others on forever, so only new silences count as a loss.
        if (m_silentMachines.count(machine.machine) == 0)
            m_machineLostAt = m_clock().steady;
        silent.insert(machine.machine);
    }
    m_silentMachines = std::move(silent);
}

void MachineMaster::noteLostMachines(const std::map<std::string, Machine>& listed)
{
    for (const auto& [name, before] : m_machines) {
        if (!isAvailable(before.info) || isStandbyPool(before.info.pool) || m_operations.count(name) != 0)
            continue;
        auto found = listed.find(name);
        if (found == listed.end() || found->second.info.state == MachineState::Down)
            m_machineLostAt = m_clock().steady;
    }
}

bool MachineMaster::isDueInWave(const std::string& machine) const
{
    return std::any_of(m_store.waves().begin(), m_store.waves().end(), [&](const auto& entry) {
        const auto& names = entry.second.order.machines;
        return entry.second.done.size() < names.size() && entry.second.done.count(machine) == 0
            && std::find(names.begin(), names.end(), machine) != names.end();
    });
}

std::int64_t MachineMaster::upkeepMilliCores() const
{
    std::int64_t largest = 0;
    for (const auto& kind : m_kinds)
        largest = std::max(largest, kind.capacity.cpuMilli);
    std::int64_t machines = 0;
    for (const auto& [number, wave] : m_store.waves()) {
        auto due = wave.order.machines.size() - std::min(wave.order.machines.size(), wave.done.size());
        machines += static_cast<std::int64_t>(std::min<std::size_t>(due, wave.order.maxAtOnce));
    }
    for (const auto& [name, operation] : m_operations)
        machines -= operation.wave != 0 ? 1 : 0; // These are off already.
    return std::max<std::int64_t>(0, machines) * largest;
}

StandbyCandidate MachineMaster::standbyCandidate(const PoolMachine& machine) const
{
    StandbyCandidate made;
    made.base = machine;
    const auto& info = m_machines.at(machine.machine).info;
    MachineKind kind { info.capacity, info.labels };
    made.kind = std::to_string(std::distance(m_kinds.begin(), m_kinds.find(kind)));
    made.isKindNamed = isNamedKind(info);
    const auto* runner = runnerStateOf(machine.machine);
    if (runner != nullptr)
        made.rack = runner->report.rack;
    made.isRackNamed = m_namedRacks.count(made.rack) != 0;
    made.mayBeSent = m_kindsRefusedStandby.count(kind) == 0 && !isDueInWave(machine.machine);
    if (machine.isPinned && !machine.isStandby && useOf(machine.machine).longRunning.empty()) {
        // A machine that is not to be ordered for some seconds is available to other pools after that.
        made.base.isPinned = false;
        made.mayBeSent = false;
    }
    return made;
}

std::vector<StandbyCandidate> MachineMaster::standbyCandidates(const std::vector<PoolMachine>& machines)
{
    std::vector<StandbyCandidate> candidates;
    for (const auto& machine : machines) {
        if (m_operations.count(machine.machine) == 0 && m_silentMachines.count(machine.machine) == 0)
            candidates.push_back(standbyCandidate(machine));
    }
    // Machines being moved count for their target pool, as in planMoves().
    for (const auto& [name, operation] : m_operations) {
        auto known = m_machines.find(name);
        if (known == m_machines.end() || operation.wave != 0)
            continue;
        bool isLeaving = isStandbyPool(operation.pool);
        if (!isLeaving && isStandbyPool(known->second.info.pool))
            m_returnedAt = m_clock().steady;
        auto milliCores = known->second.info.capacity.cpuMilli;
        candidates.push_back(
            standbyCandidate({ name, operation.pool, milliCores, isLeaving, isLeaving, true, 0 }));
    }
    // So do machines that have arrived and aren't listed as such yet.
    auto arrivalTime = m_options.moveDuration + m_options.firstReportMargin + m_options.listInterval
        + m_options.listInterval;
    for (const auto& [name, known] : m_machines) {
        bool isArriving = m_operations.count(name) == 0 && !isAvailable(known.info)
            && !isStandbyPool(known.info.pool) && m_clock().steady < known.inPoolSince + arrivalTime;
        if (!isArriving)
            continue;
        auto milliCores = known.info.capacity.cpuMilli;
        candidates.push_back(standbyCandidate({ name, known.info.pool, milliCores, false, false, true, 0 }));
    }
    return candidates;
}

StandbyHold MachineMaster::standbyHold() const
{
    auto now = m_clock().steady;
    auto settle = m_options.standbyPlan.settleTime;
    if (isProviderUnavailable())
        return StandbyHold::ProviderLost;
    if (now < m_termStartedAt + settle)
        return StandbyHold::Settling;
    if (m_machineLostAt && now < *m_machineLostAt + settle)
        return StandbyHold::MachinesLost;
    if (m_returnedAt && now < *m_returnedAt + settle)
        return StandbyHold::Returned;
    return StandbyHold::None;
}

void MachineMaster::planStandby(
    const std::vector<PoolDemand>& demands, const std::vector<PoolMachine>& machines)
{
    m_standbyPlan = {};
    m_standbyPlan.hold = StandbyHold::NoPool;
    if (!usesStandbyPool())
        return;
    auto now = m_clock().steady;
    noteSilentMachines(machines);
    StandbyPlanInput input;
    input.demands = demands;
    input.machines = standbyCandidates(machines);
    input.history = &m_demandHistory;
    input.now = now;
    input.returnTime = m_options.moveDuration + m_options.firstReportMargin + m_options.planInterval;
    input.standbyPool = standbyPool();
    input.hold = standbyHold();
    input.maxSent = now < m_nextSendAt ? 0 : m_options.standbyPlan.movesPerSecond;
    input.upkeepMilliCores = upkeepMilliCores();
    auto options = m_options.standbyPlan;
    options.poolPlan = m_options.poolPlan;
    m_standbyPlan = celeryline::planStandby(input, options);
    if (m_standbyPlan.sent > 0)
        m_nextSendAt = now + sendInterval;
    for (const auto& move : m_standbyPlan.moves)
        m_operations[move.machine] = { 0, move.pool, Stage::Draining, now };
    logStandbyPlan();
}

void MachineMaster::logStandbyPlan()
{
    auto now = m_clock().steady;
    if (m_standbyPlan.moves.empty() && now < m_nextStandbyLogAt)
        return;
    m_nextStandbyLogAt = now + standbyLogInterval;
    Event("standby-balance")
        .with("machines", static_cast<std::uint64_t>(standbyMachines()))
        .with("onMilliCores", m_standbyPlan.on)
        .with("wantedMilliCores", m_standbyPlan.wanted)
        .with("sent", m_standbyPlan.sent)
        .with("returned", static_cast<std::uint64_t>(m_standbyPlan.moves.size()) - m_standbyPlan.sent)
        .with("hold", standbyHoldName(m_standbyPlan.hold))
        .with("rotationMs", m_demandHistory.rotation())
        .writeAlways();
}

} // namespace celeryline
